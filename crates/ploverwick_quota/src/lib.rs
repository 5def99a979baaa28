//! Distributed enforcement of per-organisation quotas.
//!
//! Each instance owns an equal share of every quota and leases it ([`Lease`]) to one instance, which pools the
//! shares ([`Pool`]) and grants units from them to the instances that have requests ([`Allocation`]). An
//! organisation can therefore use its whole quota whether its requests arrive at one instance or at all of them.
//!
//! A share is leased to one pool at a time, and its owner reclaims it only when the lease has expired or the pool
//! has confirmed the return. The shares in use thus never add up to more than the quota. Any instance may act as a
//! pool, even several at once during a network partition, and no leader election is needed.
//!
//! This crate holds state only: callers pass in the time and transport the messages.

mod allocation;
mod demand;
mod pool;
mod refused_units;
mod retry_after;
mod sliding_window;
mod unspent;

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use allocation::{Admission, Allocation, Decision, Ticket};
pub use pool::Pool;

/// The interval at which an instance renews its lease when there are few instances. A shorter interval costs
/// messages; a longer one leaves the share of an instance that fails unused for longer.
const MIN_LEASE_INTERVAL: Duration = Duration::from_millis(150);
/// How much each instance adds to the interval, so that a pool receives at most 500 leases a second until
/// [`MAX_LEASE_INTERVAL`] is reached.
const LEASE_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(2);
/// The longest interval. When a pool fails, requests wait for about two intervals.
const MAX_LEASE_INTERVAL: Duration = Duration::from_millis(700);

/// How much future demand is granted in advance. It covers most of the time until a pool failure is detected, and
/// spares most requests of a large organisation a round trip to the pool.
const PREFETCH_DURATION: Duration = Duration::from_millis(250);

/// Returns the interval at which an instance renews its lease.
pub fn lease_interval(instance_count: usize) -> Duration {
    let instance_count = u32::try_from(instance_count).unwrap_or(u32::MAX);
    let even = LEASE_INTERVAL_PER_INSTANCE
        .checked_mul(instance_count)
        .unwrap_or(MAX_LEASE_INTERVAL);
    even.clamp(MIN_LEASE_INTERVAL, MAX_LEASE_INTERVAL)
}

/// Returns the duration of a lease. It extends past the second renewal, so that one message may be lost.
fn lease_duration(lease_interval: Duration) -> Duration {
    lease_interval * 2 + lease_interval / 3
}

/// A request to a pool for units of one organisation's quota.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The organisation.
    pub organisation: Arc<str>,
    /// The cost of each pending request.
    pub costs: Vec<u32>,
    /// The units that upcoming requests are expected to need.
    pub prefetch: u32,
}

/// A message to a pool that leases the sender's share of all quotas and requests units.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The number of instances known to the sender; its share is one divided by this number.
    pub instance_count: u32,
    /// The duration of the lease from its arrival; 0 ends it.
    pub lease_ms: u32,
    /// The units that the sender requests, by organisation.
    pub grant_requests: Vec<GrantRequest>,
}

/// A pool's response to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The organisation.
    pub organisation: Arc<str>,
    /// The units granted.
    pub units: u32,
    /// The time until the refused requests fit within the quota; 0 if none was refused.
    pub wait_ms: u32,
}
