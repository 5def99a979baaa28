//! A request that waits for a slot of a brittle endpoint.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_endpoints::slots::{MAX_WAITS_PER_SLOT, REPLY_TIMEOUT};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::controllers::slots;
use crate::shared::Shared;

/// The bounds of the `Retry-After` if no slot is free. It is random, so that clients do not return together.
const RETRY_AFTER: std::ops::Range<Duration> =
    Duration::from_millis(250)..Duration::from_millis(750);

/// Counts a request that waits for a slot until it is dropped.
#[derive(Debug)]
pub(super) struct SlotWait<'a> {
    shared: &'a Shared,
    request: &'a AdmittedRequest,
    /// Whether it waits for a slot of this instance. Otherwise, too many others do.
    has_place: bool,
    until: Instant,
}

impl<'a> SlotWait<'a> {
    pub(super) fn start(shared: &'a Shared, request: &'a AdmittedRequest) -> Self {
        let now = shared.now();
        let mut state = shared.state();
        let entries = state.fleet.entries();
        let of_service = entries.filter(|entry| entry.service == request.service);
        let usable = state.slots.usable(of_service.map(|entry| &entry.id), now);
        let waits = state.slot_waits.entry(Arc::clone(&request.service));
        let waits = waits.or_default();
        let has_place = (*waits as f64) < MAX_WAITS_PER_SLOT * f64::from(usable);
        *waits += 1;
        drop(state);
        let until = Instant::now() + request.route.objective;
        Self {
            shared,
            request,
            has_place,
            until: until.min(request.first_event_deadline),
        }
    }

    /// Requests a slot of one of these endpoints from other instances.
    pub(super) fn borrow(&self, lacking: &[Arc<str>]) {
        slots::borrow(self.shared, lacking, &self.request.info.id);
    }

    /// Returns whether no slot can be expected in time.
    pub(super) fn is_over(&self) -> bool {
        let now = self.shared.now();
        let may_get_one = self.has_place || self.shared.state().slots.awaited_replies(now) > 0;
        !may_get_one || Instant::now() >= self.until
    }

    /// Returns when to look again at the latest.
    pub(super) fn recheck_at(&self) -> Instant {
        self.until.min(Instant::now() + REPLY_TIMEOUT)
    }
}

impl Drop for SlotWait<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        if let Some(waits) = state.slot_waits.get_mut(&self.request.service) {
            *waits -= 1;
            if *waits == 0 {
                state.slot_waits.remove(&self.request.service);
            }
        }
    }
}

/// Returns the reply to a request for which no slot is free.
pub(super) fn no_slot_reply() -> Reply {
    let spread = RETRY_AFTER.end.saturating_sub(RETRY_AFTER.start);
    let retry_after = RETRY_AFTER.start + spread.mul_f64(rand::random());
    let detail = "All slots of brittle endpoints are in use.";
    Reply::new(Code::Overloaded, detail).retry_after(retry_after)
}
