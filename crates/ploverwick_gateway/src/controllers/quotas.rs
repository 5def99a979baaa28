//! Exchanges quotas with pools: leases this instance's shares to a pool, requests what its own requests need,
//! and serves as a pool for others.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_quota::{Grant, GrantRequest, Lease};
use ploverwick_routes::Config;
use tokio::time::Instant;

use crate::messages::{CorrelationId, Message};
use crate::metrics;
use crate::shared::Shared;
use crate::state::{InstanceListState, State};

/// How often to check whether an organisation has a quota.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often to check, after the start, whether the list of instances was read.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum interval between messages, so that their number does not grow with the number of requests. It
/// is also the maximum additional delay of a request that waits for a grant.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(10);
/// How often the ranking of pools is recomputed.
const RANKING_INTERVAL: Duration = Duration::from_millis(500);

/// The instances that may serve as pools, in order of rank, and the number of instances that share the
/// quotas.
#[derive(Debug, Default)]
struct Ranking {
    pools: Vec<IpAddr>,
    sharers: usize,
    at: Option<Moment>,
}

/// Sends leases and grant requests for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut ranking = Ranking::default();
    loop {
        if !is_needed(&shared) {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        if !refresh_ranking(&shared, &mut ranking) {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
            continue;
        }
        let sent_at = Instant::now();
        send_leases(&shared, &ranking);
        let due = shared.state().allocation.due();
        tokio::select! {
            () = tokio::time::sleep_until(shared.clock.instant(due)) => {}
            () = shared.quota_requested.notified() => {}
        }
        tokio::time::sleep_until(sent_at + MIN_SEND_INTERVAL).await;
    }
}

/// Returns whether an organisation has a quota, or may have one because the configuration is not known yet.
/// Waiting for the configuration first would refuse requests until a pool is found.
fn is_needed(shared: &Shared) -> bool {
    let state = shared.state();
    let config = state.config.as_ref();
    config.is_none_or(|config| config.has_quotas())
}

/// Recomputes the ranking if it is outdated; returns `false` until the list of instances was read.
fn refresh_ranking(shared: &Shared, ranking: &mut Ranking) -> bool {
    let now = shared.now();
    if ranking
        .at
        .is_some_and(|at| now.since(at) < RANKING_INTERVAL)
    {
        return true;
    }
    let state = shared.state();
    let Some(sharers) = sharers(shared, &state) else {
        return false;
    };
    *ranking = Ranking {
        pools: state.ranked_instances(&shared.settings),
        sharers,
        at: Some(now),
    };
    metrics::quota_pool(state.quota_pool.share(), state.quota_pool.lenders());
    true
}

/// Returns how many instances share the quotas. An instance that is not on the list yet, which takes up to
/// 1.6 s, counts itself in addition to those that are.
fn sharers(shared: &Shared, state: &State) -> Option<usize> {
    let listed = shared.max_instances(state);
    let known = (state.instance_list != InstanceListState::Unread).then_some(state.peers.len() + 1);
    listed.max(known)
}

fn send_leases(shared: &Shared, ranking: &Ranking) {
    let now = shared.now();
    let correlation_id = shared.correlation_id(now);
    let own = IpAddr::from(shared.settings.ip);
    let leases = shared
        .state()
        .allocation
        .prepare_leases(&ranking.pools, ranking.sharers, now);
    for (to, lease) in leases {
        if to == own {
            let granted = process_lease(shared, own, &lease);
            handle_grants(shared, own, correlation_id, &granted);
        } else {
            shared.peer_socket.send(
                &Message::QuotaLease {
                    correlation_id,
                    lease,
                },
                &[to],
            );
        }
    }
}

/// Handles a lease from another instance, and answers its grant requests.
pub(crate) fn handle_lease(
    shared: &Shared,
    from: IpAddr,
    correlation_id: CorrelationId,
    lease: &Lease,
) {
    let grants = process_lease(shared, from, lease);
    let answer = Message::QuotaGrants {
        correlation_id,
        grants,
    };
    shared.peer_socket.send(&answer, &[from]);
}

fn process_lease(shared: &Shared, from: IpAddr, lease: &Lease) -> Vec<Grant> {
    let now = shared.now();
    let mut state = shared.state();
    state.quota_pool.apply_lease(from, lease, now);
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let requests = lease.grant_requests.iter();
    let grants = requests.filter_map(|request| grant(&mut state, &config, request, now));
    grants.collect()
}

/// Grants a request as far as the pool allows: nothing if the configuration does not know the organisation,
/// and everything if the organisation no longer has a quota.
fn grant(state: &mut State, config: &Config, request: &GrantRequest, now: Moment) -> Option<Grant> {
    let organisation = config
        .organisations()?
        .find_by_name(&request.organisation)?;
    let Some(quota) = &organisation.quota else {
        let needs = request.costs.iter().copied();
        return Some(Grant {
            organisation: Arc::clone(&request.organisation),
            units: needs.fold(0, u32::saturating_add),
            wait_ms: 0,
        });
    };
    Some(state.quota_pool.grant(request, quota, now))
}

/// Handles the grants of a pool.
pub(crate) fn handle_grants(
    shared: &Shared,
    from: IpAddr,
    correlation_id: CorrelationId,
    grants: &[Grant],
) {
    if !shared.is_own_correlation_id(correlation_id) {
        return;
    }
    let now = shared.now();
    let mut state = shared.state();
    state
        .allocation
        .handle_grants(from, correlation_id.sent_at, grants, now);
    let has_urgent = state.allocation.has_urgent();
    drop(state);
    shared.quota_decided.notify_waiters();
    if has_urgent {
        shared.quota_requested.notify_one();
    }
}
