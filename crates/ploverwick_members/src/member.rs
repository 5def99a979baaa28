//! The state of a member.

use std::net::SocketAddr;

use ploverwick_names::{Life, Moment};

/// The state of a member, from best to worst.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Listed by the platform, but not heard from yet.
    Joining,
    /// It responds to probes.
    Live,
    /// It did not respond to recent probes.
    Suspect,
    /// It is about to leave, according to itself or the platform.
    Leaving,
    /// It has been suspected for too long, or was removed from the list.
    Gone,
}

impl State {
    /// Returns the state's name in the status output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// An update about a member, as instances exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// The member's process.
    pub life: Life,
    /// Its state.
    pub state: State,
    /// The address for peers.
    pub address: SocketAddr,
    /// A counter that only the member increments, to refute a suspicion.
    pub refutation: u64,
}

/// A member, as this instance knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// The latest update about it.
    pub update: Update,
    /// When its state last changed.
    pub changed_at: Moment,
    /// Whether the platform lists it.
    pub listed: bool,
}
