//! The frames of a response, from this daemon or another one.

use std::net::SocketAddr;
use std::sync::Arc;

use ploverwick_wire::{Frame, JoinAsk, Order, frame};
use tokio::sync::mpsc;
use tonic::Streaming;

use crate::node::Node;
use crate::route::Target;

/// A source of frames.
pub(crate) enum Frames {
    /// An endpoint that this daemon owns.
    Local(mpsc::Receiver<Frame>),
    /// Another daemon, with its address.
    Remote(Box<Streaming<Frame>>, SocketAddr, Arc<Node>),
    /// A call that failed after it was sent.
    Failed(String),
}

impl Frames {
    /// Sends an order to the owner of its endpoint.
    ///
    /// # Errors
    /// Returns an error only if nothing was sent.
    pub(crate) async fn open(
        node: &Arc<Node>,
        target: &Target,
        order: Order,
    ) -> Result<Self, String> {
        let Some(address) = target.address else {
            return Ok(Self::Local(node.endpoint_tasks.submit(order).await));
        };
        let peer = node.peer_connections.get(address).await;
        let mut peer = peer.map_err(|error| error.to_string())?;
        Ok(Self::from_call(node, address, peer.run(order).await))
    }

    /// Requests the cached response for an idempotency key from another daemon.
    ///
    /// # Errors
    /// Returns an error only if nothing was sent.
    pub(crate) async fn join(
        node: &Arc<Node>,
        address: SocketAddr,
        message: JoinAsk,
    ) -> Result<Self, String> {
        let peer = node.peer_connections.get(address).await;
        let mut peer = peer.map_err(|error| error.to_string())?;
        Ok(Self::from_call(node, address, peer.join(message).await))
    }

    fn from_call(
        node: &Arc<Node>,
        address: SocketAddr,
        from_call: Result<tonic::Response<Streaming<Frame>>, tonic::Status>,
    ) -> Self {
        match from_call {
            Ok(response) => {
                Self::Remote(Box::new(response.into_inner()), address, Arc::clone(node))
            }
            Err(status) => {
                node.peer_connections.remove(address);
                Self::Failed(status.to_string())
            }
        }
    }

    /// Returns the next part.
    ///
    /// # Errors
    /// Returns an error if the source ends before the response does.
    pub(crate) async fn next(&mut self) -> Result<frame::Part, String> {
        let frame = match self {
            Self::Local(frames) => frames.recv().await,
            Self::Remote(frames, address, node) => match frames.message().await {
                Ok(frame) => frame,
                Err(status) => {
                    node.peer_connections.remove(*address);
                    return Err(status.to_string());
                }
            },
            Self::Failed(cause) => return Err(cause.clone()),
        };
        let part = frame
            .and_then(|frame| frame.part)
            .ok_or_else(|| "the frames ended too early".to_owned())?;
        if matches!(part, frame::Part::End(_)) {
            self.finish().await;
        }
        Ok(part)
    }

    /// Reads the end of the HTTP/2 stream. A stream that is dropped before its end is reset, and
    /// after a thousand resets the whole connection is closed.
    async fn finish(&mut self) {
        if let Self::Remote(frames, ..) = self {
            // The response is complete, so errors no longer matter.
            let _ = frames.message().await;
        }
    }
}
