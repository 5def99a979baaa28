//! The frames of an answer, from this daemon or another.

use std::net::SocketAddr;
use std::sync::Arc;

use ploverwick_wire::{Frame, JoinAsk, Order, frame};
use tokio::sync::mpsc;
use tonic::Streaming;

use crate::node::Node;
use crate::route::Target;

/// A source of frames.
pub(crate) enum Frames {
    /// From an endpoint that this daemon owns.
    Local(mpsc::Receiver<Frame>),
    /// From another daemon, called at this address.
    Remote(Box<Streaming<Frame>>, SocketAddr, Arc<Node>),
    /// The call failed after it was sent.
    Failed(String),
}

impl Frames {
    /// Hands an order to the owner of its endpoint.
    ///
    /// # Errors
    /// Fails only if nothing was sent.
    pub(crate) async fn open(
        node: &Arc<Node>,
        target: &Target,
        order: Order,
    ) -> Result<Self, String> {
        let Some(address) = target.address else {
            return Ok(Self::Local(node.owners.submit(order).await));
        };
        let link = node.links.get(address).await;
        let mut link = link.map_err(|error| error.to_string())?;
        Ok(Self::called(node, address, link.run(order).await))
    }

    /// Asks another daemon for the answer of a keyed request.
    ///
    /// # Errors
    /// Fails only if nothing was sent.
    pub(crate) async fn join(
        node: &Arc<Node>,
        address: SocketAddr,
        ask: JoinAsk,
    ) -> Result<Self, String> {
        let link = node.links.get(address).await;
        let mut link = link.map_err(|error| error.to_string())?;
        Ok(Self::called(node, address, link.join(ask).await))
    }

    fn called(
        node: &Arc<Node>,
        address: SocketAddr,
        called: Result<tonic::Response<Streaming<Frame>>, tonic::Status>,
    ) -> Self {
        match called {
            Ok(response) => {
                Self::Remote(Box::new(response.into_inner()), address, Arc::clone(node))
            }
            Err(status) => {
                node.links.forget(address);
                Self::Failed(status.to_string())
            }
        }
    }

    /// Returns the next part.
    ///
    /// # Errors
    /// Fails if the source ends before the answer does.
    pub(crate) async fn next(&mut self) -> Result<frame::Part, String> {
        let frame = match self {
            Self::Local(frames) => frames.recv().await,
            Self::Remote(frames, address, node) => match frames.message().await {
                Ok(frame) => frame,
                Err(status) => {
                    node.links.forget(*address);
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

    /// Reads the end of the stream itself. A stream that is dropped before it is reset, and a
    /// thousand resets close the whole connection.
    async fn finish(&mut self) {
        if let Self::Remote(frames, ..) = self {
            // The answer is whole; what the stream says after it changes nothing.
            let _ = frames.message().await;
        }
    }
}
