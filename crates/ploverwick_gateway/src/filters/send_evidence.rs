//! What was seen of the sends of a request, from which it follows whether the request may have run.

use std::fmt;
use std::sync::Arc;

use http::StatusCode;
use ploverwick_endpoints::execution::{Answer, Execution, Sends, Sighting};
use ploverwick_platform::answer::Head;

use crate::pool::{Connection, ConnectionId};

/// The number of sends that are kept of a request for the log; further ones are counted.
const MAX_SENDS: usize = 8;

/// The sends of a request.
#[derive(Debug, Default)]
pub(crate) struct SendEvidence {
    sends: Sends,
    seen: Vec<SeenSend>,
    omitted: u32,
    /// The number of answers that proved that the request has not run.
    refusals: u32,
}

/// A send that has ended.
#[derive(Debug)]
pub(crate) struct SeenSend {
    pub(crate) endpoint: Arc<str>,
    pub(crate) sighting: Sighting,
    /// The head of the answer, if one arrived.
    pub(crate) answer: Option<SeenAnswer>,
    /// What the send was taken for.
    pub(crate) outcome: &'static str,
}

/// The head of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SeenAnswer {
    connection: ConnectionId,
    exchange: u32,
    status: StatusCode,
    pub(crate) answer: Answer,
}

impl SeenAnswer {
    /// Creates the head of an answer. `is_resent` is whether the request was sent on the connection before.
    pub(crate) fn new(
        connection: &Connection,
        status: StatusCode,
        head: &Head,
        is_resent: bool,
    ) -> Self {
        Self {
            connection: connection.id,
            exchange: connection.exchanges.begun(),
            status,
            answer: Answer {
                echo: head.echo,
                status: head.status,
                states_not_run: head.states_not_run,
                is_resent,
            },
        }
    }
}

impl SendEvidence {
    /// Returns what the sends so far amount to.
    pub(crate) fn sends(&self) -> Sends {
        self.sends
    }

    /// Returns whether an answer proved that the request has not run.
    pub(crate) fn has_proof(&self) -> bool {
        self.refusals > 0
    }

    /// Returns whether any send has ended.
    pub(crate) fn has_ended(&self) -> bool {
        !self.seen.is_empty()
    }

    /// Records that a send begins.
    pub(crate) fn begin(&mut self) {
        self.sends.begin();
    }

    /// Records a send that began before.
    pub(crate) fn end(&mut self, send: SeenSend) {
        self.sends.end(send.sighting);
        let is_proof = Execution::of(send.sighting) == Execution::NotRun;
        self.refusals += u32::from(is_proof && send.answer.is_some());
        if self.seen.len() < MAX_SENDS {
            self.seen.push(send);
        } else {
            self.omitted += 1;
        }
    }
}

impl fmt::Display for SendEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, send) in self.seen.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            write!(f, "{separator}{send}")?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => write!(f, " +{omitted}"),
        }
    }
}

impl fmt::Display for SeenSend {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.endpoint)?;
        if let Some(answer) = &self.answer {
            write!(f, "@{answer}")?;
        }
        write!(f, "={}", self.outcome)
    }
}

impl fmt::Display for SeenAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let statement = if self.answer.states_not_run {
            "not_run"
        } else {
            "nothing"
        };
        write!(
            f,
            "{}/{}:{},{},{statement}",
            self.connection,
            self.exchange,
            self.status.as_u16(),
            self.answer.echo.name()
        )
    }
}
