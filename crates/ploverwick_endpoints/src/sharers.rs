//! Selects the instances that share what an endpoint accepts from all of them together.
//!
//! Each instance selects by itself. An instance that is silent has ended, and the others may take over its share, or it is
//! partitioned from them and still uses it. The platform grants the lease of the failure domain to one instance only, so that
//! only those that reach its holder take over anything, and those on the other side of a partition stop.

use std::time::Duration;

/// The number of missing messages after which an instance counts as silent.
const MISSING_MESSAGES: u32 = 4;
/// The shortest silence after which an instance counts as silent. By then, instances that do not reach the holder of the lease
/// have requested it and know that another one holds it.
const MIN_SILENCE: Duration = Duration::from_secs(8);

/// Another instance of the failure domain.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// The time since its last message.
    pub silence: Duration,
}

/// What an instance knows of the holder of its failure domain's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseHolder {
    /// It is this instance, or one whose messages it receives.
    Reachable,
    /// The platform does not grant the lease to this instance, which receives no messages from a holder.
    Unreachable,
    /// Neither is known.
    Unknown,
}

/// Returns the names of the instances of a failure domain that have a share, out of this one, `own`, if it may have one, and
/// those that are listed. Each of them sends a message every `interval`.
pub fn select<'a>(
    own: Option<&'a str>,
    listed: &[Peer<'a>],
    interval: Duration,
    holder: LeaseHolder,
) -> Vec<&'a str> {
    let max_silence = interval.saturating_mul(MISSING_MESSAGES).max(MIN_SILENCE);
    let (silent, others): (Vec<Peer<'a>>, Vec<Peer<'a>>) =
        listed.iter().partition(|peer| peer.silence > max_silence);
    let (sharing, own) = match holder {
        LeaseHolder::Reachable => (others, own),
        LeaseHolder::Unreachable if !silent.is_empty() => (silent, None),
        LeaseHolder::Unreachable | LeaseHolder::Unknown => (listed.to_vec(), own),
    };
    let names = sharing.into_iter().map(|peer| peer.name);
    names.chain(own).collect()
}
