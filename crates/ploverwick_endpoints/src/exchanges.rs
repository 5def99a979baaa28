//! Attributes answers to the requests on a connection.
//!
//! An endpoint may send a second answer to a request, which arrives where the answer to the next request is expected. The
//! attempt that an answer names identifies its request, unless the same attempt is sent twice on one connection, which the
//! sender must not do.

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
    has_unnamed_answer: bool,
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
    ///
    /// Endpoints name the attempt that they answer, so that an answer without a name belongs to no request that has one. It
    /// belongs to a request without an identifier only if there is no earlier request that it may belong to.
    pub fn owns(self, echo: Echo, is_named: bool) -> bool {
        match echo {
            Echo::Own => true,
            Echo::Other => false,
            Echo::Absent => !is_named && self.begun == 1,
        }
    }

    /// Records an answer to the request that was sent last.
    pub fn record_answer(&mut self, echo: Echo) {
        self.has_unnamed_answer |= echo == Echo::Absent;
    }

    /// Returns whether another request may be sent. After an answer that names no attempt, a second copy of it could not be
    /// distinguished from the next answer.
    pub fn may_continue(self) -> bool {
        !self.has_unnamed_answer
    }
}
