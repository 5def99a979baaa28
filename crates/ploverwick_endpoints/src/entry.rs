//! What the platform's list says of one endpoint.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes requests.
    Ready,
    /// It is leaving and must get no new ones.
    Draining,
}

/// A base model that an endpoint holds, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The base model.
    pub model: Arc<str>,
    /// The adapters, each with its version.
    pub adapters: Vec<(Arc<str>, u64)>,
}

/// One line of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The identifier of this life of the endpoint; a restart has another one, also where the
    /// platform lists it under the same name.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The requests that it works on at once, 1 or more.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: State,
    /// What it held when it reported, if it serves models.
    pub held: Vec<Held>,
    /// When its process started, in milliseconds of Unix time; 0 if it does not say.
    pub born: u64,
    /// The number of the heartbeat that says so; instances do not tell it each other.
    #[serde(skip)]
    pub beat: u64,
}
