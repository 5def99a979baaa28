//! Passive health checks of endpoints, based on the outcomes of requests.
//!
//! A failing endpoint is ejected for a while, longer each time, and is readmitted after one successful trial
//! request.

use std::time::Duration;

use ploverwick_names::Moment;

/// The outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered successfully.
    Success,
    /// The endpoint answered with an error of its own.
    Error,
    /// The endpoint reported that it has not executed the request.
    Refused,
    /// The connection failed, broke, or returned an invalid answer.
    Broken,
    /// The caller disconnected; this does not affect the health of the endpoint.
    Abandoned,
}

impl Outcome {
    /// Returns the outcome's name, as used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Success => "success",
            Self::Error => "error",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}

/// Consecutive broken requests after which an endpoint is ejected. Two may be a coincidence.
const MAX_BROKEN_STREAK: u32 = 3;
/// The ratio of failures among recent outcomes above which an endpoint is ejected.
const MAX_FAILED_RATIO: f64 = 0.4;
/// The weighted number of recent outcomes below which the failure ratio is not significant.
const MIN_OUTCOME_WEIGHT: f64 = 8.0;
/// The factor by which each new outcome reduces the weight of earlier ones. About twenty outcomes count.
const OUTCOME_DECAY: f64 = 0.95;
/// The weight of an endpoint's own error, since healthy services answer some requests with errors.
const ERROR_WEIGHT: f64 = 0.6;
/// The duration of the first ejection. It is short because most faults pass within seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(700);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// How long an endpoint counts as full after it refused a request at capacity.
const REFUSAL_TTL: Duration = Duration::from_millis(60);
/// The weight of a new sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;

/// The health of an endpoint, as observed by one instance.
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
    /// Records the outcome of a request. Returns whether the endpoint is ejected because of it.
    pub fn record(&mut self, outcome: Outcome, now: Moment) -> bool {
        let failed = match outcome {
            Outcome::Success => 0.0,
            Outcome::Error => ERROR_WEIGHT,
            Outcome::Broken => 1.0,
            Outcome::Refused => {
                self.full_until = Some(now + REFUSAL_TTL);
                ERROR_WEIGHT
            }
            Outcome::Abandoned => {
                self.on_trial = false;
                return false;
            }
        };
        self.total = self.total * OUTCOME_DECAY + 1.0;
        self.failed = self.failed * OUTCOME_DECAY + failed;
        if outcome == Outcome::Success {
            self.streak = 0;
            if self.on_trial {
                self.readmit();
            }
            return false;
        }
        self.streak += u32::from(outcome == Outcome::Broken);
        let is_unhealthy = self.streak >= MAX_BROKEN_STREAK
            || (self.total >= MIN_OUTCOME_WEIGHT && self.failed / self.total > MAX_FAILED_RATIO);
        let is_ejected = is_unhealthy || self.on_trial;
        if is_ejected {
            self.eject(now);
        }
        is_ejected
    }

    /// Records the time to the first byte of an answer.
    pub fn record_latency(&mut self, taken: Duration) {
        let ms = taken.as_secs_f64() * 1_000.0;
        let average = self.latency_ms.unwrap_or(ms);
        self.latency_ms = Some(average + LATENCY_WEIGHT * (ms - average));
    }

    /// Returns the moving average of the time to the first byte, in milliseconds.
    pub fn latency_ms(&self) -> Option<f64> {
        self.latency_ms
    }

    /// Returns whether the endpoint is ejected or its trial request is already in progress.
    pub fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.on_trial)
    }

    /// Returns whether the endpoint recently refused a request because it was at capacity.
    pub fn is_full(&self, now: Moment) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Records that a request was sent. The first request after an ejection is the trial.
    pub fn record_sent(&mut self) {
        if self.ejected_until.is_some() {
            self.on_trial = true;
        }
    }

    fn eject(&mut self, now: Moment) {
        let duration = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections);
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
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

    /// Forgets all failures, which were not the endpoint's.
    pub(crate) fn forget_failures(&mut self) {
        *self = Self {
            latency_ms: self.latency_ms,
            ..Self::default()
        };
    }
}
