//! What a daemon tells operators of itself.

use ploverwick_names::{Endpoint, Offset, Token, Variant};
use ploverwick_owner::endpoint::State;
use serde::{Deserialize, Serialize};

/// The status of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub instance: String,
    /// Which of its lives.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// The version of the table in force.
    pub table: Offset,
    /// The other instances as it knows them.
    pub members: Vec<MemberStatus>,
    /// Every model endpoint listed, with its owner.
    pub endpoints: Vec<EndpointStatus>,
    /// The endpoints that it owns, or owned and still has requests on.
    pub owned: Vec<OwnedEndpoint>,
    /// The number of keyed answers held.
    pub answers: usize,
    /// The number of key partitions of which it is the scribe.
    pub scribes: usize,
}

/// A member as a daemon knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The instance.
    pub instance: String,
    /// Which of its lives.
    pub incarnation: u64,
    /// Its state.
    pub state: String,
}

/// An endpoint and its owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its owner.
    pub owner: Option<String>,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// An endpoint as its owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether it is still owned here.
    pub owned: bool,
    /// Whether nothing of this daemon runs there or is on its way, and its successor may know.
    pub settled: bool,
    /// The newest fencing token.
    pub token: Token,
    /// The number of requests waiting.
    pub waiting: usize,
    /// The number of requests running.
    pub running: usize,
    /// The most requests computed in one step.
    pub batch: u32,
    /// The adapter slots in use.
    pub slots: Vec<Slot>,
}

/// An adapter slot in use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Slot {
    /// What it holds.
    pub variant: Variant,
    /// Its state.
    pub state: String,
    /// The number of requests running on it.
    pub running: u32,
}

impl From<(&Variant, State, u32)> for Slot {
    fn from((variant, state, running): (&Variant, State, u32)) -> Self {
        let state = match state {
            State::Loading => "loading",
            State::Loaded => "loaded",
            State::Announced => "announced",
            State::Unloading => "unloading",
            State::LoadLost => "load lost",
            State::UnloadLost => "unload lost",
        };
        Self {
            variant: variant.clone(),
            state: state.to_owned(),
            running,
        }
    }
}
