//! Accounting of a request in flight at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Copy;
use ploverwick_endpoints::slots::{Ending, Permit};
use ploverwick_endpoints::{Outcome, StepMeter};
use tokio::time::Instant;

use crate::controllers::{ejections, slots};
use crate::metrics;
use crate::shared::Shared;
use crate::state::State;

/// The generation steps before the head of an answer, besides reading: the one that runs when the request arrives, and
/// the one that generates its first token.
const STEPS_TO_HEAD: u32 = 2;

/// Counts a request in the load of an endpoint until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    pub(crate) endpoint: Arc<str>,
    copy: Option<Copy>,
    /// The prompt tokens that the endpoint still has to read; 0 once the answer has started.
    unread_tokens: u32,
    /// The tokens of other prompts that were queued before this one when it was sent.
    queued_tokens: u32,
    /// The tokens that the request is expected to hold at the endpoint until it ends.
    held_tokens: u32,
    /// Whether requests waited for a slot at the endpoint when this one was sent.
    was_full: bool,
    /// The number of tokens in an event, if the endpoint serves models.
    event_tokens: Option<u32>,
    /// When the last event arrived, and whether no prompt was known to be unread then.
    last_event: Option<(Instant, bool)>,
    steps: StepMeter,
    outcome: Outcome,
    ending: Ending,
    /// The slot that it uses at a brittle endpoint.
    permit: Option<Permit>,
}

impl InFlight {
    /// Starts the accounting; returns `None` if the endpoint is brittle and this instance has no slot of it.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        endpoint: &Arc<str>,
        copy: Option<Copy>,
        prompt: u32,
        answer: u32,
    ) -> Option<Self> {
        let now = shared.now();
        let mut state = shared.state();
        if state.lacks_slot(endpoint, now) {
            return None;
        }
        let permit = state.slots.acquire(endpoint, now);
        let queued_tokens = state.fleet.load(endpoint, now).unread_tokens;
        let was_full = state
            .fleet
            .fill(endpoint, now)
            .is_some_and(|fill| fill >= 1.0);
        let event_tokens = event_tokens(&state, endpoint);
        let held_tokens = prompt.saturating_add(answer);
        state.fleet.record_sent(endpoint, prompt);
        state.fleet.record_held(endpoint, held_tokens);
        if state.limits.record_send(endpoint, now) {
            metrics::limited_send();
        }
        if let Some(copy) = &copy {
            state.record_use(endpoint, copy, true);
        }
        drop(state);
        Some(Self {
            shared: Arc::clone(shared),
            endpoint: Arc::clone(endpoint),
            copy,
            unread_tokens: prompt,
            queued_tokens,
            held_tokens,
            was_full,
            event_tokens,
            last_event: None,
            steps: StepMeter::default(),
            outcome: Outcome::Abandoned,
            ending: Ending::Unknown,
            permit,
        })
    }

    /// Records that the endpoint has not run the request.
    pub(crate) fn set_not_run(&mut self, is_misdirected: bool) {
        self.ending = Ending::Known;
        // The addressed endpoint is not the one that answered, or does not hold the adapter.
        if !is_misdirected {
            self.outcome = Outcome::Refused;
        }
    }

    /// Sets the outcome of the request. If it is never set, the client disconnected: [`Outcome::Abandoned`].
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        self.ending = match outcome {
            Outcome::Success | Outcome::Refused | Outcome::Error => Ending::Known,
            Outcome::Broken | Outcome::Abandoned => Ending::Unknown,
        };
    }

    /// Records the time to the head of the answer.
    pub(crate) fn record_latency(&mut self, taken: Duration) {
        let mut state = self.shared.state();
        let prompt = std::mem::take(&mut self.unread_tokens);
        state.fleet.record_latency(&self.endpoint, taken);
        state.fleet.record_prompt_read(&self.endpoint, prompt);
        // The known prompts ahead are of some time ago. If they are most of the tokens, the time says little.
        let is_mostly_own = self.queued_tokens <= prompt;
        if prompt > 0 && is_mostly_own && !self.was_full {
            let tokens = self.queued_tokens.saturating_add(prompt);
            state
                .fleet
                .record_reading(&self.endpoint, tokens, STEPS_TO_HEAD, taken);
        }
    }

    /// Records an event of the answer, to measure the generation steps between events. The endpoint was waited for
    /// since `awaited_at`.
    pub(crate) fn record_event(&mut self, awaited_at: Instant, at: Instant) {
        let Some(event_tokens) = self.event_tokens else {
            return;
        };
        let now = self.shared.now();
        let mut state = self.shared.state();
        let is_undisturbed = state.fleet.load(&self.endpoint, now).unread_tokens == 0;
        let last = self.last_event.replace((at, is_undisturbed));
        if let Some((last_at, true)) = last
            && is_undisturbed
            && let Some(observed) =
                self.steps
                    .record_pause(at - last_at, at - awaited_at, event_tokens)
        {
            state.fleet.record_observations(&self.endpoint, observed);
        }
    }
}

/// Returns the number of tokens in an event of an endpoint's streams; `None` if it serves no models.
fn event_tokens(state: &State, endpoint: &str) -> Option<u32> {
    let entry = state.fleet.entry(endpoint)?;
    let service = state.config.as_ref()?.service(&entry.service)?;
    Some(service.engine.as_ref()?.event_tokens)
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state
            .fleet
            .record_prompt_read(&self.endpoint, self.unread_tokens);
        if let Some(event_tokens) = self.event_tokens
            && let Some(observed) = self.steps.finish(event_tokens)
        {
            state.fleet.record_observations(&self.endpoint, observed);
        }
        state
            .fleet
            .record_released(&self.endpoint, self.held_tokens);
        let is_ejected = state.fleet.record_ended(&self.endpoint, self.outcome, now);
        if let Some(copy) = &self.copy {
            state.record_use(&self.endpoint, copy, false);
        }
        slots::release(
            &self.shared,
            state,
            &self.endpoint,
            self.permit,
            self.ending,
        );
        if is_ejected {
            ejections::report(&self.shared, &self.endpoint, self.outcome.name());
        }
    }
}
