//! The speed of one endpoint, learned from observations of several instances.
//!
//! An endpoint that is slow takes longer for both kinds of work. Steps are observed often and alone, but the time to
//! read a prompt includes waits for prompts that no instance knows of. The time to read is therefore learned relative
//! to the time of steps.

use std::time::Duration;

use super::observations::{EndpointKey, Figure, Observations, whole_ms};
use super::rate::{Rate, Sums, Weights};
use super::{Capacity, INITIAL};

/// The weights for prompt tokens, relative to the time of steps. Recent observations count for less than half at a busy
/// endpoint, as some include waits that no instance knows of; a change of its speed shows in its steps at once.
const READ_WEIGHTS: Weights = Weights {
    prior: 1_000.0,
    lasting: 10_000.0,
    told: 8_000.0,
};
/// The weights for generation steps. A busy endpoint takes some thousand a second, which outweighs what was observed
/// before. An instance that alone sends it a request in ten seconds relies on what the placer sends.
const STEP_WEIGHTS: Weights = Weights {
    prior: 50.0,
    lasting: 100.0,
    told: 800.0,
};
/// The ratio to the expected time above which a time to the first event counts no more: the request waited for
/// something else than reading.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// The age after which observations are not sent to the placer any more.
const MAX_PENDING_AGE: Duration = Duration::from_secs(2);
/// The ratio by which an estimate must differ from the last figure to be sent again ahead of others.
const MIN_CHANGE: f64 = 1.12;

/// The learned speed of one endpoint.
#[derive(Debug)]
pub(crate) struct Pace {
    key: EndpointKey,
    read: Rate,
    step: Rate,
    /// The estimate as of the last observation.
    capacity: Capacity,
    /// The speed of the service's other endpoints.
    prior: Capacity,
    /// Observations of this instance that have not been sent to the placer.
    pending: Observations,
    pending_age: Duration,
    /// The figure that this instance sent last as the placer, and how long ago.
    sent: Option<(Figure, Duration)>,
}

impl Pace {
    pub(crate) fn new(id: &str) -> Self {
        Self {
            key: EndpointKey::of(id),
            read: Rate::default(),
            step: Rate::default(),
            capacity: INITIAL,
            prior: INITIAL,
            pending: Observations::default(),
            pending_age: Duration::ZERO,
            sent: None,
        }
    }

    pub(crate) fn key(&self) -> EndpointKey {
        self.key
    }

    /// Returns the estimated speed.
    pub(crate) fn capacity(&self) -> Capacity {
        self.capacity
    }

    /// Returns the estimated milliseconds per prompt token.
    pub(crate) fn ms_per_token(&self) -> f64 {
        self.capacity.read_ms
    }

    /// Returns the milliseconds per prompt token, relative to the slowness, and per step, as far as enough was observed
    /// at this endpoint.
    pub(crate) fn known(&self) -> (Option<f64>, Option<f64>) {
        let step_ms = self.capacity.step_ms;
        (
            self.read.known(step_ms, READ_WEIGHTS),
            self.step.known(0.0, STEP_WEIGHTS),
        )
    }

    /// Returns whether enough was observed at this endpoint to tell it from others.
    pub(crate) fn is_known(&self) -> bool {
        self.known() != (None, None)
    }

    /// Records the time to the first event of an answer before which `tokens` prompt tokens were read and `steps`
    /// steps taken.
    pub(crate) fn record_reading(&mut self, tokens: u32, steps: u32, taken: Duration) {
        let taken = match self.known() {
            (Some(_), _) => taken.min(self.expected_time(tokens, steps).mul_f64(MAX_SAMPLE_RATIO)),
            (None, _) => taken,
        };
        self.record_own(Observations {
            read_tokens: tokens,
            read_ms: whole_ms(taken),
            read_steps: steps,
            ..Observations::default()
        });
    }

    fn expected_time(&self, tokens: u32, steps: u32) -> Duration {
        let Capacity { read_ms, step_ms } = self.capacity;
        let ms = f64::from(tokens) * read_ms + f64::from(steps) * step_ms;
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Records observations of this instance.
    pub(crate) fn record_own(&mut self, observed: Observations) {
        self.pending = self.pending + observed;
        self.record(observed);
    }

    /// Records observations of this instance or of another one.
    pub(crate) fn record(&mut self, observed: Observations) {
        self.step.record(observed.steps());
        self.update();
        self.read.record(Sums {
            units: f64::from(observed.read_tokens) * slowness(self.capacity),
            ..observed.reads()
        });
        self.update();
    }

    /// Records the speed that the placer sent.
    pub(crate) fn record_told(&mut self, told: Capacity) {
        let read_ms = told.read_ms / slowness(told);
        self.read.set_told(read_ms, READ_WEIGHTS);
        self.step.set_told(told.step_ms, STEP_WEIGHTS);
        self.update();
    }

    /// Reduces the weight of earlier observations. `prior` is the speed of the service's other endpoints.
    pub(crate) fn tick(&mut self, elapsed: Duration, prior: Capacity) {
        self.prior = prior;
        self.read.decay(elapsed);
        self.step.decay(elapsed);
        self.pending_age += elapsed;
        if self.pending.is_empty() {
            self.pending_age = Duration::ZERO;
        } else if self.pending_age > MAX_PENDING_AGE {
            self.take_pending();
        }
        if let Some((_, age)) = &mut self.sent {
            *age += elapsed;
        }
        self.update();
    }

    /// Returns the observations that the placer has not been sent.
    pub(crate) fn pending(&self) -> Observations {
        self.pending
    }

    /// Removes and returns the observations that the placer has not been sent.
    pub(crate) fn take_pending(&mut self) -> Observations {
        self.pending_age = Duration::ZERO;
        std::mem::take(&mut self.pending)
    }

    /// Returns how much the estimate differs from the figure that was sent last, as a ratio of 1 or more; `None` if
    /// that is not worth a message.
    pub(crate) fn change(&self) -> Option<f64> {
        let Some((figure, _)) = &self.sent else {
            return Some(f64::INFINITY);
        };
        let sent = figure.capacity();
        let ratios = [
            ratio(self.capacity.read_ms, sent.read_ms),
            ratio(self.capacity.step_ms, sent.step_ms),
        ];
        let change = ratios.into_iter().fold(1.0, f64::max);
        (change >= MIN_CHANGE).then_some(change)
    }

    /// Returns how long ago a figure was sent; `None` if none was.
    pub(crate) fn sent_age(&self) -> Option<Duration> {
        self.sent.map(|(_, age)| age)
    }

    /// Returns the figure to send now.
    pub(crate) fn send_figure(&mut self) -> Figure {
        let figure = Figure::new(self.key, self.capacity);
        self.sent = Some((figure, Duration::ZERO));
        figure
    }

    fn update(&mut self) {
        let step_ms = self.step.estimate(self.prior.step_ms, 0.0, STEP_WEIGHTS);
        self.capacity.step_ms = step_ms;
        let prior = self.prior.read_ms / slowness(self.prior);
        let relative_ms = self.read.estimate(prior, step_ms, READ_WEIGHTS);
        self.capacity.read_ms = relative_ms * slowness(self.capacity);
    }
}

/// Returns how much longer a step takes than is assumed at first.
pub(crate) fn slowness(capacity: Capacity) -> f64 {
    capacity.step_ms / INITIAL.step_ms
}

fn ratio(a: f64, b: f64) -> f64 {
    (a / b).max(b / a)
}
