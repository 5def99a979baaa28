//! What an instance that starts asks its peers for, over a connection: the newest records of a topic, or the
//! list of endpoints with what they hold.
//!
//! Where all instances start at once, each would read all of it from the store, whose bandwidth they share:
//! configurations of some hundred kilobytes keep them waiting for longer than a peer's word, which is
//! compressed, takes.

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

/// The longest question, in bytes.
const MAX_REQUEST_BYTES: usize = 8;
/// How long a question may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The bytes before an answer's own that say how long it is once it is unpacked.
const LENGTH_PREFIX_BYTES: usize = 4;
/// The most bytes of an answer once it is unpacked.
const MAX_RESPONSE_BYTES: u32 = 8 * 1_024 * 1_024;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SnapshotRequest {
    /// The newest records of a topic.
    Topic(Topic),
    /// The list of endpoints.
    List,
}

/// What is answered.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum SnapshotResponse {
    /// The newest records of a topic.
    Topic(TopicSnapshot),
    /// The list of endpoints.
    List(Vec<Entry>),
    /// The peer has started itself and does not know it yet.
    NotReady,
}

/// Answers questions for as long as the process runs.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = answer(&shared, stream).await {
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

async fn answer(shared: &Shared, mut stream: TcpStream) -> Result<()> {
    let mut question = [0; MAX_REQUEST_BYTES];
    let read = stream.read(&mut question);
    let length = tokio::time::timeout(REQUEST_TIMEOUT, read).await??;
    let wanted = postcard::from_bytes(&question[..length]).context("read the question")?;
    let given = postcard::to_stdvec(&given(shared, wanted))?;
    let packed = lz4_flex::compress_prepend_size(&given);
    stream.write_all(&packed).await?;
    stream.shutdown().await?;
    Ok(())
}

fn given(shared: &Shared, wanted: SnapshotRequest) -> SnapshotResponse {
    let given = match wanted {
        SnapshotRequest::Topic(topic) => whole(shared, topic).map(SnapshotResponse::Topic),
        SnapshotRequest::List => shared.state().roster_snapshot().map(SnapshotResponse::List),
    };
    given.unwrap_or(SnapshotResponse::NotReady)
}

/// Returns the newest records of a topic, if this instance has them and still follows it.
fn whole(shared: &Shared, topic: Topic) -> Option<TopicSnapshot> {
    let now = shared.now();
    let state = shared.state();
    let stand = state.read_states.of(topic);
    let unseen = state.watermark.unread();
    drop(state);
    if stand.reading == Reading::Fails {
        return None;
    }
    let mut whole = shared.inboxes.of(topic).snapshot(stand.end)?;
    if let Since::NotBefore(at) = unseen {
        whole.age_ms = u64::try_from(now.since(at).as_millis()).ok();
    }
    Some(whole)
}

/// Asks a peer.
///
/// # Errors
/// Fails if the peer cannot be reached, or answers what cannot be read.
pub(crate) async fn fetch(
    ip: IpAddr,
    port: u16,
    wanted: SnapshotRequest,
) -> Result<SnapshotResponse> {
    let mut stream = TcpStream::connect(SocketAddr::new(ip, port)).await?;
    stream.write_all(&postcard::to_stdvec(&wanted)?).await?;
    let mut packed = Vec::new();
    stream.read_to_end(&mut packed).await?;
    let length = packed
        .first_chunk::<LENGTH_PREFIX_BYTES>()
        .context("an empty answer")?;
    if u32::from_le_bytes(*length) > MAX_RESPONSE_BYTES {
        bail!("the answer is longer than {MAX_RESPONSE_BYTES} bytes");
    }
    let given = lz4_flex::decompress_size_prepended(&packed).context("unpack the answer")?;
    postcard::from_bytes(&given).context("read the answer")
}
