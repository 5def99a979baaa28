//! Model engines.
//!
//! Dialect: `GET /report` gives a [`Report`]; `POST /orders/load`, `/orders/unload` and
//! `/orders/fence` take an [`Order`]; `POST /v1/..` runs a request; `POST /cancel` stops one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use ploverwick_names::{Incarnation, Token, Variant};
use serde::{Deserialize, Serialize};

use crate::client::{Client, Fault};
use crate::header;

/// The state of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The weights are on their way.
    Loading,
    /// Requests can run.
    Loaded,
}

/// An adapter slot in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// What the slot holds.
    pub variant: Variant,
    /// Whether it is ready.
    pub state: SlotState,
    /// The number of requests running on it.
    pub running: u32,
}

/// What an engine says of itself. It lags behind reality.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Tells two lives of the engine apart.
    pub incarnation: Incarnation,
    /// The number of adapter slots.
    pub slots: u32,
    /// The most requests that one step computes.
    pub batch: u32,
    /// The number of requests running.
    pub running: u32,
    /// The slots in use.
    pub used: Vec<Slot>,
    /// Whether the engine is about to go.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The adapter; none for an order that only shows the token.
    pub variant: Option<Variant>,
    /// The owner's fencing token.
    pub token: Token,
}

/// An engine's answer to an order that it followed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Followed {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
}

/// A request to cancel a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The request.
    pub request: String,
}

/// A request on its way to an engine.
#[derive(Debug, Clone)]
pub struct Run {
    /// The path, such as `/v1/completions`.
    pub path: String,
    /// The request's identifier.
    pub request: String,
    /// The resolved model.
    pub model: String,
    /// The body.
    pub body: Bytes,
    /// The priority, 0 to 9.
    pub priority: u32,
    /// The last event that the caller has; 0 for none.
    pub resume_after: u64,
    /// The owner's fencing token.
    pub token: Token,
    /// The sender's hybrid logical clock.
    pub stamp: u64,
}

/// A client of one engine.
#[derive(Debug, Clone)]
pub struct Engine {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Engine {
    /// Makes a client of the engine at `address`; `timeout` bounds short calls.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// Returns the engine's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks for the engine's report.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or does not answer in time.
    pub async fn report(&self) -> Result<Report, Fault> {
        self.client
            .call::<(), _>(Method::GET, self.address, "/report", None, self.timeout)
            .await
    }

    /// Orders an adapter to be loaded and waits up to `patience` until it is.
    ///
    /// # Errors
    /// After [`Fault::Lost`] the adapter may be loaded: ask for a report.
    pub async fn load(&self, order: &Order, patience: Duration) -> Result<Followed, Fault> {
        self.order("/orders/load", order, patience).await
    }

    /// Orders an adapter to be unloaded.
    ///
    /// # Errors
    /// After [`Fault::Lost`] the adapter may be unloaded, now or later.
    pub async fn unload(&self, order: &Order) -> Result<Followed, Fault> {
        self.order("/orders/unload", order, self.timeout).await
    }

    /// Shows the engine a token, so that it refuses older ones from now on.
    ///
    /// # Errors
    /// Fails with [`Fault::Refused`] if the engine has seen a newer token.
    pub async fn fence(&self, token: Token) -> Result<Followed, Fault> {
        let order = Order {
            variant: None,
            token,
        };
        self.order("/orders/fence", &order, self.timeout).await
    }

    async fn order(&self, path: &str, order: &Order, timeout: Duration) -> Result<Followed, Fault> {
        self.client
            .call(Method::POST, self.address, path, Some(order), timeout)
            .await
    }

    /// Cancels a run.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or does not answer in time.
    pub async fn cancel(&self, request: &str) -> Result<(), Fault> {
        let cancel = Cancel {
            request: request.to_owned(),
        };
        self.client
            .call(
                Method::POST,
                self.address,
                "/cancel",
                Some(&cancel),
                self.timeout,
            )
            .await
    }

    /// Runs a request and returns the head of the answer.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does.
    pub async fn run(&self, run: &Run) -> Result<Response<Incoming>, Fault> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.address, run.path))
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(header::REQUEST, &run.request)
            .header(header::MODEL, &run.model)
            .header(header::PRIORITY, run.priority)
            .header(header::FENCING_TOKEN, run.token.0)
            .header(header::STAMP, run.stamp)
            .header(header::LAST_EVENT_ID, run.resume_after)
            .body(Full::new(run.body.clone()))
            .map_err(|error| Fault::Unreachable {
                address: self.address,
                cause: error.to_string(),
            })?;
        self.client.send(self.address, request).await
    }
}
