//! Judges a run by what the clients and the endpoints saw.

use std::collections::HashMap;
use std::fmt;

use ploverwick_platform_standin::client::ClientResponse;

/// What a client saw of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Its identifier.
    pub id: String,
    /// Whether it may run only once.
    pub runs_once: bool,
    /// How it ended.
    pub ending: Ending,
}

/// How an attempt ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer to this attempt arrived.
    Served,
    /// A success arrived with the wrong bytes, although it looks complete.
    Wrong,
    /// A success broke off.
    Incomplete,
    /// Any other status arrived.
    Status(u16),
    /// The connection ended before an answer.
    Closed,
    /// The client left.
    Abandoned,
}

impl Ending {
    /// Returns how an attempt ended whose answer has the body `expected`.
    pub fn of(response: &ClientResponse, expected: &str) -> Self {
        match response.status.as_u16() {
            200 if !response.is_whole => Self::Incomplete,
            200 if response.body == expected => Self::Served,
            200 => Self::Wrong,
            status => Self::Status(status),
        }
    }

    /// Returns whether the client was promised that the attempt has not run and will not run.
    pub fn is_promise(self) -> bool {
        matches!(self, Self::Status(408 | 421 | 429 | 503))
    }
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A request that may run once ran this many times.
    Repeated(usize),
    /// A request was refused with a promise, and ran.
    RefusedButRun,
    /// A success had the wrong bytes.
    WrongAnswer,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct Verdict {
    /// The number of attempts.
    pub attempts: usize,
    /// The number of attempts that were served.
    pub served: usize,
    /// The number of attempts that were refused with a promise.
    pub promised: usize,
    /// The broken promises, by attempt.
    pub violations: Vec<(String, Ending, Violation)>,
}

impl Verdict {
    /// Judges the attempts of the clients by the runs that the endpoints reported.
    pub fn of(attempts: &[Attempt], runs: &HashMap<String, usize>) -> Self {
        let mut verdict = Self {
            attempts: attempts.len(),
            ..Self::default()
        };
        for attempt in attempts {
            let ending = attempt.ending;
            verdict.served += usize::from(ending == Ending::Served);
            verdict.promised += usize::from(ending.is_promise());
            let runs = runs.get(&attempt.id).copied().unwrap_or_default();
            for violation in violations(attempt, runs) {
                let id = attempt.id.clone();
                verdict.violations.push((id, ending, violation));
            }
        }
        verdict
    }

    /// Returns the number of requests that ran more than once, and of those that ran after a promise.
    pub fn counts(&self) -> (usize, usize) {
        let count = |is_kind: fn(&Violation) -> bool| {
            let kinds = self.violations.iter();
            kinds.filter(|(_, _, violation)| is_kind(violation)).count()
        };
        (
            count(|violation| matches!(violation, Violation::Repeated(_))),
            count(|violation| *violation == Violation::RefusedButRun),
        )
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (repeated, refused) = self.counts();
        let others = self.violations.len() - repeated - refused;
        let Self {
            attempts,
            served,
            promised,
            ..
        } = self;
        write!(
            f,
            "{attempts} attempts, {served} served, {promised} promised; {repeated} ran twice, {refused} ran after a promise, {others} wrong"
        )
    }
}

fn violations(attempt: &Attempt, runs: usize) -> Vec<Violation> {
    let mut violations = Vec::new();
    if attempt.runs_once && runs > 1 {
        violations.push(Violation::Repeated(runs));
    }
    if attempt.runs_once && runs > 0 && attempt.ending.is_promise() {
        violations.push(Violation::RefusedButRun);
    }
    if attempt.ending == Ending::Wrong {
        violations.push(Violation::WrongAnswer);
    }
    violations
}
