//! Relays connections for other instances.

use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ploverwick_endpoints::Entry;
use ploverwick_platform::socket;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, FramedWrite, LengthDelimitedCodec};

use super::{MAX_FRAME_BYTES, Open, Reply, codec};
use crate::controllers::reachability;
use crate::early_answer;
use crate::informational;
use crate::metrics;
use crate::pool::ConnectError;
use crate::shared::Shared;

/// How long the first frame may take to arrive.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a requester may take to close its side once it was sent the end of an answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// The delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Relays connections until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = handle_connection(&shared, stream, from.ip()).await {
                        spdlog::debug!("relay_failed from={} cause=\"{:#}\"", from, error);
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accept_failed on=relay cause=\"{}\"", error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn handle_connection(shared: &Arc<Shared>, stream: TcpStream, from: IpAddr) -> Result<()> {
    socket::detect_dead_peer(&stream);
    let mut requester = Framed::new(stream, codec());
    let frame = tokio::time::timeout(OPEN_TIMEOUT, requester.next()).await?;
    let frame = frame.context("no request")??;
    let open: Open = postcard::from_bytes(&frame).context("decode the request")?;
    let reservation = shared.relayed_connections.reserve();
    let opened = match &reservation {
        Some(_) if !shared.is_stopping() => connect(shared, &open).await,
        Some(_) | None => Err(Reply::Busy),
    };
    let reply = opened.as_ref().err().copied().unwrap_or(Reply::Opened);
    metrics::relayed_connection(reply.name());
    let frame = Bytes::from(postcard::to_stdvec(&reply)?);
    requester.send(frame).await?;
    let Ok((entry, endpoint)) = opened else {
        return Ok(());
    };
    let started_at = Instant::now();
    spdlog::debug!(
        "relay_opened id={} from={} instance={} endpoint={}",
        open.request,
        from,
        open.instance,
        open.endpoint
    );
    let transferred = forward(requester, endpoint).await;
    spdlog::info!(
        "relay_closed id={} from={} endpoint={} ending={:?} bytes={} ms={}",
        open.request,
        open.instance,
        open.endpoint,
        transferred.ending,
        transferred.bytes,
        started_at.elapsed().as_millis()
    );
    metrics::relayed_bytes(transferred.bytes);
    if transferred.bytes == 0 && transferred.ending != Ending::Requester {
        reachability::handle_closed(shared, &entry);
    }
    drop(reservation);
    Ok(())
}

/// Connects to an endpoint directly. A relay whose own links are down says so at once.
async fn connect(shared: &Arc<Shared>, open: &Open) -> Result<(Entry, TcpStream), Reply> {
    let entry = {
        let state = shared.state();
        let entry = state.fleet.entry(&open.endpoint);
        let entry = entry.ok_or(Reply::NotListed)?.clone();
        if state.reachability.needs_relay(&entry) {
            return Err(Reply::Partitioned);
        }
        entry
    };
    let stream = reachability::dial(shared, &entry).await;
    let stream = stream.map_err(|error| match error {
        ConnectError::Refused(_) => Reply::Refused,
        ConnectError::Timeout
        | ConnectError::Closed
        | ConnectError::NoRelay
        | ConnectError::Other(_) => Reply::Timeout,
    })?;
    socket::detect_dead_peer(&stream);
    Ok((entry, stream))
}

/// Why a relayed connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ending {
    /// The requester closed it.
    Requester,
    /// The endpoint closed it.
    Endpoint,
    /// It broke.
    Broken,
}

/// What was transferred, and why the connection ended.
struct Transferred {
    ending: Ending,
    bytes: u64,
}

/// Forwards bytes until the requester closes the connection or the endpoint has ended its answer, then closes both sides.
async fn forward(
    requester: Framed<TcpStream, LengthDelimitedCodec>,
    endpoint: TcpStream,
) -> Transferred {
    let parts = requester.into_parts();
    let (from_requester, to_requester) = parts.io.into_split();
    let (from_endpoint, to_endpoint) = tokio::io::split(early_answer::Stream::new(
        endpoint,
        informational::Counter::default(),
    ));
    let to_requester = FramedWrite::new(to_requester, parts.codec);
    let mut bytes = 0;
    let mut requester_closed = pin!(send_to_endpoint(
        parts.read_buf,
        from_requester,
        to_endpoint
    ));
    let ending = tokio::select! {
        _ = &mut requester_closed => Ending::Requester,
        result = send_to_requester(from_endpoint, to_requester, &mut bytes) => match result {
            Ok(()) => Ending::Endpoint,
            Err(_) => Ending::Broken,
        }
    };
    if ending != Ending::Requester {
        // Bytes that arrive after the close would reset the connection before the requester has read the answer.
        drop(tokio::time::timeout(LINGER_TIMEOUT, requester_closed).await);
    }
    Transferred { ending, bytes }
}

async fn send_to_endpoint(
    first: BytesMut,
    mut from: OwnedReadHalf,
    mut to: impl AsyncWrite + Unpin,
) -> std::io::Result<u64> {
    to.write_all(&first).await?;
    tokio::io::copy(&mut from, &mut to).await
}

/// Sends the endpoint's bytes in frames, and an empty frame once the endpoint has closed the connection.
async fn send_to_requester(
    mut from: impl AsyncRead + Unpin,
    mut to: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    transferred: &mut u64,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::with_capacity(MAX_FRAME_BYTES);
    loop {
        buffer.reserve(MAX_FRAME_BYTES);
        let mut limited = (&mut from).take(MAX_FRAME_BYTES as u64);
        let count = limited.read_buf(&mut buffer).await?;
        if count == 0 {
            return to.send(Bytes::new()).await;
        }
        *transferred += count as u64;
        to.send(buffer.split().freeze()).await?;
    }
}
