//! The gRPC protocol between daemons.
//!
//! The code in [`generated`] is generated from `proto/peer.proto` and committed; see
//! `CONTRIBUTING.md` for how to change it.

/// The protocol version that this build sends.
pub const PROTOCOL: u32 = 1;

/// The oldest protocol version that this build accepts.
pub const MIN_PROTOCOL: u32 = 1;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
pub use generated::{
    Ack, Chunk, ClaimAnswer, ClaimAsk, End, FetchAsk, Frame, Head, JoinAsk, News, Order, Probe,
    TableCopy, claim_answer, frame,
};

/// Returns whether this build accepts messages of the protocol version `version`.
pub fn supports_protocol(version: u32) -> bool {
    (MIN_PROTOCOL..=PROTOCOL).contains(&version)
}
