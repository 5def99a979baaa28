//! Connections that broke while requests were running, until the cause is diagnosed.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use crate::Fingerprint;
use crate::prompt::{Caller, Knowledge, Part};

/// The most suspects kept per endpoint: more than an instance has in flight to one.
const MAX_SUSPECTS: usize = 512;

/// A request whose connection broke, and which may have crashed the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Identifies the request across attempts.
    pub fingerprint: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Arc<[Part]>,
    /// What was known of these parts when the answer began, or when the request was sent if it had not begun.
    pub known: Knowledge,
    /// Who sent the request.
    pub caller: Caller,
    /// The identifier of the attempt, for the log.
    pub id: Arc<str>,
    /// The route, for the log.
    pub route: Arc<str>,
    /// The adapter, for the log; empty if the request names none.
    pub adapter: Arc<str>,
}

/// The diagnosed state of an endpoint whose connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Diagnosis {
    /// Its address refuses connections.
    Refuses,
    /// Its machine does not answer, and it is no longer listed.
    Delisted,
    /// It still accepts connections.
    Listens,
    /// It was draining.
    Leaves,
    /// Its machine does not answer, but it is still listed.
    Silent,
    /// It crashed because it had to turn requests away, and not because of one that it ran.
    Overloaded,
}

impl Diagnosis {
    /// Returns whether the endpoint's process has crashed, so that one of the requests that it ran may be the cause.
    pub fn is_crash(self) -> bool {
        match self {
            Self::Refuses | Self::Delisted => true,
            Self::Listens | Self::Leaves | Self::Silent | Self::Overloaded => false,
        }
    }

    /// Returns the diagnosis of a brittle endpoint that turned so many requests away shortly before.
    #[must_use]
    pub fn after_refusals(self, refusals: usize) -> Self {
        if self.is_crash() && refusals > 0 {
            Self::Overloaded
        } else {
            self
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refuses => "refuses",
            Self::Delisted => "delisted",
            Self::Listens => "listens",
            Self::Leaves => "leaves",
            Self::Silent => "silent",
            Self::Overloaded => "overloaded",
        }
    }
}

/// The result of [`BrokenConnections::record`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// The first broken connection; the caller has to start a diagnosis.
    New,
    /// A diagnosis is in progress.
    Pending,
    /// The endpoint crashed; returns the suspect.
    Crashed(Suspect),
    /// The endpoint did not crash.
    NotCrashed,
}

#[derive(Debug)]
enum DiagnosisState {
    /// The suspects that wait for a diagnosis.
    Pending(Vec<Suspect>),
    Diagnosed(Diagnosis),
}

/// The endpoints whose connections broke recently.
///
/// They are keyed by an identifier that is unique to one incarnation of the endpoint.
#[derive(Debug, Default)]
pub struct BrokenConnections(HashMap<Arc<str>, DiagnosisState>);

impl BrokenConnections {
    /// Records that a connection to an endpoint broke while it ran a request.
    pub fn record(&mut self, endpoint_id: &Arc<str>, suspect: Suspect) -> Finding {
        match self.0.entry(Arc::clone(endpoint_id)) {
            Entry::Vacant(entry) => {
                entry.insert(DiagnosisState::Pending(vec![suspect]));
                Finding::New
            }
            Entry::Occupied(mut entry) => match entry.get_mut() {
                DiagnosisState::Pending(suspects) => {
                    if suspects.len() < MAX_SUSPECTS {
                        suspects.push(suspect);
                    }
                    Finding::Pending
                }
                DiagnosisState::Diagnosed(diagnosis) if diagnosis.is_crash() => {
                    Finding::Crashed(suspect)
                }
                DiagnosisState::Diagnosed(_) => Finding::NotCrashed,
            },
        }
    }

    /// Stores the diagnosis of an endpoint, and returns the suspects that waited for it.
    pub fn resolve(&mut self, endpoint_id: &Arc<str>, diagnosis: Diagnosis) -> Vec<Suspect> {
        match self.0.insert(
            Arc::clone(endpoint_id),
            DiagnosisState::Diagnosed(diagnosis),
        ) {
            Some(DiagnosisState::Pending(suspects)) => suspects,
            Some(DiagnosisState::Diagnosed(_)) | None => Vec::new(),
        }
    }

    /// Removes an endpoint and its diagnosis.
    pub fn remove(&mut self, endpoint_id: &str) {
        self.0.remove(endpoint_id);
    }
}
