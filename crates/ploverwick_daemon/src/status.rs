//! The status of a daemon, as reported to operators.

use ploverwick_names::{Endpoint, Offset, Token, Variant};
use ploverwick_owner::endpoint::State;
use serde::{Deserialize, Serialize};

/// The status of a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Status {
    /// The name of the instance.
    pub instance: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether it is draining and refuses new requests.
    pub draining: bool,
    /// The version of the current table.
    pub table: Offset,
    /// The other members of the fleet, as known to this daemon.
    pub members: Vec<MemberStatus>,
    /// All listed model endpoints with their owners.
    pub endpoints: Vec<EndpointStatus>,
    /// The listed endpoints that it owns or has owned.
    pub owned: Vec<OwnedEndpoint>,
    /// The number of cached responses for idempotency keys.
    pub answers: usize,
    /// The number of claim partitions of which it is the scribe.
    pub scribes: usize,
}

/// A member of the fleet, as known to a daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the instance.
    pub instance: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: String,
}

/// An endpoint and its owner, if known.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The owner's identity.
    pub owner: Option<String>,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// An endpoint, as known to its current or former owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OwnedEndpoint {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Whether this daemon still owns it.
    pub owned: bool,
    /// Whether no request or order of this daemon is running there or in flight, so that successors
    /// may be notified.
    pub settled: bool,
    /// The newest fencing token.
    pub token: Token,
    /// The number of requests waiting.
    pub waiting: usize,
    /// The number of requests running.
    pub running: usize,
    /// The maximum number of requests in a batch.
    pub batch: u32,
    /// The occupied adapter slots.
    pub slots: Vec<Slot>,
}

/// An occupied adapter slot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Slot {
    /// The adapter version in the slot.
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
