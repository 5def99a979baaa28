//! The parts that all stand-ins share: an HTTP server, a timeline and fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use ploverwick_serve::{
    Bounds, Handler, Reply, Server, StopGuard, StopSignal, json, stop_channel, stream, text,
};
use ploverwick_timeline::clock::Stamp;
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const MAX_EVENTS: usize = 16384;
const MAX_BODY_BYTES: usize = 64 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A handle to a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop_guard: StopGuard,
    server: Server,
}

impl Handle {
    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in and waits until its connections are closed.
    pub async fn stop(self) {
        drop(self.stop_guard);
        self.server.finished().await;
    }
}

/// Listens on `address` and serves the handler that `make_handler` returns.
pub(crate) async fn run<H: Handler>(
    address: SocketAddr,
    make_handler: impl FnOnce(StopSignal) -> Arc<H>,
) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let (stop_guard, stop) = stop_channel();
    let handler = make_handler(stop.clone());
    let server = Server::start(listener, handler, Bounds::default(), stop)?;
    Ok(Handle {
        address: server.address(),
        stop_guard,
        server,
    })
}

/// Creates the timeline recorder of a stand-in.
pub(crate) fn recorder(name: &str) -> Recorder {
    Recorder::new(name, MAX_EVENTS)
}

/// The result of [`handle_common`].
pub(crate) enum Route {
    /// The path is common to all stand-ins, and this is the response.
    Handled(Reply),
    /// The path is specific to the stand-in.
    Specific(Request<Incoming>),
}

/// Handles the paths that are common to all stand-ins.
pub(crate) async fn handle_common<F: DeserializeOwned + Serialize>(
    request: Request<Incoming>,
    recorder: &Recorder,
    faults: &Mutex<F>,
) -> io::Result<Route> {
    let reply = match (request.method().as_str(), request.uri().path()) {
        ("GET", "/timeline") => {
            let after = query_parameter(&request, "after").unwrap_or_default();
            json(StatusCode::OK, &recorder.since(Stamp(after)))
        }
        ("GET", "/faults") => json(StatusCode::OK, &*lock(faults)),
        ("PUT", "/faults") => set_faults(&read_body(request).await?, recorder, faults),
        _ => return Ok(Route::Specific(request)),
    };
    Ok(Route::Handled(reply))
}

fn set_faults<F: DeserializeOwned>(body: &Bytes, recorder: &Recorder, faults: &Mutex<F>) -> Reply {
    match serde_json::from_slice::<F>(body) {
        Ok(new) => {
            *lock(faults) = new;
            let description = String::from_utf8_lossy(body).into_owned();
            recorder.record(Event::new(Kind::Fault, description));
            json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(error) => text(StatusCode::BAD_REQUEST, format!("faults: {error}\n")),
    }
}

/// Reads the body of a request.
pub(crate) async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    let read = ploverwick_serve::read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT);
    read.await
        .map_err(|error| io::Error::other(format!("{error:?}")))
}

/// Reads the body of a request as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> io::Result<T> {
    let body = read_body(request).await?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}

/// Returns a numeric query parameter, such as `from=12`.
pub(crate) fn query_parameter(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Returns the response to an unknown path.
pub(crate) fn unknown_path() -> Reply {
    text(StatusCode::NOT_FOUND, "no such path\n")
}

/// Locks a mutex. A poisoned mutex is used as is: no critical section leaves its data inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A token bucket on the monotonic clock.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: tokio::time::Instant,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate` tokens per second and holds at most `burst`.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            tokens: burst,
            refilled_at: tokio::time::Instant::now(),
        }
    }

    /// Takes a token; returns whether one was available.
    pub(crate) fn take(&mut self) -> bool {
        let now = tokio::time::Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Returns a reply that has neither a length nor chunks and ends with its connection, after `bytes` bytes at most.
pub(crate) fn end_with_connection(reply: Reply, bytes: usize) -> Reply {
    let (head, mut body) = reply.into_parts();
    let (sender, parts) = mpsc::channel(1);
    tokio::spawn(async move {
        let mut left = bytes;
        while let Some(frame) = body.frame().await {
            let data = frame.map(|frame| frame.into_data().unwrap_or_default());
            let data = data.map(|data| data.slice(..data.len().min(left)));
            left -= data.as_ref().map_or(0, Bytes::len);
            if sender.send(data).await.is_err() || left == 0 {
                return;
            }
        }
    });
    let mut reply = stream(head.status, "", parts);
    *reply.headers_mut() = head.headers;
    // A response of HTTP/1.1 without a length would be sent in chunks.
    *reply.version_mut() = Version::HTTP_10;
    reply
}
