//! A small HTTP client for JSON services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest answer that is read whole, in bytes.
const MAX_ANSWER: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Says how a call failed, and what that means for its effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// Nothing was sent, so the call had no effect.
    #[error("cannot reach {address}: {cause}")]
    Unreachable {
        /// Where the call went.
        address: SocketAddr,
        /// What the connection said.
        cause: String,
    },
    /// The call was sent and its answer is missing, so its effect is unknown.
    #[error("no whole answer from {address}: {cause}")]
    Lost {
        /// Where the call went.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The service answered that it did not do what was asked.
    #[error("{address} answered {status}: {body}")]
    Refused {
        /// Where the call went.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
        /// The start of the answer's body.
        body: String,
    },
}

impl Fault {
    /// Says whether the call certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::Lost { .. })
    }
}

/// A pooled client. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Client {
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Makes a client with a pool of its own.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { pool }
    }

    /// Sends a request and returns the head of its answer with the body still to be read.
    ///
    /// # Errors
    /// Fails with [`Fault::Unreachable`] if nothing was sent, else with [`Fault::Lost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        self.pool.request(request).await.map_err(|error| {
            let cause = describe(&error);
            if error.is_connect() {
                Fault::Unreachable { address, cause }
            } else {
                Fault::Lost { address, cause }
            }
        })
    }

    /// Calls a JSON service and reads its answer.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does, with [`Fault::Lost`] after `timeout`, and with
    /// [`Fault::Refused`] if the status is not a success.
    pub async fn call<A: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        argument: Option<&A>,
        timeout: Duration,
    ) -> Result<T, Fault> {
        let body = argument.map_or_else(Vec::new, |argument| {
            serde_json::to_vec(argument).expect("the project's own messages have a JSON form")
        });
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("paths are made of constants and names");
        let answer = tokio::time::timeout(timeout, self.exchange(address, request));
        let bytes = answer.await.unwrap_or_else(|_| {
            let cause = format!("timeout after {} ms", timeout.as_millis());
            Err(Fault::Lost { address, cause })
        })?;
        serde_json::from_slice(&bytes).map_err(|error| Fault::Lost {
            address,
            cause: format!("the answer cannot be read: {error}"),
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, Fault> {
        let response = self.send(address, request).await?;
        let status = response.status();
        let body = read_whole(address, response.into_body()).await?;
        if status.is_success() {
            return Ok(body);
        }
        Err(refused(address, status, &body))
    }

    /// Reads a JSON document, unless it is still the one with this tag.
    ///
    /// # Errors
    /// Fails as [`Client::call`] does.
    pub async fn read_changed<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        tag: Option<&str>,
        timeout: Duration,
    ) -> Result<Option<Tagged<T>>, Fault> {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(tag) = tag {
            request = request.header(http::header::IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Full::default())
            .expect("paths are made of constants and names");
        let reading = self.read_tagged(address, request);
        tokio::time::timeout(timeout, reading)
            .await
            .unwrap_or_else(|_| {
                let cause = format!("timeout after {} ms", timeout.as_millis());
                Err(Fault::Lost { address, cause })
            })
    }

    async fn read_tagged<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Tagged<T>>, Fault> {
        let response = self.send(address, request).await?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = response.headers().get(http::header::ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(ToOwned::to_owned);
        let body = read_whole(address, response.into_body()).await?;
        if !status.is_success() {
            return Err(refused(address, status, &body));
        }
        let value = serde_json::from_slice(&body).map_err(|error| Fault::Lost {
            address,
            cause: format!("the answer cannot be read: {error}"),
        })?;
        Ok(Some(Tagged { value, tag }))
    }
}

/// A document and the tag by which its next reading is spared if it has not changed.
#[derive(Debug, Clone)]
pub struct Tagged<T> {
    /// The document.
    pub value: T,
    /// Its tag, if the service gives one.
    pub tag: Option<String>,
}

/// Reads an answer's whole body.
///
/// # Errors
/// Fails with [`Fault::Lost`] if the body breaks off or is too large.
pub async fn read_whole(address: SocketAddr, body: Incoming) -> Result<Bytes, Fault> {
    let collected = Limited::new(body, MAX_ANSWER).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| Fault::Lost {
            address,
            cause: error.to_string(),
        })
}

/// Makes a fault of an answer that is not a success.
pub fn refused(address: SocketAddr, status: StatusCode, body: &Bytes) -> Fault {
    const SHOWN: usize = 300;
    let text = String::from_utf8_lossy(body);
    Fault::Refused {
        address,
        status: status.as_u16(),
        body: text.chars().take(SHOWN).collect(),
    }
}

/// Names an error together with its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
