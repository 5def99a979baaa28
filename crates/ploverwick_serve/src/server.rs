//! Accepts connections and serves requests on them.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};

use crate::{Reply, StopSignal};

/// The delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The connection, time and size limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The maximum number of concurrent connections; further ones wait to be accepted.
    pub max_connections: usize,
    /// The maximum time in which the header section of a request must arrive.
    pub header_timeout: Duration,
    /// The maximum length of the header section of a request in bytes.
    pub max_header_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_connections: 4096,
            header_timeout: Duration::from_secs(10),
            max_header_bytes: 32 << 10,
        }
    }
}

/// Handles requests. An error aborts the connection without a response.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request.
    ///
    /// # Errors
    /// Returns an error to abort the connection.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, std::io::Error>> + Send;
}

/// A server that runs until the [`StopGuard`](crate::StopGuard) of its [`StopSignal`] is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    done: mpsc::Receiver<()>,
}

impl Server {
    /// Starts serving on `listener`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start<H: Handler>(
        listener: TcpListener,
        handler: Arc<H>,
        bounds: Bounds,
        stop: StopSignal,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        // The accept loop and every connection hold a sender; dropping the last one closes the channel.
        let (guard, done) = mpsc::channel(1);
        tokio::spawn(accept_connections(listener, handler, bounds, stop, guard));
        Ok(Self { address, done })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has stopped and all connections are closed.
    pub async fn finished(mut self) {
        while self.done.recv().await.is_some() {}
    }
}

async fn accept_connections<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    bounds: Bounds,
    mut stop: StopSignal,
    guard: mpsc::Sender<()>,
) {
    let permits = Arc::new(Semaphore::new(bounds.max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        let stop = stop.clone();
        let guard = guard.clone();
        tokio::spawn(async move {
            serve_connection(stream, handler, bounds, stop).await;
            drop(permit);
            drop(guard);
        });
    }
}

/// Serves one connection. On the stop signal it finishes the current request and closes.
async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    bounds: Bounds,
    mut stop: StopSignal,
) {
    // With Nagle's algorithm, small chunks of a stream would wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.header_timeout)
        .max_buf_size(bounds.max_header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        () = stop.stopped() => None,
    };
    if ended.is_none() {
        serving.as_mut().graceful_shutdown();
        // An error here means that the client disconnected, so there is nobody to report it to.
        let _ = serving.await;
    }
}
