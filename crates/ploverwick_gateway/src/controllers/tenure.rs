//! Keeps or takes the right to place the adapters of this failure domain.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Grant;
use ploverwick_names::Moment;
use ploverwick_platform::placer_group;

use super::{Backoff, instances};
use crate::logging::Outage;
use crate::shared::{MAX_STANDBYS, PLACER_LEASE_DURATION, Shared};
use crate::tell;

/// The pause between renewals; three fit into a grant.
const RENEWAL: Duration = Duration::from_millis(450);
/// The pause between looks whether this instance should stand by for the right.
const LOOK: Duration = Duration::from_millis(250);
/// How long after its start an instance goes by the list of instances and not by whom it heard: where all
/// start at once, each would stand by until it has heard the others.
const HEARING: Moment = Moment(1_000);
/// How long a failure domain may be without a placer before all of its instances stand by: those
/// whose turn it is may be cut off from the store.
const VACANT: Duration = Duration::from_millis(3_500);

/// Renews the membership for as long as the process runs.
pub(crate) async fn keep(shared: Arc<Shared>) {
    let group = placer_group(&shared.settings.domain);
    let member = Arc::clone(&shared.settings.instance);
    let ttl = PLACER_LEASE_DURATION.max(shared.settings.shortest_ttl);
    let mut outage = Outage::new("placer group");
    let mut backoff = Backoff::new();
    let mut generation = 0;
    let mut era = 0;
    let mut written = None;
    let mut is_member = false;
    let mut seen = shared.now();
    let mut stopping = shared.stopping.subscribe();
    loop {
        if shared.is_stopping() {
            leave(&shared, &group).await;
            return;
        }
        if !stands_by(&shared, &mut seen) {
            if std::mem::take(&mut is_member) {
                leave(&shared, &group).await;
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                _ = stopping.changed() => {}
            }
            continue;
        }
        is_member = true;
        // Generations restart when the store is restored.
        if std::mem::replace(&mut era, shared.store.era()) != shared.store.era() {
            generation = 0;
        }
        let asked = shared.now();
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
                take(&shared, grant, asked);
                let token = membership.is_leader.then_some(membership.token);
                if token.is_some() && token != written {
                    written = token;
                    tokio::spawn(instances::name_placer(Arc::clone(&shared)));
                    if shared.persists_token {
                        tokio::spawn(instances::enlist(Arc::clone(&shared), token));
                    }
                }
                tokio::select! {
                    () = tokio::time::sleep(RENEWAL) => {}
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

/// Returns whether this instance should be a member of the group: it has the right, it is among the
/// first of its failure domain by name, or nobody has had the right for too long. The group decides
/// who has it; whoever stands by needlessly costs calls and nothing else.
fn stands_by(shared: &Shared, seen: &mut Moment) -> bool {
    let now = shared.now();
    let state = shared.state();
    let domain = &shared.settings.domain;
    if state.placer_lease.is_held(now) || state.placer_of(domain, now).is_some() {
        *seen = now;
    }
    if state.placer_lease.is_held(now) || now.since(*seen) > VACANT {
        return true;
    }
    if now < HEARING && state.was_placer {
        return true;
    }
    if now < HEARING {
        return state
            .listed_rank(&shared.settings)
            .is_some_and(|rank| rank < MAX_STANDBYS);
    }
    state.rank(&shared.settings, now) < MAX_STANDBYS
}

fn take(shared: &Shared, grant: Grant, asked: Moment) {
    let now = shared.now();
    let mut state = shared.state();
    let was_held = state.placer_lease.is_held(now);
    state.placer_lease.handle_grant(grant, asked, now);
    let is_held = state.placer_lease.is_held(now);
    if was_held == is_held {
        return;
    }
    // Whoever had the right in between may have changed everything.
    state.placer.clear();
    drop(state);
    spdlog::info!("tenure held={} grant={:?}", is_held, grant);
    shared.orders_changed.notify_waiters();
}

fn lose(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    state.placer_lease.release(now);
    state.placer.clear();
}

async fn leave(shared: &Shared, group: &str) {
    lose(shared);
    match shared.store.leave(group, &shared.settings.instance).await {
        Ok(()) => tell::vacate(shared),
        Err(error) => spdlog::warn!("group_not_left cause=\"{}\"", error),
    }
}
