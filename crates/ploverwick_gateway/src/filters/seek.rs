//! Asks for an adapter that no endpoint can serve.

use std::sync::Arc;

use ploverwick_adapters::{Copy, Domain, Need};

use super::task::Task;
use crate::controllers::demand;
use crate::shared::Shared;

/// Asks for an adapter where it belongs.
pub(super) fn ask(shared: &Arc<Shared>, task: &Task, copy: &Copy) {
    let Some(domain) = home(shared, task, copy) else {
        return;
    };
    // Whoever holds it cannot be used: it is left out for its failures or was tried already.
    let holders = shared.state().directory.holders(&copy.key, copy.version);
    let need = if holders.is_empty() {
        Need::Any
    } else {
        Need::Another
    };
    demand::request_adapter(shared, &domain, copy, need);
}

/// Returns the failure domain that is to load an adapter; `None` if it is on its way or nobody can.
fn home(shared: &Shared, task: &Task, copy: &Copy) -> Option<Arc<str>> {
    let now = shared.now();
    let state = shared.state();
    if state.directory.loading_on(copy, now).is_some() {
        return None;
    }
    let names = shared.settings.domains.iter();
    let domains: Vec<Domain<'_>> = names
        .filter_map(|name| {
            let waiting = state.waiting_in(name, &shared.settings, now)?;
            let endpoints = state.fleet.count_usable(&task.service, name, now);
            Some(Domain {
                name,
                endpoints,
                waiting,
            })
        })
        .collect();
    let past = state.directory.previous_holders(copy).iter();
    let past = past.filter_map(|endpoint| state.fleet.entry(endpoint));
    let mut at_hand: Vec<&str> = past.map(|entry| &*entry.domain).collect();
    // The own failure domain first, if it is among several.
    at_hand.sort_by_key(|domain| **domain != *shared.settings.domain);
    let home = ploverwick_adapters::choose_domain(&copy.key.to_string(), &domains, &at_hand)?;
    Some(Arc::from(home.name))
}
