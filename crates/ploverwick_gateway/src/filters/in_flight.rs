//! Accounting of a request in flight at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Copy;
use ploverwick_endpoints::Outcome;

use crate::metrics;
use crate::shared::Shared;

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
    outcome: Outcome,
}

impl InFlight {
    pub(crate) fn start(
        shared: &Arc<Shared>,
        endpoint: &Arc<str>,
        copy: Option<Copy>,
        prompt: u32,
    ) -> Self {
        let now = shared.now();
        let mut state = shared.state();
        let queued_tokens = state.fleet.load(endpoint, now).unread_tokens;
        state.fleet.record_sent(endpoint, prompt);
        if state.limits.record_send(endpoint, now) {
            metrics::limited_send();
        }
        if let Some(copy) = &copy {
            state.record_use(endpoint, copy, true);
        }
        drop(state);
        Self {
            shared: Arc::clone(shared),
            endpoint: Arc::clone(endpoint),
            copy,
            unread_tokens: prompt,
            queued_tokens,
            outcome: Outcome::Abandoned,
        }
    }

    /// Sets the outcome of the request. If it is never set, the client disconnected: [`Outcome::Abandoned`].
    pub(crate) fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records the time to the head of the answer.
    pub(crate) fn record_latency(&mut self, taken: Duration) {
        let mut state = self.shared.state();
        let tokens = self.queued_tokens.saturating_add(self.unread_tokens);
        state.fleet.record_latency(&self.endpoint, tokens, taken);
        state
            .fleet
            .record_prompt_read(&self.endpoint, std::mem::take(&mut self.unread_tokens));
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state
            .fleet
            .record_prompt_read(&self.endpoint, self.unread_tokens);
        state.fleet.record_ended(&self.endpoint, self.outcome, now);
        if let Some(copy) = &self.copy {
            state.record_use(&self.endpoint, copy, false);
        }
    }
}
