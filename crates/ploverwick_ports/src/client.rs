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

/// The largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a call failed, which determines whether the call may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent, so the call had no effect.
    #[error("cannot reach {address}: {cause}")]
    Unreachable {
        /// The address of the service.
        address: SocketAddr,
        /// The connection error.
        cause: String,
    },
    /// The call was sent but no complete response arrived, so whether it took effect is unknown.
    #[error("no whole answer from {address}: {cause}")]
    ResponseLost {
        /// The address of the service.
        address: SocketAddr,
        /// The transport, timeout or decoding error.
        cause: String,
    },
    /// The service responded that it did not carry out the call.
    #[error("{address} answered {status}: {body}")]
    Refused {
        /// The address of the service.
        address: SocketAddr,
        /// The HTTP status code.
        status: u16,
        /// The start of the response body.
        body: String,
    },
}

impl CallError {
    /// Returns whether the call is known to have had no effect.
    pub fn had_no_effect(&self) -> bool {
        !matches!(self, Self::ResponseLost { .. })
    }
}

/// An HTTP client with a connection pool. Clones share the pool.
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
    /// Creates a client with its own connection pool.
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

    /// Sends a request and returns the response head; the body is still to be read.
    ///
    /// # Errors
    /// Fails with [`CallError::Unreachable`] if nothing was sent, and otherwise with
    /// [`CallError::ResponseLost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, CallError> {
        self.pool.request(request).await.map_err(|error| {
            let cause = error_chain(&error);
            if error.is_connect() {
                CallError::Unreachable { address, cause }
            } else {
                CallError::ResponseLost { address, cause }
            }
        })
    }

    /// Calls a JSON service and decodes the response.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does, with [`CallError::ResponseLost`] after `timeout`, and with
    /// [`CallError::Refused`] if the status is not a success.
    pub async fn call<A: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        argument: Option<&A>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let body = argument.map_or_else(Vec::new, |argument| {
            serde_json::to_vec(argument).expect("message types serialize to JSON")
        });
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("paths consist of constants and valid names");
        let response = tokio::time::timeout(timeout, self.exchange(address, request));
        let bytes = response.await.unwrap_or_else(|_| {
            let cause = format!("timeout after {} ms", timeout.as_millis());
            Err(CallError::ResponseLost { address, cause })
        })?;
        serde_json::from_slice(&bytes).map_err(|error| CallError::ResponseLost {
            address,
            cause: format!("cannot decode the response: {error}"),
        })
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Bytes, CallError> {
        let response = self.send(address, request).await?;
        let status = response.status();
        let body = read_body(address, response.into_body()).await?;
        if status.is_success() {
            return Ok(body);
        }
        Err(status_error(address, status, &body))
    }

    /// Reads a JSON document if it has changed since the version with the given entity tag.
    ///
    /// # Errors
    /// Fails as [`Client::call`] does.
    pub async fn read_if_changed<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        tag: Option<&str>,
        timeout: Duration,
    ) -> Result<Option<Tagged<T>>, CallError> {
        let mut request = Request::get(format!("http://{address}{path}"));
        if let Some(tag) = tag {
            request = request.header(http::header::IF_NONE_MATCH, tag);
        }
        let request = request
            .body(Full::default())
            .expect("paths consist of constants and valid names");
        let reading = self.read_tagged(address, request);
        tokio::time::timeout(timeout, reading)
            .await
            .unwrap_or_else(|_| {
                let cause = format!("timeout after {} ms", timeout.as_millis());
                Err(CallError::ResponseLost { address, cause })
            })
    }

    async fn read_tagged<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<Tagged<T>>, CallError> {
        let response = self.send(address, request).await?;
        let status = response.status();
        if status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = response.headers().get(http::header::ETAG);
        let tag = tag.and_then(|tag| tag.to_str().ok()).map(ToOwned::to_owned);
        let body = read_body(address, response.into_body()).await?;
        if !status.is_success() {
            return Err(status_error(address, status, &body));
        }
        let value = serde_json::from_slice(&body).map_err(|error| CallError::ResponseLost {
            address,
            cause: format!("cannot decode the response: {error}"),
        })?;
        Ok(Some(Tagged { value, tag }))
    }
}

/// A document and its entity tag, which a later conditional read sends as `If-None-Match`.
#[derive(Debug, Clone)]
pub struct Tagged<T> {
    /// The document.
    pub value: T,
    /// The entity tag, if the service sent one.
    pub tag: Option<String>,
}

/// Reads a complete response body.
///
/// # Errors
/// Fails with [`CallError::ResponseLost`] if the body is truncated or too large.
pub async fn read_body(address: SocketAddr, body: Incoming) -> Result<Bytes, CallError> {
    let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    collected
        .map(http_body_util::Collected::to_bytes)
        .map_err(|error| CallError::ResponseLost {
            address,
            cause: error.to_string(),
        })
}

/// Creates the error for a response with a status other than success.
pub fn status_error(address: SocketAddr, status: StatusCode, body: &Bytes) -> CallError {
    const MAX_BODY_CHARS: usize = 300;
    let text = String::from_utf8_lossy(body);
    CallError::Refused {
        address,
        status: status.as_u16(),
        body: text.chars().take(MAX_BODY_CHARS).collect(),
    }
}

/// Formats an error together with its chain of sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
