//! What the outcomes of requests say of an endpoint's health.
//!
//! Health is learned from the requests themselves. An endpoint that fails is left out for a while,
//! longer each time, and comes back by one trial request.

use std::time::Duration;

use ploverwick_names::Moment;

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with success.
    Success,
    /// It was answered with the endpoint's own error.
    Error,
    /// The endpoint said that it has not run it.
    Refused,
    /// The connection could not be made, broke, or brought bytes that are no answer.
    Broken,
    /// The caller left; this says nothing of the endpoint.
    Abandoned,
}

/// Failures in a row after which an endpoint is left out: two may be chance.
const STREAK: u32 = 3;
/// Share of recent outcomes that failed above which an endpoint is left out.
const FAILED_SHARE: f64 = 0.4;
/// Recent outcomes, by weight, below which the share says nothing.
const FEWEST: f64 = 8.0;
/// Weight that an outcome keeps with each later one: about twenty count.
const DECAY: f64 = 0.95;
/// Weight of an endpoint's own error: services answer some requests so when in good health.
const ERROR_WEIGHT: f64 = 0.6;
/// The first time that an endpoint is left out; short, as most faults pass within seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(700);
/// The longest time that an endpoint is left out.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// How long a refusal for want of room counts against an endpoint.
const FULL: Duration = Duration::from_millis(60);
/// Weight of a new latency in its moving average.
const LATENCY_WEIGHT: f64 = 0.2;

/// The health of one endpoint as one instance sees it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    streak: u32,
    failed: f64,
    total: f64,
    ejections: u32,
    ejected_until: Option<Moment>,
    on_trial: bool,
    full_until: Option<Moment>,
    latency_ms: Option<f64>,
}

impl Health {
    /// Takes in how a request ended.
    pub fn record(&mut self, outcome: Outcome, now: Moment) {
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Error => ERROR_WEIGHT,
            Outcome::Broken => 1.0,
            Outcome::Refused => {
                self.full_until = Some(now + FULL);
                ERROR_WEIGHT
            }
            Outcome::Abandoned => {
                self.on_trial = false;
                return;
            }
        };
        self.total = self.total * DECAY + 1.0;
        self.failed = self.failed * DECAY + failed;
        if outcome == Outcome::Success {
            self.streak = 0;
            if self.on_trial {
                self.readmit();
            }
            return;
        }
        self.streak += u32::from(outcome == Outcome::Broken);
        let is_sick = self.streak >= STREAK
            || (self.total >= FEWEST && self.failed / self.total > FAILED_SHARE);
        if is_sick || (self.on_trial && outcome == Outcome::Broken) {
            self.eject(now);
        }
    }

    /// Takes in how long the first byte of an answer took.
    pub fn latency(&mut self, taken: Duration) {
        let ms = taken.as_secs_f64() * 1_000.0;
        let average = self.latency_ms.unwrap_or(ms);
        self.latency_ms = Some(average + LATENCY_WEIGHT * (ms - average));
    }

    /// Returns the moving average of latencies in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Returns whether the endpoint is left out now, or has its one trial request already.
    pub fn is_out(&self, now: Moment) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.on_trial)
    }

    /// Returns whether it refused a request for want of room a moment ago.
    pub fn is_full(&self, now: Moment) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Says that a request was sent; after an ejection it is the trial.
    pub fn sent(&mut self) {
        if self.ejected_until.is_some() {
            self.on_trial = true;
        }
    }

    fn eject(&mut self, now: Moment) {
        let span = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejected_until = Some(now + span.min(LONGEST_EJECTION));
        self.ejections = (self.ejections + 1).min(4);
        self.on_trial = false;
        self.streak = 0;
        self.failed = 0.0;
        self.total = 0.0;
    }

    fn readmit(&mut self) {
        self.on_trial = false;
        self.ejected_until = None;
        self.ejections = self.ejections.saturating_sub(1);
    }
}
