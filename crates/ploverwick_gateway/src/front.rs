//! Accepts and serves client connections.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ploverwick_platform::settings::Settings;
use ploverwick_platform::socket;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::Activity;
use crate::filters;
use crate::shared::Shared;

/// The number of file descriptors reserved for files, the store, endpoints and peers.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// The delay after a connection could not be accepted, most likely because descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long a client may go on sending a request that was refused before its body was read. The connection counts as open
/// until then.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The part of the connections, as a divisor, that is kept free for new ones at the expense of idle ones.
const CROWDED_RESERVE: usize = 4;
/// How often a connection is checked for being idle or unread.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The open client connections.
#[derive(Debug)]
pub(crate) struct OpenConnections {
    count: AtomicUsize,
    max: usize,
}

impl OpenConnections {
    /// The maximum number is what the descriptors leave: at least half of them.
    pub(crate) fn new(settings: &Settings) -> Self {
        let left = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        Self {
            count: AtomicUsize::new(0),
            max: left.max(settings.descriptors / 2),
        }
    }

    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    fn is_full(&self) -> bool {
        self.count() >= self.max
    }

    /// Returns whether idle connections have to make room for new ones.
    fn is_crowded(&self) -> bool {
        self.count() >= self.max - self.max / CROWDED_RESERVE
    }
}

/// Accepts connections until the process stops.
///
/// While no more can be accepted, the instance reports that it is not ready, so that clients are directed
/// elsewhere.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, open: Arc<OpenConnections>) {
    let mut intake_ended = pin!(shared.intake_ended());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut intake_ended => return,
        };
        match accepted {
            Ok((stream, _)) if !open.is_full() => {
                let shared = Arc::clone(&shared);
                let open = Arc::clone(&open);
                open.count.fetch_add(1, Ordering::Relaxed);
                shared.set_accepting(!open.is_full());
                tokio::spawn(async move {
                    serve_connection(Arc::clone(&shared), stream, &open).await;
                    open.count.fetch_sub(1, Ordering::Relaxed);
                    shared.set_accepting(true);
                });
            }
            // Closing the connection before reading a request is the only refusal that every client may retry.
            Ok((stream, from)) => {
                drop(stream);
                spdlog::warn!("connection_refused from={} open={}", from, open.count());
            }
            Err(error) => {
                spdlog::warn!("accept_failed on=front cause=\"{}\"", error);
                shared.set_accepting(false);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                shared.set_accepting(true);
            }
        }
    }
}

/// Serves one connection until it closes.
async fn serve_connection(shared: Arc<Shared>, mut stream: TcpStream, open: &OpenConnections) {
    socket::detect_dead_client(&stream);
    if let Some(bytes) = shared.memory.client_limit() {
        socket::limit_unsent(&stream, bytes);
    }
    let activity = Activity::new(shared.now());
    serve_requests(&shared, &mut stream, &activity, open).await;
    if activity.has_unread_body() {
        // Bytes that arrive after the close would reset the connection before the client has read the refusal.
        drop(tokio::time::timeout(LINGER_TIMEOUT, discard_rest(&mut stream)).await);
    }
}

/// Closes this side of a connection, and discards what arrives until the client has closed the other.
async fn discard_rest(stream: &mut TcpStream) -> io::Result<u64> {
    stream.shutdown().await?;
    tokio::io::copy(stream, &mut tokio::io::sink()).await
}

async fn serve_requests(
    shared: &Arc<Shared>,
    stream: &mut TcpStream,
    activity: &Activity,
    open: &OpenConnections,
) {
    let limits = {
        let state = shared.state();
        state
            .config
            .as_ref()
            .map_or_else(Default::default, |config| config.limits)
    };
    let service = service_fn(|request| {
        let shared = Arc::clone(shared);
        let activity = activity.clone();
        async move { Ok::<_, Infallible>(filters::run(shared, activity, request).await) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .timer(TokioTimer::new())
        // hyper's timeout also runs while the connection is idle, so it includes the idle timeout.
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size((limits.header_bytes * 4).max(64 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Clients may use idle connections until then; each response closes its connection.
    let mut intake_ended = pin!(shared.intake_ended());
    let mut has_intake_ended = false;
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    spdlog::debug!("client_connection_broke cause=\"{}\"", error);
                }
                return;
            }
            () = &mut intake_ended, if !has_intake_ended => {
                has_intake_ended = true;
                is_closing = true;
                connection.as_mut().graceful_shutdown();
                // hyper would still read the first request if a part of its head has arrived.
                if !activity.has_begun() {
                    return;
                }
            }
            () = tokio::time::sleep(IDLE_CHECK_INTERVAL) => {
                if activity.is_read_overdue(shared.now()) {
                    return;
                }
                let idle = activity.idle_since().map(|since| shared.now().since(since));
                if idle.is_some_and(|idle| idle >= IDLE_CHECK_INTERVAL) {
                    // hyper would have closed the connection if it had not found the end of the body.
                    activity.set_unread_body(false);
                }
                // Other instances may serve requests that this one would refuse.
                let max_idle = if shared.is_stale() {
                    Duration::ZERO
                } else if open.is_crowded() {
                    // A client whose idle connection is closed opens another one; one that is refused may find no
                    // other instance.
                    IDLE_CHECK_INTERVAL
                } else {
                    limits.idle_timeout
                };
                if !is_closing && idle.is_some_and(|idle| idle > max_idle) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
