//! The platform's list of live and leaving instances. It lags behind reality.
//!
//! Dialect: `GET /roster` gives a [`Listing`] with an `ETag`; with `If-None-Match` it gives 304 if
//! the list has not changed. At 330 instances and 870 endpoints the whole list is a quarter of a
//! megabyte, so reading it each time would cost many times the budget for control traffic.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use ploverwick_names::{Domain, Endpoint, Instance};
use serde::{Deserialize, Serialize};

use crate::client::{Client, Fault, Tagged};

/// Whether something listed stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It stays.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}

/// What an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Serves {
    /// Adapters of this base model.
    Model(String),
    /// A plain service of this name.
    Service(String),
}

/// Whether an endpoint refuses an order with an old fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses such an order.
    Checked,
    /// It follows any order.
    Ignored,
}

/// An entry instance, as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Its name.
    pub name: Instance,
    /// Whether it stays.
    pub state: State,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// Where other daemons reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// An endpoint, as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its name.
    pub name: Endpoint,
    /// Whether it stays.
    pub state: State,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// What it serves.
    pub serves: Serves,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The entry instances.
    pub instances: Vec<InstanceEntry>,
    /// The endpoints.
    pub endpoints: Vec<EndpointEntry>,
}

impl Listing {
    /// Finds an endpoint.
    pub fn endpoint(&self, name: &Endpoint) -> Option<&EndpointEntry> {
        self.endpoints.iter().find(|entry| &entry.name == name)
    }

    /// Finds an entry instance.
    pub fn instance(&self, name: &Instance) -> Option<&InstanceEntry> {
        self.instances.iter().find(|entry| &entry.name == name)
    }
}

/// A client of the list.
#[derive(Debug, Clone)]
pub struct Roster {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Roster {
    /// Makes a client of the list at `address`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or does not answer in time.
    pub async fn read(&self) -> Result<Listing, Fault> {
        self.client
            .call::<(), _>(Method::GET, self.address, "/roster", None, self.timeout)
            .await
    }

    /// Reads the list, unless it is still the one with this tag.
    ///
    /// # Errors
    /// Fails if the service cannot be reached or does not answer in time.
    pub async fn read_changed(&self, tag: Option<&str>) -> Result<Option<Tagged<Listing>>, Fault> {
        self.client
            .read_changed(self.address, "/roster", tag, self.timeout)
            .await
    }
}
