//! Client of the roster, the platform's list of live and leaving instances and endpoints. The list
//! may be stale.
//!
//! Protocol: `GET /roster` returns a [`Listing`] with an `ETag`; with `If-None-Match` it returns
//! 304 if the list has not changed. At 330 instances and 870 endpoints the full list is a quarter
//! of a megabyte, so fetching it on every poll would exceed the control traffic budget many times
//! over.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use ploverwick_names::{Domain, Endpoint, Instance};
use serde::{Deserialize, Serialize};

use crate::client::{CallError, Client, Tagged};

/// The lifecycle state of a listed instance or endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service.
    Live,
    /// Draining: about to shut down and accepting no new work.
    Leaving,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Adapters of this base model.
    Model(String),
    /// A service without models, with this name.
    Service(String),
}

/// Whether an endpoint enforces fencing tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old token are refused.
    Checked,
    /// Orders are carried out regardless of their token.
    Ignored,
}

/// The roster entry of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The name.
    pub name: Instance,
    /// The lifecycle state.
    pub state: State,
    /// The failure domain.
    pub failure_domain: Domain,
    /// The address for traffic from other daemons.
    pub peers: SocketAddr,
    /// The address of the admin interface for operators.
    pub admin: SocketAddr,
}

/// The roster entry of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The name.
    pub name: Endpoint,
    /// The lifecycle state.
    pub state: State,
    /// The failure domain.
    pub failure_domain: Domain,
    /// The address for requests and orders.
    pub address: SocketAddr,
    /// The model or service that the endpoint serves.
    pub serves: Serves,
    /// Whether the endpoint enforces fencing tokens.
    pub fencing: Fencing,
}

/// The full list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The instances.
    pub instances: Vec<InstanceEntry>,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

impl Listing {
    /// Returns the entry of an endpoint.
    pub fn endpoint(&self, name: &Endpoint) -> Option<&EndpointEntry> {
        self.endpoints.iter().find(|entry| &entry.name == name)
    }

    /// Returns the entry of an instance.
    pub fn instance(&self, name: &Instance) -> Option<&InstanceEntry> {
        self.instances.iter().find(|entry| &entry.name == name)
    }
}

/// A client of the roster.
#[derive(Debug, Clone)]
pub struct Roster {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Roster {
    /// Creates a client of the roster at `address`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// Reads the full list.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or does not respond in time.
    pub async fn read(&self) -> Result<Listing, CallError> {
        self.client
            .call::<(), _>(Method::GET, self.address, "/roster", None, self.timeout)
            .await
    }

    /// Reads the list if it has changed since the version with the given entity tag.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or does not respond in time.
    pub async fn read_if_changed(
        &self,
        tag: Option<&str>,
    ) -> Result<Option<Tagged<Listing>>, CallError> {
        self.client
            .read_if_changed(self.address, "/roster", tag, self.timeout)
            .await
    }
}
