//! Messages between daemons.
//!
//! The code in [`generated`] comes from `proto/peer.proto` and is committed; see
//! `CONTRIBUTING.md` for how to change it.

/// The version of the protocol that this build speaks.
pub const PROTOCOL: u32 = 1;

/// The oldest version of the protocol that this build still accepts.
pub const OLDEST_PROTOCOL: u32 = 1;

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic)]
mod generated;

pub use generated::peer_client::PeerClient;
pub use generated::peer_server::{Peer, PeerServer};
pub use generated::{
    Ack, Chunk, ClaimAnswer, ClaimAsk, End, FetchAsk, Frame, Head, JoinAsk, News, Order, Probe,
    TableCopy, claim_answer, frame,
};

/// Says whether a peer that speaks `version` is understood.
pub fn understands(version: u32) -> bool {
    (OLDEST_PROTOCOL..=PROTOCOL).contains(&version)
}
