//! Measures generation steps by the pauses between the events of a stream.

use std::time::Duration;

use super::observations::{Observations, whole_ms};

/// The number of pauses of one stream that make an observation.
const PAUSES_PER_OBSERVATION: usize = 9;
/// The number of pauses that still do at the end of a stream.
const MIN_PAUSES: usize = 3;
/// The part of a pause that must have been spent waiting for the endpoint. During the rest, the client did not take
/// what had arrived.
const MIN_WAITED_RATIO: f64 = 0.9;

/// Measures the generation steps of one stream.
///
/// Each observation holds the lower third of some pauses between events: prompts that this instance does not know of
/// lengthen up to half of the pauses, and events that arrive together shorten a few.
#[derive(Debug, Default)]
pub struct StepMeter {
    pauses: Vec<Duration>,
}

impl StepMeter {
    /// Records a pause between two events of `event_tokens` tokens, in which no prompt was known to be read and for
    /// `waited` of which the endpoint was waited for. Returns an observation after every few pauses.
    pub fn record_pause(
        &mut self,
        pause: Duration,
        waited: Duration,
        event_tokens: u32,
    ) -> Option<Observations> {
        if waited < pause.mul_f64(MIN_WAITED_RATIO) {
            return None;
        }
        self.pauses.push(pause);
        (self.pauses.len() >= PAUSES_PER_OBSERVATION).then(|| self.take(event_tokens))
    }

    /// Returns an observation of the remaining pauses at the end of a stream, if there are enough.
    pub fn finish(&mut self, event_tokens: u32) -> Option<Observations> {
        (self.pauses.len() >= MIN_PAUSES).then(|| self.take(event_tokens))
    }

    fn take(&mut self, event_tokens: u32) -> Observations {
        self.pauses.sort_unstable();
        let count = u32::try_from(self.pauses.len()).unwrap_or(u32::MAX);
        let typical = self.pauses[self.pauses.len() / 3];
        self.pauses.clear();
        Observations {
            steps: count * event_tokens,
            steps_ms: whole_ms(typical * count),
            ..Observations::default()
        }
    }
}
