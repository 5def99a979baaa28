//! What another instance finds when it connects to an endpoint that refuses connections of this one.

use crate::Diagnosis;

/// What another instance found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint accepts connections.
    Accepts,
    /// The endpoint accepts none.
    Fails,
    /// The other instances cannot tell.
    Unknown,
    /// There is no other instance to ask.
    NoOther,
}

impl Observation {
    /// Diagnoses an endpoint that has refused a connection of this instance; `None` if that is not known yet.
    ///
    /// A link that is cut may refuse connections like an endpoint whose process has ended. `are_links_up` is whether this
    /// instance's links to other endpoints work, and `is_repeated` whether the endpoint refused a connection some time
    /// before as well: right after a cut, neither instance may know of it.
    pub fn diagnose_refusal(self, are_links_up: bool, is_repeated: bool) -> Option<Diagnosis> {
        match self {
            Self::Accepts => Some(Diagnosis::Listens),
            Self::NoOther => Some(Diagnosis::Refuses),
            Self::Fails if are_links_up && is_repeated => Some(Diagnosis::Refuses),
            Self::Fails | Self::Unknown => None,
        }
    }
}
