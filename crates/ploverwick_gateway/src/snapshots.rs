//! Snapshots that an instance requests from its peers over TCP when it starts: the newest records of a topic,
//! or the list of endpoints with the adapters that they hold.
//!
//! If all instances start at once and each reads everything from the store, they share its bandwidth.
//! Configurations of a few hundred kilobytes then take longer to read than the compressed snapshot of a peer.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use ploverwick_adapters::Since;
use ploverwick_endpoints::Entry;
use ploverwick_topics::Reading;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::shared::Shared;
use crate::topics::{Topic, TopicSnapshot};

/// The maximum size of a request.
const MAX_REQUEST_BYTES: usize = 8;
/// How long a request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The length of the prefix of a response that states its uncompressed size.
const LENGTH_PREFIX_BYTES: usize = 4;
/// The maximum uncompressed size of a response.
const MAX_RESPONSE_BYTES: u32 = 8 * 1_024 * 1_024;

/// A request for a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SnapshotRequest {
    /// The newest records of a topic.
    Topic(Topic),
    /// The list of endpoints.
    List,
}

/// The response to a request.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum SnapshotResponse {
    /// The newest records of a topic.
    Topic(TopicSnapshot),
    /// The list of endpoints.
    List(Vec<Entry>),
    /// The peer does not have the data, for example because it is still starting.
    NotReady,
}

/// Serves requests until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = handle_connection(&shared, stream).await {
                        spdlog::debug!("handover_failed to={} cause=\"{:#}\"", from, error);
                    }
                });
            }
            Err(error) => {
                spdlog::warn!("accept_failed on=handover cause=\"{}\"", error);
                tokio::time::sleep(REQUEST_TIMEOUT).await;
            }
        }
    }
}

async fn handle_connection(shared: &Shared, mut stream: TcpStream) -> Result<()> {
    let mut request = [0; MAX_REQUEST_BYTES];
    let read = stream.read(&mut request);
    let length = tokio::time::timeout(REQUEST_TIMEOUT, read).await??;
    let requested = postcard::from_bytes(&request[..length]).context("decode the request")?;
    let response = postcard::to_stdvec(&response(shared, requested))?;
    let compressed = lz4_flex::compress_prepend_size(&response);
    stream.write_all(&compressed).await?;
    stream.shutdown().await?;
    Ok(())
}

fn response(shared: &Shared, requested: SnapshotRequest) -> SnapshotResponse {
    let response = match requested {
        SnapshotRequest::Topic(topic) => topic_snapshot(shared, topic).map(SnapshotResponse::Topic),
        SnapshotRequest::List => shared
            .state()
            .endpoint_list_snapshot()
            .map(SnapshotResponse::List),
    };
    response.unwrap_or(SnapshotResponse::NotReady)
}

/// Returns the newest records of a topic, unless they are not cached or the last read of the topic failed.
fn topic_snapshot(shared: &Shared, topic: Topic) -> Option<TopicSnapshot> {
    let now = shared.now();
    let state = shared.state();
    let read_state = state.read_states.of(topic);
    let unread = state.watermark.unread();
    drop(state);
    if read_state.reading == Reading::Fails {
        return None;
    }
    let mut snapshot = shared.inboxes.of(topic).snapshot(read_state.end)?;
    if let Since::NotBefore(at) = unread {
        snapshot.age_ms = u64::try_from(now.since(at).as_millis()).ok();
    }
    Some(snapshot)
}

/// Fetches a snapshot from a peer.
///
/// # Errors
/// Fails if the peer cannot be reached, or if its response is invalid or too long.
pub(crate) async fn fetch(
    ip: IpAddr,
    port: u16,
    requested: SnapshotRequest,
) -> Result<SnapshotResponse> {
    let mut stream = TcpStream::connect(SocketAddr::new(ip, port)).await?;
    stream.write_all(&postcard::to_stdvec(&requested)?).await?;
    let mut compressed = Vec::new();
    stream.read_to_end(&mut compressed).await?;
    let length = compressed
        .first_chunk::<LENGTH_PREFIX_BYTES>()
        .context("the response is too short")?;
    if u32::from_le_bytes(*length) > MAX_RESPONSE_BYTES {
        bail!("the uncompressed response is longer than {MAX_RESPONSE_BYTES} bytes");
    }
    let response =
        lz4_flex::decompress_size_prepended(&compressed).context("decompress the response")?;
    postcard::from_bytes(&response).context("decode the response")
}
