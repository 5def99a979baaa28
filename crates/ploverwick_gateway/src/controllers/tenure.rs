//! Keeps or takes the right to place the adapters of this failure domain.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Grant;
use ploverwick_platform::group;

use super::{Backoff, instances};
use crate::journal::Outage;
use crate::peers;
use crate::shared::{Shared, TENURE};

/// The pause between renewals; three fit into a grant.
const RENEWAL: Duration = Duration::from_millis(450);

/// Renews the membership for as long as the process runs.
pub(crate) async fn keep(shared: Arc<Shared>) {
    let group = group(&shared.settings.domain);
    let member = Arc::clone(&shared.settings.instance);
    let ttl = TENURE.max(shared.settings.shortest_ttl);
    let mut outage = Outage::of("placer group");
    let mut backoff = Backoff::new();
    let mut generation = 0;
    let mut written = None;
    let mut stopping = shared.stopping.subscribe();
    loop {
        if shared.is_stopping() {
            leave(&shared, &group).await;
            return;
        }
        let asked = shared.now();
        match shared.store.join(&group, &member, ttl, generation).await {
            Ok(membership) => {
                outage.works();
                backoff.reset();
                generation = membership.generation;
                let grant = if membership.leads {
                    Grant::Held(membership.generation)
                } else {
                    Grant::Elsewhere
                };
                take(&shared, grant, asked);
                let token = membership.leads.then_some(generation);
                if shared.keeps_token && token.is_some() && token != written {
                    written = token;
                    tokio::spawn(instances::enlist(Arc::clone(&shared), token));
                }
                tokio::select! {
                    () = tokio::time::sleep(RENEWAL) => {}
                    () = shared.vacant.notified() => {}
                    _ = stopping.changed() => {}
                }
            }
            Err(error) => {
                outage.fails(&error);
                backoff.pause().await;
            }
        }
    }
}

fn take(shared: &Shared, grant: Grant, asked: ploverwick_names::Moment) {
    let now = shared.now();
    let mut state = shared.state();
    let was_held = state.tenure.is_held(now);
    state.tenure.granted(grant, asked, now);
    let is_held = state.tenure.is_held(now);
    if was_held == is_held {
        return;
    }
    // Whoever had the right in between may have changed everything.
    state.placer.clear();
    drop(state);
    spdlog::info!("tenure held={} grant={:?}", is_held, grant);
    shared.orders.notify_waiters();
}

fn lose(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    state.tenure.lose(now);
    state.placer.clear();
}

async fn leave(shared: &Shared, group: &str) {
    lose(shared);
    match shared.store.leave(group, &shared.settings.instance).await {
        Ok(()) => peers::vacate(shared),
        Err(error) => spdlog::warn!("group_not_left cause=\"{}\"", error),
    }
}
