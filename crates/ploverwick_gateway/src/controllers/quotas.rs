//! Lends this instance's parts of quotas to a pool, asks it for what requests need, and pools those of others.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Moment;
use ploverwick_quota::{Grant, GrantRequest, Lease};
use ploverwick_routes::Config;
use tokio::time::Instant;

use crate::messages::{Message, QueryId};
use crate::metrics;
use crate::shared::Shared;
use crate::state::{InstanceListState, State};

/// How often an instance looks whether an organisation has a quota.
const IDLE: Duration = Duration::from_millis(250);
/// How often an instance that starts looks whether the list of instances was read.
const LIST: Duration = Duration::from_millis(20);
/// The least pause between messages, so that their number does not grow with the requests: a request that
/// has to wait for one waits this much longer at most.
const GAP: Duration = Duration::from_millis(10);
/// How often it is worked out who may pool.
const RANK: Duration = Duration::from_millis(500);

/// Who may pool, and for how many.
#[derive(Debug, Default)]
struct Fleet {
    pools: Vec<IpAddr>,
    sharers: usize,
    at: Option<Moment>,
}

/// Lends and asks for as long as the process runs.
pub(crate) async fn keep(shared: Arc<Shared>) {
    let mut fleet = Fleet::default();
    loop {
        if !is_needed(&shared) {
            tokio::time::sleep(IDLE).await;
            continue;
        }
        if !renew(&shared, &mut fleet) {
            tokio::time::sleep(LIST).await;
            continue;
        }
        let told = Instant::now();
        tell(&shared, &fleet);
        let due = shared.state().allocation.due();
        tokio::select! {
            () = tokio::time::sleep_until(shared.clock.instant(due)) => {}
            () = shared.quota_requested.notified() => {}
        }
        tokio::time::sleep_until(told + GAP).await;
    }
}

/// Returns whether an organisation has a quota, or may have: a start that waits for its configuration first
/// would refuse requests until a pool is found.
fn is_needed(shared: &Shared) -> bool {
    let state = shared.state();
    let config = state.config.as_ref();
    config.is_none_or(|config| config.has_quotas())
}

/// Works out anew who may pool; `false` as long as the list of instances was not read.
fn renew(shared: &Shared, fleet: &mut Fleet) -> bool {
    let now = shared.now();
    if fleet.at.is_some_and(|at| now.since(at) < RANK) {
        return true;
    }
    let state = shared.state();
    let Some(sharers) = sharers(shared, &state) else {
        return false;
    };
    *fleet = Fleet {
        pools: state.ranked_instances(&shared.settings),
        sharers,
        at: Some(now),
    };
    metrics::quota_pool(state.quota_pool.share(), state.quota_pool.lenders());
    true
}

/// Returns how many instances share the quotas. One that is not on the list yet, which takes up to 1.6 s,
/// counts itself beside those that are.
fn sharers(shared: &Shared, state: &State) -> Option<usize> {
    let listed = shared.max_instances(state);
    let known = (state.instance_list != InstanceListState::Unread).then_some(state.peers.len() + 1);
    listed.max(known)
}

fn tell(shared: &Shared, fleet: &Fleet) {
    let now = shared.now();
    let query_id = shared.query_id(now);
    let own = IpAddr::from(shared.settings.ip);
    let told = shared
        .state()
        .allocation
        .prepare_leases(&fleet.pools, fleet.sharers, now);
    for (to, lease) in told {
        if to == own {
            let granted = take_in(shared, own, &lease);
            given(shared, own, query_id, &granted);
        } else {
            shared
                .peer_socket
                .send(&Message::QuotaLease { query_id, lease }, &[to]);
        }
    }
}

/// Takes in what another instance lends and asks for, and answers.
pub(crate) fn lent(shared: &Shared, from: IpAddr, query_id: QueryId, lease: &Lease) {
    let grants = take_in(shared, from, lease);
    let answer = Message::QuotaGrants { query_id, grants };
    shared.peer_socket.send(&answer, &[from]);
}

fn take_in(shared: &Shared, from: IpAddr, lease: &Lease) -> Vec<Grant> {
    let now = shared.now();
    let mut state = shared.state();
    state.quota_pool.apply_lease(from, lease, now);
    let Some(config) = state.config.clone() else {
        return Vec::new();
    };
    let asks = lease.grant_requests.iter();
    let grants = asks.filter_map(|ask| grant(&mut state, &config, ask, now));
    grants.collect()
}

/// Grants what there is room for; nothing to an organisation that the configuration does not know, and all
/// to one that has no quota any more.
fn grant(state: &mut State, config: &Config, ask: &GrantRequest, now: Moment) -> Option<Grant> {
    let organisation = config.organisations()?.find_by_name(&ask.organisation)?;
    let Some(quota) = &organisation.quota else {
        let needs = ask.costs.iter().copied();
        return Some(Grant {
            organisation: Arc::clone(&ask.organisation),
            units: needs.fold(0, u32::saturating_add),
            wait_ms: 0,
        });
    };
    Some(state.quota_pool.grant(ask, quota, now))
}

/// Takes in what a pool grants.
pub(crate) fn given(shared: &Shared, from: IpAddr, query_id: QueryId, grants: &[Grant]) {
    if !shared.is_own_query(query_id) {
        return;
    }
    let now = shared.now();
    let mut state = shared.state();
    state
        .allocation
        .handle_grants(from, query_id.sent_at, grants, now);
    let has_urgent = state.allocation.has_urgent();
    drop(state);
    shared.quota_decided.notify_waiters();
    if has_urgent {
        shared.quota_requested.notify_one();
    }
}
