//! Entries of the platform's endpoint list.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Build;

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Is leaving and must not be sent new requests.
    Draining,
}

/// A base model that is loaded on an endpoint, with its adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The name of the base model.
    pub model: Arc<str>,
    /// The name and version of each loaded adapter.
    pub adapters: Vec<(Arc<str>, u64)>,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies this incarnation of the endpoint. A restarted endpoint has a new identifier, even if the
    /// platform lists it under the same name.
    pub id: Arc<str>,
    /// The service that the endpoint belongs to.
    pub service: Arc<str>,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The failure domain of the endpoint.
    pub domain: Arc<str>,
    /// The version of its software; empty if not reported.
    pub software: Arc<str>,
    /// The number of requests that the endpoint processes concurrently; at least 1.
    pub slots: u32,
    /// Whether the endpoint accepts new requests.
    pub state: State,
    /// The models that were loaded at the last report; empty if the endpoint does not serve models.
    pub held: Vec<Held>,
    /// The start time of the process, in Unix milliseconds; 0 if not reported.
    pub born: u64,
    /// The sequence number of the heartbeat that carried this entry. Not sent between instances.
    #[serde(skip)]
    pub beat: u64,
}

impl Entry {
    /// Returns the build that the endpoint runs.
    pub fn build(&self) -> Build {
        Build::of(&self.software)
    }
}
