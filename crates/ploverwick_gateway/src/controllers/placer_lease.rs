//! Acquires and renews the lease to place the adapters of this failure domain.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Grant;
use ploverwick_names::Moment;
use ploverwick_platform::placer_group;

use super::{Backoff, instances};
use crate::broadcast;
use crate::logging::Outage;
use crate::shared::{MAX_STANDBYS, PLACER_LEASE_DURATION, Shared};
/// The interval between renewals; three fit into the duration of a grant.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// How often an instance outside the group rechecks whether it should join as a standby.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time since the start of the process until which the rank of an instance follows from the list of
/// instances and not from the peers whose messages it has received. If all instances start at once, each would
/// otherwise become a standby until it has received messages from the others.
const DISCOVERY_END: Moment = Moment(1_000);
/// How long a failure domain may have no placer before all of its instances join the group. The standbys may
/// be cut off from the store.
const MAX_VACANCY: Duration = Duration::from_millis(3_500);

/// Maintains the membership in the placer group for as long as the process runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let group = placer_group(&shared.settings.domain);
    let member = Arc::clone(&shared.settings.instance);
    let ttl = PLACER_LEASE_DURATION.max(shared.settings.shortest_ttl);
    let mut outage = Outage::new("placer group");
    let mut backoff = Backoff::new();
    let mut generation = 0;
    let mut era = 0;
    let mut stored_token = None;
    let mut is_member = false;
    let mut placer_seen_at = shared.now();
    let mut stopping = shared.shutdown.subscribe();
    loop {
        if shared.is_stopping() {
            leave(&shared, &group).await;
            return;
        }
        if !should_join(&shared, &mut placer_seen_at) {
            if std::mem::take(&mut is_member) {
                leave(&shared, &group).await;
            }
            tokio::select! {
                () = tokio::time::sleep(RECHECK_INTERVAL) => {}
                _ = stopping.changed() => {}
            }
            continue;
        }
        is_member = true;
        // Generations restart when the store is restored.
        if std::mem::replace(&mut era, shared.store.era()) != shared.store.era() {
            generation = 0;
        }
        let requested_at = shared.now();
        match shared.store.join(&group, &member, ttl, generation).await {
            Ok(membership) => {
                outage.record_success();
                backoff.reset();
                generation = membership.generation;
                let grant = if membership.is_leader {
                    Grant::Held(membership.token)
                } else {
                    Grant::Elsewhere
                };
                apply_grant(&shared, grant, requested_at);
                let token = membership.is_leader.then_some(membership.token);
                if token.is_some() && token != stored_token {
                    stored_token = token;
                    tokio::spawn(instances::record_placer(Arc::clone(&shared)));
                    if shared.persists_token {
                        tokio::spawn(instances::register(Arc::clone(&shared), token));
                    }
                }
                tokio::select! {
                    () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
                    () = shared.lease_released.notified() => {}
                    _ = stopping.changed() => {}
                }
            }
            Err(error) => {
                outage.record_failure(&error);
                backoff.pause(&shared).await;
            }
        }
    }
}

/// Returns whether this instance should be a member of the group: it reaches the engines, and it holds the lease, ranks among
/// the first instances of its failure domain, or the domain has had no placer for too long.
///
/// The group decides who holds the lease. An unnecessary member costs calls but does no harm.
fn should_join(shared: &Shared, placer_seen_at: &mut Moment) -> bool {
    let now = shared.now();
    let state = shared.state();
    // Its orders would not arrive, and endpoints take orders through a relay for those of another holder.
    if !state.reaches_engines(&shared.settings) {
        return false;
    }
    let domain = &shared.settings.domain;
    if state.placer_lease.is_held(now) || state.placer_of(domain, now).is_some() {
        *placer_seen_at = now;
    }
    if state.placer_lease.is_held(now) || now.since(*placer_seen_at) > MAX_VACANCY {
        return true;
    }
    if now < DISCOVERY_END && state.was_placer {
        return true;
    }
    if now < DISCOVERY_END {
        return state
            .listed_rank(&shared.settings)
            .is_some_and(|rank| rank < MAX_STANDBYS);
    }
    state.rank(&shared.settings, now) < MAX_STANDBYS
}

fn apply_grant(shared: &Shared, grant: Grant, requested_at: Moment) {
    let now = shared.now();
    let mut state = shared.state();
    let was_held = state.placer_lease.is_held(now);
    state.placer_lease.handle_grant(grant, requested_at, now);
    let is_held = state.placer_lease.is_held(now);
    if was_held == is_held {
        return;
    }
    // Another holder may have changed everything in the meantime.
    state.placer.clear(now);
    drop(state);
    spdlog::info!("tenure held={} grant={:?}", is_held, grant);
    shared.orders_changed.notify_waiters();
}

fn release(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    state.placer_lease.release(now);
    state.placer.clear(now);
}

async fn leave(shared: &Shared, group: &str) {
    release(shared);
    match shared.store.leave(group, &shared.settings.instance).await {
        Ok(()) => broadcast::send_lease_released(shared),
        Err(error) => spdlog::warn!("group_not_left cause=\"{}\"", error),
    }
}
