//! Connections to endpoints, kept for later requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ploverwick_names::Moment;
use ploverwick_platform::socket;
use tokio::net::TcpStream;

use crate::clock::Clock;

/// The time for a new connection; an endpoint in reach answers within milliseconds.
const CONNECT: Duration = Duration::from_millis(300);
/// How long a connection is kept idle if the endpoint does not say.
const IDLE: Duration = Duration::from_secs(4);
/// How long a connection may have been idle for a request that may not be sent again. One that fell
/// silent meanwhile gives no sign, and takes the request along; a new one takes a few milliseconds.
const PROVEN: Duration = Duration::from_millis(500);
/// Room before the end of an endpoint's own limit, so that a request does not cross its close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// A connection to an endpoint, ready for one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// The endpoint's own limit on idle connections, if it said.
    pub(crate) limit: Option<Duration>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Moment,
}

impl Idle {
    fn is_good(&self, longest: Duration, now: Moment) -> bool {
        let limit = self.connection.limit.unwrap_or(IDLE + IDLE_MARGIN);
        let limit = limit.saturating_sub(IDLE_MARGIN).min(longest);
        now.since(self.since) < limit && self.connection.sender.is_ready()
    }
}

/// Idle connections by endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
    /// Endpoints close connections after a time, also while this machine is suspended.
    clock: Clock,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            idle: Mutex::default(),
            clock,
        }
    }

    /// Takes the connection that was used last, which is the least likely to be closed.
    ///
    /// `is_last` says that the request cannot be sent again if the connection turns out to be silent.
    pub(crate) fn take(&self, endpoint: &str, is_last: bool) -> Option<Connection> {
        let longest = if is_last { PROVEN } else { IDLE };
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let list = idle.get_mut(endpoint)?;
        while let Some(last) = list.pop() {
            if last.is_good(longest, now) {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer is complete.
    pub(crate) fn keep(&self, endpoint: &Arc<str>, connection: Connection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.entry(Arc::clone(endpoint)).or_default().push(Idle {
            connection,
            since: self.clock.now(),
        });
    }

    /// Closes the idle connections to an endpoint that is gone, or of which one fell silent.
    pub(crate) fn remove(&self, endpoint: &str) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.remove(endpoint);
    }

    /// Closes connections that were idle for too long.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for list in idle.values_mut() {
            list.retain(|connection| {
                now.since(connection.since) < IDLE && !connection.connection.sender.is_closed()
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

/// Opens a connection.
pub(crate) async fn connect(address: SocketAddr) -> Result<Connection, String> {
    let stream = match tokio::time::timeout(CONNECT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(|error| error.to_string())?,
        Err(_) => return Err(format!("no connection within {CONNECT:?}")),
    };
    socket::detect_dead_peer(&stream);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    // The task ends with the connection; whoever waits for an answer sees the error itself.
    tokio::spawn(async move { drop(connection.await) });
    Ok(Connection {
        sender,
        limit: None,
    })
}
