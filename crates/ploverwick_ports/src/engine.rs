//! Client of model engines.
//!
//! Protocol: `GET /report` returns a [`Report`]; `POST /orders/load`, `/orders/unload` and
//! `/orders/fence` take an [`Order`]; `POST /v1/..` runs a request; `POST /cancel` cancels one.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use ploverwick_names::{Incarnation, Token, Variant};
use serde::{Deserialize, Serialize};

use crate::client::{CallError, Client};
use crate::header;

/// The event that ends a stream.
pub const STREAM_ENDS: &[&[u8]] = &[b"data: [DONE]\n\n"];

/// The state of an adapter slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotState {
    /// The adapter's weights are being loaded.
    Loading,
    /// The adapter is ready to run requests.
    Loaded,
}

/// An occupied adapter slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The adapter and version in the slot.
    pub variant: Variant,
    /// The load state.
    pub state: SlotState,
    /// The number of requests running on this adapter.
    pub running: u32,
}

/// The state that an engine reports about itself. It may be stale.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine's incarnation, which changes with every restart.
    pub incarnation: Incarnation,
    /// The number of adapter slots.
    pub slots: u32,
    /// The maximum batch size: the number of requests computed per step.
    pub batch: u32,
    /// The number of running requests.
    pub running: u32,
    /// The occupied slots.
    pub used: Vec<Slot>,
    /// Whether the engine is about to shut down.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Order {
    /// The adapter; `None` for an order that only presents the token.
    pub variant: Option<Variant>,
    /// The owner's fencing token.
    pub token: Token,
}

/// An engine's response to an order that it carried out.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderAck {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
}

/// A request to cancel a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Cancel {
    /// The identifier of the request.
    pub request: String,
}

/// A request to run on an engine.
#[derive(Debug, Clone)]
pub struct Run {
    /// The path, such as `/v1/completions`.
    pub path: String,
    /// The request's identifier.
    pub request: String,
    /// The resolved model.
    pub model: String,
    /// The request body.
    pub body: Bytes,
    /// The priority, 0 to 9.
    pub priority: u32,
    /// The number of the last event that the caller has received; 0 for none.
    pub resume_after: u64,
    /// The owner's fencing token.
    pub token: Token,
    /// The sender's hybrid logical clock timestamp.
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
    /// Creates a client of the engine at `address`. `timeout` applies to all calls except loads and
    /// runs.
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

    /// Fetches the engine's report.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or does not respond in time.
    pub async fn report(&self) -> Result<Report, CallError> {
        self.client
            .call::<(), _>(Method::GET, self.address, "/report", None, self.timeout)
            .await
    }

    /// Orders an adapter to be loaded and waits up to `timeout` for it to finish.
    ///
    /// # Errors
    /// After [`CallError::ResponseLost`] the adapter may or may not be loaded; fetch a report to
    /// find out.
    pub async fn load(&self, order: &Order, timeout: Duration) -> Result<OrderAck, CallError> {
        self.order("/orders/load", order, timeout).await
    }

    /// Orders an adapter to be unloaded.
    ///
    /// # Errors
    /// After [`CallError::ResponseLost`] the order may still take effect, now or later.
    pub async fn unload(&self, order: &Order) -> Result<OrderAck, CallError> {
        self.order("/orders/unload", order, self.timeout).await
    }

    /// Presents a fencing token to the engine, which then refuses orders with older tokens.
    ///
    /// # Errors
    /// Fails with [`CallError::Refused`] if the engine has seen a newer token.
    pub async fn fence(&self, token: Token) -> Result<OrderAck, CallError> {
        let order = Order {
            variant: None,
            token,
        };
        self.order("/orders/fence", &order, self.timeout).await
    }

    async fn order(
        &self,
        path: &str,
        order: &Order,
        timeout: Duration,
    ) -> Result<OrderAck, CallError> {
        self.client
            .call(Method::POST, self.address, path, Some(order), timeout)
            .await
    }

    /// Cancels a run.
    ///
    /// # Errors
    /// Fails if the engine cannot be reached or does not respond in time.
    pub async fn cancel(&self, request: &str) -> Result<(), CallError> {
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

    /// Runs a request and returns the response head; the body is still to be read.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does.
    pub async fn run(&self, run: &Run) -> Result<Response<Incoming>, CallError> {
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
            .map_err(|error| CallError::Unreachable {
                address: self.address,
                cause: error.to_string(),
            })?;
        self.client.send(self.address, request).await
    }
}
