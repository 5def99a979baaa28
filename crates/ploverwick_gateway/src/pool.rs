//! A pool of connections to endpoints.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ploverwick_endpoints::Exchanges;
use ploverwick_names::Moment;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpSocket, TcpStream};

use crate::clock::Clock;
use crate::{early_answer, informational};

/// The timeout for a new connection; a reachable endpoint answers within milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a connection is kept idle, if the endpoint does not state a shorter timeout.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// How long a connection may have been idle for a request that cannot be retried. A connection that has
/// silently died in the meantime would lose the request, and a new one takes only a few milliseconds.
const MAX_IDLE_BEFORE_FINAL_SEND: Duration = Duration::from_millis(500);
/// The margin before the end of an endpoint's idle timeout, so that a request does not race with the close.
const IDLE_MARGIN: Duration = Duration::from_millis(900);

/// Identifies a connection within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionId(u64);

impl ConnectionId {
    fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

impl fmt::Display for ConnectionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The maximum size of the head of an answer in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// A connection to an endpoint, ready for one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) exchanges: Exchanges,
    informational: informational::Counter,
    /// Whether it has brought an answer.
    pub(crate) is_proven: bool,
    /// The instance that relays it, if it is not direct.
    pub(crate) relay: Option<Arc<str>>,
    /// The endpoint's timeout for idle connections, if it stated one.
    pub(crate) idle_timeout: Option<Duration>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Moment,
}

impl Idle {
    fn is_usable(&self, max_idle: Duration, now: Moment) -> bool {
        let idle_timeout = self
            .connection
            .idle_timeout
            .unwrap_or(MAX_IDLE + IDLE_MARGIN);
        let idle_timeout = idle_timeout.saturating_sub(IDLE_MARGIN).min(max_idle);
        now.since(self.since) < idle_timeout && self.connection.sender.is_ready()
    }
}

/// Idle connections by endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
    /// The endpoints whose answers do not name their attempts. Each request to them gets a new connection.
    unnamed: Mutex<HashSet<Arc<str>>>,
    /// This clock includes suspensions, because endpoints close idle connections also while this machine is
    /// suspended.
    clock: Clock,
}

impl Pool {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            idle: Mutex::default(),
            unnamed: Mutex::default(),
            clock,
        }
    }

    /// Takes the most recently used connection, which is the least likely to be closed, except for those in `excluded`.
    ///
    /// `is_final` states that the request cannot be retried if the connection turns out to be dead.
    pub(crate) fn take(
        &self,
        endpoint: &str,
        is_final: bool,
        excluded: &[ConnectionId],
    ) -> Option<Connection> {
        let max_idle = if is_final {
            MAX_IDLE_BEFORE_FINAL_SEND
        } else {
            MAX_IDLE
        };
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        let list = idle.get_mut(endpoint)?;
        for index in (0..list.len()).rev() {
            if !list[index].is_usable(max_idle, now) {
                list.remove(index);
            } else if !excluded.contains(&list[index].connection.id) {
                return Some(list.remove(index).connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its response is complete, if another request may be sent on it.
    pub(crate) fn keep(&self, endpoint: &Arc<str>, connection: Connection) {
        let may_continue = connection.exchanges.may_continue() && !self.is_unnamed(endpoint);
        if connection.sender.is_closed() || !may_continue {
            return;
        }
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.entry(Arc::clone(endpoint)).or_default().push(Idle {
            connection,
            since: self.clock.now(),
        });
    }

    /// Records that an endpoint does not name attempts in its answers, and closes the idle connections to it.
    pub(crate) fn mark_unnamed(&self, endpoint: &Arc<str>) {
        self.lock_unnamed().insert(Arc::clone(endpoint));
        self.remove(endpoint);
    }

    /// Forgets which endpoints do not name attempts, except those that `is_listed` accepts.
    pub(crate) fn retain_unnamed(&self, is_listed: impl Fn(&str) -> bool) {
        self.lock_unnamed().retain(|endpoint| is_listed(endpoint));
    }

    fn is_unnamed(&self, endpoint: &str) -> bool {
        self.lock_unnamed().contains(endpoint)
    }

    fn lock_unnamed(&self) -> MutexGuard<'_, HashSet<Arc<str>>> {
        self.unnamed.lock().expect("no holder of the lock panics")
    }

    /// Closes the idle connections to an endpoint that is gone, or one of whose connections was dead.
    pub(crate) fn remove(&self, endpoint: &str) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        idle.remove(endpoint);
    }

    /// Closes the idle connections that an instance relays.
    pub(crate) fn remove_relay(&self, name: &str) {
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for list in idle.values_mut() {
            list.retain(|idle| idle.connection.relay.as_deref() != Some(name));
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn remove_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock().expect("no holder of the lock panics");
        for list in idle.values_mut() {
            list.retain(|connection| {
                now.since(connection.since) < MAX_IDLE && !connection.connection.sender.is_closed()
            });
        }
        idle.retain(|_, list| !list.is_empty());
    }
}

/// Why a connection could not be opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The address refused the connection.
    #[error("{0}")]
    Refused(io::Error),
    /// The address did not answer in time.
    #[error("no connection within {CONNECT_TIMEOUT:?}")]
    Timeout,
    /// The address accepts connections and closes them.
    #[error("connections are closed before any answer")]
    Closed,
    /// No other instance can relay the connection.
    #[error("no instance relays connections")]
    NoRelay,
    /// Any other error.
    #[error("{0}")]
    Other(String),
}

impl ConnectError {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Refused(_) => "refused",
            Self::Timeout => "timeout",
            Self::Closed => "closed",
            Self::NoRelay => "no_relay",
            Self::Other(_) => "other",
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused(error),
            _ => Self::Other(error.to_string()),
        }
    }
}

/// Opens a TCP connection from the address `from`, by which the peer then knows this instance.
///
/// # Errors
/// Fails if the address refuses it or does not answer in time.
pub(crate) async fn dial(from: Ipv4Addr, address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    match tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address)).await {
        Ok(stream) => Ok(stream?),
        Err(_) => Err(ConnectError::Timeout),
    }
}

impl Connection {
    /// Begins an exchange with a request that is about to be sent.
    pub(crate) fn begin<B>(&mut self, request: &mut Request<B>) {
        self.exchanges.begin();
        self.informational.watch(request);
    }

    /// Prepares a stream to an endpoint for requests. `on_close` runs once the connection has ended.
    ///
    /// # Errors
    /// Fails if the stream breaks.
    pub(crate) async fn over<T>(
        stream: T,
        relay: Option<Arc<str>>,
        on_close: impl FnOnce() + Send + 'static,
    ) -> Result<Self, ConnectError>
    where
        T: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let informational = informational::Counter::default();
        let stream = early_answer::Stream::new(stream, informational.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectError::Other(error.to_string()))?;
        // The task ends with the connection. The error is not handled here because the request that uses the
        // connection receives it too.
        tokio::spawn(async move {
            drop(connection.await);
            on_close();
        });
        Ok(Self {
            id: ConnectionId::next(),
            sender,
            exchanges: Exchanges::default(),
            informational,
            is_proven: false,
            relay,
            idle_timeout: None,
        })
    }
}
