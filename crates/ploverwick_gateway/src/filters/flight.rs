//! A request under way at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Copy;
use ploverwick_endpoints::Outcome;

use crate::metrics;
use crate::shared::Shared;

/// Counts a request at an endpoint for as long as it lives.
#[derive(Debug)]
pub(crate) struct Flight {
    shared: Arc<Shared>,
    pub(crate) endpoint: Arc<str>,
    copy: Option<Copy>,
    /// The tokens of the prompt, until the answer begins.
    reading: u32,
    /// The tokens of other prompts that were to be read before it.
    ahead: u32,
    outcome: Outcome,
}

impl Flight {
    pub(crate) fn begin(
        shared: &Arc<Shared>,
        endpoint: &Arc<str>,
        copy: Option<Copy>,
        prompt: u32,
    ) -> Self {
        let now = shared.now();
        let mut state = shared.state();
        let ahead = state.fleet.load(endpoint, now).reading;
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
            reading: prompt,
            ahead,
            outcome: Outcome::Abandoned,
        }
    }

    /// Says how the request ended; without it the caller left.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Takes in how long the head of the answer took.
    pub(crate) fn latency(&mut self, taken: Duration) {
        let mut state = self.shared.state();
        let tokens = self.ahead.saturating_add(self.reading);
        state.fleet.record_latency(&self.endpoint, tokens, taken);
        state
            .fleet
            .record_prompt_read(&self.endpoint, std::mem::take(&mut self.reading));
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.record_prompt_read(&self.endpoint, self.reading);
        state.fleet.record_ended(&self.endpoint, self.outcome, now);
        if let Some(copy) = &self.copy {
            state.record_use(&self.endpoint, copy, false);
        }
    }
}
