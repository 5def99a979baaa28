//! What was seen of the sends of a request, from which it follows whether the request has run.

use std::fmt;
use std::sync::Arc;

use ploverwick_endpoints::Echo;
use ploverwick_platform::answer::Head;

use super::admitted_request::AdmittedRequest;
use crate::metrics;
use crate::pool::{Connection, ConnectionId};
use crate::shared::Shared;

/// The number of sends that are kept of a request; further ones are counted.
const MAX_SENDS: usize = 8;

/// The sends of a request.
#[derive(Debug, Default)]
pub(crate) struct SendEvidence {
    sends: Vec<SeenSend>,
    omitted: u32,
    /// The number of answers that proved that the request has not run.
    refusals: u32,
}

/// A send of a request.
#[derive(Debug)]
pub(crate) struct SeenSend {
    pub(crate) endpoint: Arc<str>,
    /// What was answered; `None` if nothing was.
    pub(crate) answer: Option<SeenAnswer>,
    /// What the send was taken for.
    pub(crate) outcome: &'static str,
}

/// The head of an answer.
#[derive(Debug)]
pub(crate) struct SeenAnswer {
    connection: ConnectionId,
    exchange: u32,
    status: u16,
    echo: Echo,
    statement: &'static str,
}

impl SeenAnswer {
    pub(crate) fn new(connection: &Connection, status: u16, head: &Head) -> Self {
        Self {
            connection: connection.id,
            exchange: connection.exchanges.begun(),
            status,
            echo: head.echo,
            statement: head.statement.name(),
        }
    }
}

impl SendEvidence {
    pub(crate) fn record(&mut self, send: SeenSend, proves_not_run: bool) {
        self.refusals += u32::from(proves_not_run && send.answer.is_some());
        if self.sends.len() < MAX_SENDS {
            self.sends.push(send);
        } else {
            self.omitted += 1;
        }
    }
}

impl fmt::Display for SendEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, send) in self.sends.iter().enumerate() {
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
            let SeenAnswer {
                connection,
                exchange,
                status,
                echo,
                statement,
            } = answer;
            let echo = echo.name();
            write!(f, "@{connection}/{exchange}:{status},{echo},{statement}")?;
        }
        write!(f, "={}", self.outcome)
    }
}

/// Logs what was seen of a request that may run only once and was refused at least once, when it ends with `status`.
///
/// The line has a limit of its own, as it is needed most under a load at which lines about other requests are dropped.
pub(crate) fn log(shared: &Shared, request: &AdmittedRequest, status: u16) {
    let evidence = request.lock_evidence();
    if evidence.refusals == 0 || request.route.kind.may_retry() {
        return;
    }
    let ending = if is_promise(status) {
        "promise"
    } else {
        "other"
    };
    metrics::refused_request(ending);
    if shared.evidence_limiter.allow(shared.now()) {
        spdlog::info!(
            "not_run_evidence id={} route={} status={} sends=\"{}\"",
            request.info.id,
            request.route.name,
            status,
            evidence
        );
    }
}

/// Returns whether a status promises that the request has not run and will not run.
fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
