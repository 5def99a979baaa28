//! Opens connections to endpoints through other instances.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, Stream, StreamExt, stream};
use ploverwick_platform::socket;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, FramedRead};
use tokio_util::io::StreamReader;

use super::{Open, Reply, codec};

/// The timeout for the reply, which the relay sends once it has connected to the endpoint or failed to: its own timeout
/// and a margin for the way.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests a connection to an endpoint on a stream to a relay. Nothing has been sent to the endpoint yet when it is open.
///
/// # Errors
/// Fails with the relay's reply if it did not open the connection, or with an error if there is no reply.
pub(crate) async fn open(
    stream: TcpStream,
    request: &Open,
) -> io::Result<Result<impl AsyncRead + AsyncWrite + Send + Unpin + use<>, Reply>> {
    socket::detect_dead_peer(&stream);
    let mut relay = Framed::new(stream, codec());
    let request = postcard::to_stdvec(request).map_err(io::Error::other)?;
    let exchange = async {
        relay.send(Bytes::from(request)).await?;
        let reply = relay.next().await;
        reply.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into()))
    };
    let reply = tokio::time::timeout(REPLY_TIMEOUT, exchange).await;
    let reply = reply.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    match postcard::from_bytes(&reply).map_err(io::Error::other)? {
        Reply::Opened => {}
        refused => return Ok(Err(refused)),
    }
    let parts = relay.into_parts();
    let (read, write) = parts.io.into_split();
    let mut frames = FramedRead::new(read, parts.codec);
    *frames.read_buffer_mut() = parts.read_buf;
    let reader = StreamReader::new(Box::pin(until_end(frames)));
    Ok(Ok(tokio::io::join(reader, write)))
}

/// Returns the contents of frames up to the empty one. Fails if the frames end without it.
fn until_end(
    frames: impl Stream<Item = io::Result<BytesMut>> + Unpin,
) -> impl Stream<Item = io::Result<Bytes>> {
    stream::try_unfold(frames, |mut frames| async move {
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => Ok(None),
            Some(Ok(frame)) => Ok(Some((frame.freeze(), frames))),
            Some(Err(error)) => Err(error),
            None => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    })
}
