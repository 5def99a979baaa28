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

use crate::{Reply, Stop};

/// How long to wait after a failed accept, such as for want of file handles.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The most connections at once; further ones wait to be accepted.
    pub connections: usize,
    /// How long a request's head may take to arrive.
    pub head_timeout: Duration,
    /// The most bytes of a request's head.
    pub head_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            connections: 4096,
            head_timeout: Duration::from_secs(10),
            head_bytes: 32 << 10,
        }
    }
}

/// Answers requests. An error breaks the connection off without an answer.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    ///
    /// # Errors
    /// Fails to break the connection off.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Result<Reply, std::io::Error>> + Send;
}

/// A server that runs until its [`Stop`] is stopped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    done: mpsc::Receiver<()>,
}

impl Server {
    /// Starts to serve on `listener`.
    ///
    /// # Errors
    /// Fails if the listener has no address.
    pub fn start<H: Handler>(
        listener: TcpListener,
        handler: Arc<H>,
        bounds: Bounds,
        stop: Stop,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        // Every connection holds a clone of the sender; the last one to go closes the channel.
        let (guard, done) = mpsc::channel(1);
        tokio::spawn(accept(listener, handler, bounds, stop, guard));
        Ok(Self { address, done })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server has stopped and every connection is over.
    pub async fn finished(mut self) {
        while self.done.recv().await.is_some() {}
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    handler: Arc<H>,
    bounds: Bounds,
    mut stop: Stop,
    guard: mpsc::Sender<()>,
) {
    let permits = Arc::new(Semaphore::new(bounds.connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.stopped() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = Arc::clone(&handler);
        let stop = stop.clone();
        let guard = guard.clone();
        tokio::spawn(async move {
            connection(stream, handler, bounds, stop).await;
            drop(permit);
            drop(guard);
        });
    }
}

/// Serves one connection; after the stop it finishes the request at hand and closes.
async fn connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    bounds: Bounds,
    mut stop: Stop,
) {
    // Without this, small parts of a stream wait for acknowledgements.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => Some(ended),
        () = stop.stopped() => None,
    };
    if ended.is_none() {
        serving.as_mut().graceful_shutdown();
        // An error here is the client's leaving; there is nobody left to tell.
        let _ = serving.await;
    }
}
