//! Connections that broke under requests, until it is known what became of the endpoint.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;

use crate::Fingerprint;

/// Requests that are remembered for one endpoint: more than an instance has under way there.
const MOST: usize = 512;

/// A request whose connection broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// What makes it the same as another attempt.
    pub fingerprint: Fingerprint,
    /// The attempt's identifier, for the log.
    pub id: Arc<str>,
}

/// What became of an endpoint whose connections broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Diagnosis {
    /// Nobody listens at its address.
    Refuses,
    /// Its machine does not answer, and the list has dropped it.
    Delisted,
    /// It still takes connections.
    Listens,
    /// It was leaving.
    Leaves,
    /// It does not answer, and is still listed.
    Silent,
}

impl Diagnosis {
    /// Returns whether the endpoint's process has ended, unplanned.
    pub fn is_crash(self) -> bool {
        match self {
            Self::Refuses | Self::Delisted => true,
            Self::Listens | Self::Leaves | Self::Silent => false,
        }
    }

    /// Returns its name, for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refuses => "refuses",
            Self::Delisted => "delisted",
            Self::Listens => "listens",
            Self::Leaves => "leaves",
            Self::Silent => "silent",
        }
    }
}

/// What is known of an endpoint when a connection to it is found broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finding {
    /// Nothing; somebody has to find out.
    New,
    /// Somebody is finding out.
    Pending,
    /// It crashed; here is the request back.
    Crashed(Suspect),
    /// It did not crash.
    Spared,
}

#[derive(Debug)]
enum Break {
    /// The requests that wait for a diagnosis.
    Open(Vec<Suspect>),
    Diagnosed(Diagnosis),
}

/// The endpoints, by life, whose connections broke lately.
#[derive(Debug, Default)]
pub struct Breaks(HashMap<Arc<str>, Break>);

impl Breaks {
    /// Takes in that the connection to a life of an endpoint broke under a request.
    pub fn broke(&mut self, life: &Arc<str>, suspect: Suspect) -> Finding {
        match self.0.entry(Arc::clone(life)) {
            Entry::Vacant(place) => {
                place.insert(Break::Open(vec![suspect]));
                Finding::New
            }
            Entry::Occupied(mut place) => match place.get_mut() {
                Break::Open(suspects) => {
                    if suspects.len() < MOST {
                        suspects.push(suspect);
                    }
                    Finding::Pending
                }
                Break::Diagnosed(diagnosis) if diagnosis.is_crash() => Finding::Crashed(suspect),
                Break::Diagnosed(_) => Finding::Spared,
            },
        }
    }

    /// Takes in what became of the endpoint, and returns the requests that waited for it.
    pub fn diagnosed(&mut self, life: &Arc<str>, diagnosis: Diagnosis) -> Vec<Suspect> {
        match self.0.insert(Arc::clone(life), Break::Diagnosed(diagnosis)) {
            Some(Break::Open(suspects)) => suspects,
            Some(Break::Diagnosed(_)) | None => Vec::new(),
        }
    }

    /// Forgets a life of an endpoint.
    pub fn forget(&mut self, life: &str) {
        self.0.remove(life);
    }
}
