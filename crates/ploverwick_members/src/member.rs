//! What is known of one member.

use std::net::SocketAddr;

use ploverwick_names::{Life, Moment};

/// The state of a member, from better to worse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Listed, and not heard of yet.
    Joining,
    /// It answers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It said, or the platform says, that it is about to go.
    Leaving,
    /// It has been silent for too long, or was taken off the list.
    Gone,
}

impl State {
    /// Returns the state's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// What one daemon says of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// The member.
    pub life: Life,
    /// Its state.
    pub state: State,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u64,
}

/// A member as this daemon knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What is said of it.
    pub news: News,
    /// When its state changed last.
    pub since: Moment,
    /// Whether the platform lists it.
    pub listed: bool,
}
