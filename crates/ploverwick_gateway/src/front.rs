//! Takes the connections of clients.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ploverwick_platform::settings::Settings;
use ploverwick_platform::socket;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::Activity;
use crate::filters;
use crate::shared::Shared;

/// Descriptors that are left for files, the store, endpoints and peers.
const OTHER_DESCRIPTORS: usize = 1_200;
/// How long after the signal to stop new connections are still taken: the platform sends them
/// until it has asked twice, once a second, and has missed the answer.
const STILL_ACCEPT: Duration = Duration::from_millis(2_600);
/// The pause after a connection could not be taken, most likely for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// How often an idle connection is looked at.
const LOOK: Duration = Duration::from_secs(1);

/// The connections that are open.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections(AtomicUsize);

impl OpenConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Returns how many connections of clients may be open at once: at least half of the descriptors.
fn most_open(settings: &Settings) -> usize {
    let left = settings.descriptors.saturating_sub(OTHER_DESCRIPTORS);
    left.max(settings.descriptors / 2)
}

/// Takes connections until the process stops.
///
/// Where it can take no more it says that it is not ready, so that clients are sent elsewhere.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, open: Arc<OpenConnections>) {
    let most = most_open(&shared.settings);
    let mut stopping = shared.stopping.subscribe();
    let stopped = async {
        // An error means that the sender is gone, and with it the process.
        drop(stopping.wait_for(|stopping| *stopping).await);
        tokio::time::sleep(STILL_ACCEPT).await;
    };
    let mut stopped = pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => return,
        };
        match accepted {
            Ok((stream, _)) if open.count() < most => {
                let shared = Arc::clone(&shared);
                let open = Arc::clone(&open);
                open.0.fetch_add(1, Ordering::Relaxed);
                shared.set_accepting(open.count() < most);
                tokio::spawn(async move {
                    attend(Arc::clone(&shared), stream).await;
                    open.0.fetch_sub(1, Ordering::Relaxed);
                    shared.set_accepting(true);
                });
            }
            // Closing unread is the one refusal that any client may repeat.
            Ok((stream, from)) => {
                drop(stream);
                spdlog::warn!("connection_refused from={} open={}", from, open.count());
            }
            Err(error) => {
                spdlog::warn!("accept_failed on=front cause=\"{}\"", error);
                shared.set_accepting(false);
                tokio::time::sleep(ACCEPT_AGAIN).await;
                shared.set_accepting(true);
            }
        }
    }
}

/// Serves one connection until it closes.
async fn attend(shared: Arc<Shared>, stream: TcpStream) {
    socket::detect_dead_client(&stream);
    let limits = {
        let state = shared.state();
        state
            .config
            .as_ref()
            .map_or_else(Default::default, |config| config.limits)
    };
    let activity = Activity::new(shared.now());
    let service = service_fn(|request| {
        let shared = Arc::clone(&shared);
        let activity = activity.clone();
        async move { Ok::<_, Infallible>(filters::run(shared, activity, request).await) }
    });
    let connection = http1::Builder::new()
        .auto_date_header(false)
        .timer(TokioTimer::new())
        // The library's limit runs while a connection is idle too, so it cannot be shorter.
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size((limits.header_bytes * 4).max(64 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut stopping = shared.stopping.subscribe();
    let stopped = async {
        drop(stopping.wait_for(|stopping| *stopping).await);
        // Clients may use an idle connection until then; each answer closes its own.
        tokio::time::sleep(STILL_ACCEPT).await;
    };
    let mut stopped = pin!(stopped);
    let mut is_closing = false;
    loop {
        tokio::select! {
            result = &mut connection => {
                if let Err(error) = result {
                    spdlog::debug!("client_connection_broke cause=\"{}\"", error);
                }
                return;
            }
            () = &mut stopped, if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep(LOOK) => {
                let idle = activity.idle_since().map(|since| shared.now().since(since));
                // Other instances may serve what this one would refuse.
                let longest = if shared.is_stale() {
                    Duration::ZERO
                } else {
                    limits.idle_timeout
                };
                if !is_closing && idle.is_some_and(|idle| idle > longest) {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
