//! What all stand-ins share: a server, a time line, and faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_serve::{
    Bounds, Handler, Reply, Server, StopGuard, StopSignal, json, stop_channel, text,
};
use ploverwick_timeline::clock::Stamp;
use ploverwick_timeline::{Event, Kind, Recorder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

const EVENTS: usize = 16384;
const MAX_BODY: usize = 64 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in that runs until it is dropped.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    stopper: StopGuard,
    server: Server,
}

impl Running {
    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the stand-in and waits until its connections are over.
    pub async fn stop(self) {
        drop(self.stopper);
        self.server.finished().await;
    }
}

/// Listens on `address` and serves `handler`.
pub(crate) async fn run<H: Handler>(
    address: SocketAddr,
    make: impl FnOnce(StopSignal) -> Arc<H>,
) -> io::Result<Running> {
    let listener = TcpListener::bind(address).await?;
    let (stopper, stop) = stop_channel();
    let handler = make(stop.clone());
    let server = Server::start(listener, handler, Bounds::default(), stop)?;
    Ok(Running {
        address: server.address(),
        stopper,
        server,
    })
}

/// Starts the time line of a stand-in.
pub(crate) fn recorder(name: &str) -> Recorder {
    Recorder::new(name, EVENTS)
}

/// What is left of a request after the paths that every stand-in has.
pub(crate) enum Asked {
    /// It was for such a path, and this is the answer.
    Answered(Reply),
    /// It is for the stand-in itself.
    Own(Request<Incoming>),
}

/// Answers the paths that every stand-in has.
pub(crate) async fn common<F: DeserializeOwned + Serialize>(
    request: Request<Incoming>,
    recorder: &Recorder,
    faults: &Mutex<F>,
) -> io::Result<Asked> {
    let reply = match (request.method().as_str(), request.uri().path()) {
        ("GET", "/timeline") => {
            let after = parameter(&request, "after").unwrap_or_default();
            json(StatusCode::OK, &recorder.since(Stamp(after)))
        }
        ("GET", "/faults") => json(StatusCode::OK, &*lock(faults)),
        ("PUT", "/faults") => set_faults(&body(request).await?, recorder, faults),
        _ => return Ok(Asked::Own(request)),
    };
    Ok(Asked::Answered(reply))
}

fn set_faults<F: DeserializeOwned>(body: &Bytes, recorder: &Recorder, faults: &Mutex<F>) -> Reply {
    match serde_json::from_slice::<F>(body) {
        Ok(new) => {
            *lock(faults) = new;
            let shown = String::from_utf8_lossy(body).into_owned();
            recorder.record(Event::new(Kind::Fault, shown));
            json(StatusCode::OK, &serde_json::json!({}))
        }
        Err(error) => text(StatusCode::BAD_REQUEST, format!("faults: {error}\n")),
    }
}

/// Reads a request's body.
pub(crate) async fn body(request: Request<Incoming>) -> io::Result<Bytes> {
    let read = ploverwick_serve::read_body(request.into_body(), MAX_BODY, BODY_TIMEOUT);
    read.await
        .map_err(|error| io::Error::other(format!("{error:?}")))
}

/// Reads a request's body as JSON.
pub(crate) async fn argument<T: DeserializeOwned>(request: Request<Incoming>) -> io::Result<T> {
    let body = body(request).await?;
    serde_json::from_slice(&body).map_err(io::Error::other)
}

/// Reads a number in the query, such as `from=12`.
pub(crate) fn parameter(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
    value.parse().ok()
}

/// Answers a path that the stand-in does not have.
pub(crate) fn unknown_path() -> Reply {
    text(StatusCode::NOT_FOUND, "no such path\n")
}

/// Takes a lock; the stand-ins' data stay whole even if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A token bucket on the real clock.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: tokio::time::Instant,
}

impl Bucket {
    /// Makes a full bucket of `rate` tokens a second that holds at most `burst`.
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: tokio::time::Instant::now(),
        }
    }

    /// Takes a token, if there is one.
    pub(crate) fn take(&mut self) -> bool {
        let now = tokio::time::Instant::now();
        let refill = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + refill).min(self.burst);
        self.at = now;
        let has = self.level >= 1.0;
        if has {
            self.level -= 1.0;
        }
        has
    }
}
