//! Attributes answers to the requests on a connection.
//!
//! An endpoint may send a second answer to a request, which arrives where the answer to the next request is expected. Most
//! answers name the attempt that they belong to.

/// The attempt that an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Echo {
    /// The attempt that was sent last on the connection.
    Own,
    /// Another attempt.
    Other,
    /// None.
    Absent,
}

impl Echo {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Absent => "absent",
        }
    }
}

/// The exchanges of requests and answers on one connection.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Exchanges {
    begun: u32,
}

impl Exchanges {
    /// Records that a request is sent.
    pub fn begin(&mut self) {
        self.begun = self.begun.saturating_add(1);
    }

    /// Returns the number of requests that were sent.
    pub fn begun(self) -> u32 {
        self.begun
    }

    /// Returns whether an answer belongs to the request that was sent last.
    pub fn owns(self, echo: Echo) -> bool {
        echo != Echo::Other
    }
}
