//! Borrows and lends slots of the endpoints of brittle services.

use std::net::IpAddr;
use std::sync::{Arc, MutexGuard};

use ploverwick_endpoints::slots::{Ending, Notice, Outgoing, Permit};
use ploverwick_names::Moment;

use crate::broadcast;
use crate::messages::SlotNotice;
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// Requests a slot of one of these endpoints, the preferred ones first, from other instances. `seed` spreads the requests over
/// lenders.
pub(crate) fn borrow(shared: &Shared, endpoints: &[Arc<str>], seed: &str) {
    let now = shared.now();
    let mut state = shared.state();
    let State {
        slots,
        slot_waits,
        peers,
        ..
    } = &mut *state;
    let waiting = slot_waits.values().sum();
    let address = |name: &str| peers.get(name).map(|peer| peer.ip);
    let outgoing = slots.request_loans(endpoints, waiting, seed, address, now);
    drop(state);
    broadcast::send_slot_notices(shared, outgoing);
}

/// Handles notices on loans from another instance.
pub(crate) fn handle_notices(shared: &Shared, notices: Vec<SlotNotice>, from: IpAddr) {
    let now = shared.now();
    let mut replies = Vec::new();
    let mut state = shared.state();
    for SlotNotice {
        notice,
        endpoint,
        id,
    } in notices
    {
        if notice == Notice::Request && !state.may_lend(&endpoint, now) {
            replies.push(Outgoing::refusal(from, &endpoint, id));
            continue;
        }
        let waiting = state.slot_waits_at(&endpoint, now);
        let reply = state
            .slots
            .handle(from, notice, (&endpoint, id), waiting, now);
        replies.extend(reply);
        if notice == Notice::Return {
            replies.extend(grant_queued(&mut state, &endpoint, now));
        }
    }
    drop(state);
    broadcast::send_slot_notices(shared, replies);
    shared.slots_changed.notify_waiters();
}

/// Lends slots that no request of this instance waits for.
fn grant_queued(state: &mut State, endpoint: &Arc<str>, now: Moment) -> Vec<Outgoing> {
    if state.slot_waits_at(endpoint, now) > 0 || !state.may_lend(endpoint, now) {
        return Vec::new();
    }
    state.slots.grant_queued(endpoint, now)
}

/// Gives back the slot of a request that ended. `state` must be held since the request no longer counts in the endpoint's load,
/// from which the slots in use are taken when the slots are first divided.
pub(crate) fn release(
    shared: &Shared,
    mut state: MutexGuard<'_, State>,
    endpoint: &Arc<str>,
    permit: Option<Permit>,
    ending: Ending,
) {
    let now = shared.now();
    if state.slots.is_empty() {
        return;
    }
    state.slots.release(endpoint, permit, ending, now);
    let mut outgoing = grant_queued(&mut state, endpoint, now);
    if state.slot_waits_at(endpoint, now) == 0 {
        outgoing.extend(state.slots.return_free(endpoint));
    }
    drop(state);
    broadcast::send_slot_notices(shared, outgoing);
    shared.slots_changed.notify_waiters();
}

/// Renews and returns loans, and wakes requests that wait for slots, as some may have become usable.
pub(crate) fn tick(shared: &Shared) {
    let now = shared.now();
    let mut state = shared.state();
    let totals = state.slots.totals(now);
    let waiting = state.slot_waits.values().sum();
    let due = state.slots.tick(now);
    drop(state);
    metrics::slots(totals, waiting);
    broadcast::send_slot_notices(shared, due);
    shared.slots_changed.notify_waiters();
}
