//! Decides whether a request that was sent to an endpoint may have run.
//!
//! A reply that promises "not run" and a further send of a request that may run only once rest on this decision alone, so that
//! it errs on one side: whatever is not proved to be a refusal of this very send may have run.

use crate::Echo;

/// What the status of an answer says about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// The endpoint is another one than addressed, or does not hold what the request names. It says so by the status alone.
    Misdirected,
    /// Endpoints refuse requests with this status, but proxies and failing endpoints use it too.
    Refusal,
    /// Endpoints do not refuse requests with this status.
    Other,
}

/// The head of an answer, as far as it bears on whether the request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The attempt that it names.
    pub echo: Echo,
    /// Its status.
    pub status: Status,
    /// Whether it states that the request was not run.
    pub states_not_run: bool,
    /// Whether the attempt was sent on the connection before, so that the answer may be to the earlier send.
    pub is_resent: bool,
}

/// What was seen of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    /// No byte of the request was written.
    Unwritten,
    /// The request was written, at least in part, and no answer arrived.
    Unanswered,
    /// An answer arrived.
    Answered(Answer),
}

/// Whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// It has not run and will not run.
    NotRun,
    /// It may have run, or may run yet.
    Unknown,
}

impl Execution {
    /// Decides whether a request has run from what was seen of one send.
    pub fn of(seen: Sighting) -> Self {
        let is_proved = match seen {
            Sighting::Unwritten => true,
            Sighting::Unanswered => false,
            Sighting::Answered(answer) => answer.is_proof(),
        };
        if is_proved {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}

impl Answer {
    /// Returns whether it proves that the send that it was taken for has not run.
    fn is_proof(self) -> bool {
        let is_refusal = match self.status {
            Status::Misdirected => true,
            Status::Refusal => self.states_not_run,
            Status::Other => false,
        };
        is_refusal && self.echo == Echo::Own && !self.is_resent
    }
}

/// The sends of one attempt.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Sends {
    written: u32,
    unknown: u32,
}

impl Sends {
    /// Records that a send begins. It may run until [`Sends::end`] proves otherwise, also if it is cancelled.
    pub fn begin(&mut self) {
        self.written += 1;
        self.unknown += 1;
    }

    /// Records what was seen of a send that began.
    pub fn end(&mut self, seen: Sighting) {
        if seen == Sighting::Unwritten {
            self.written -= 1;
        }
        if Execution::of(seen) == Execution::NotRun {
            self.unknown -= 1;
        }
    }

    /// Returns the number of sends of which bytes may have been written.
    pub fn written(self) -> u32 {
        self.written
    }

    /// Returns the number of sends that may have run.
    pub fn runs(self) -> u32 {
        self.unknown
    }

    /// Returns whether a reply may promise that the attempt has not run and will not run.
    pub fn may_promise(self) -> bool {
        self.unknown == 0
    }
}
