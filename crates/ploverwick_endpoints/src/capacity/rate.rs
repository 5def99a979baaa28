//! The time that a unit of work takes, from decaying sums of what was observed.

use std::time::Duration;

/// The time constant after which recent observations have lost most of their weight. An estimate follows a change
/// within a second or two.
const RECENT_DECAY: Duration = Duration::from_millis(1_200);
/// The same for lasting observations, to which an estimate returns when there are no recent ones.
const LASTING_DECAY: Duration = Duration::from_secs(8);
/// The same for a rate that the placer sent. It repeats each rate about once a minute in a large fleet.
const TOLD_DECAY: Duration = Duration::from_secs(40);

/// The part of the time that is never attributed to generation steps, whose own estimate may be too high.
const MIN_NET_RATIO: f64 = 0.1;

/// An amount of work and the time that it took.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Sums {
    pub(crate) units: f64,
    pub(crate) ms: f64,
    /// The generation steps that the time includes besides the work.
    pub(crate) steps: f64,
}

impl Sums {
    pub(crate) fn at_rate(units: f64, ms_per_unit: f64) -> Self {
        Self {
            units,
            ms: units * ms_per_unit,
            steps: 0.0,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            units: self.units + other.units,
            ms: self.ms + other.ms,
            steps: self.steps + other.steps,
        }
    }

    fn scaled(self, factor: f64) -> Self {
        Self {
            units: self.units * factor,
            ms: self.ms * factor,
            steps: self.steps * factor,
        }
    }

    /// Returns the time per unit without that of the steps, which take `step_ms` each.
    fn ms_per_unit(self, step_ms: f64) -> f64 {
        let net_ms = self.ms - self.steps * step_ms;
        net_ms.max(MIN_NET_RATIO * self.ms) / self.units
    }
}

/// How much work makes an estimate certain.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weights {
    /// The work that weighs as much as what is known of similar endpoints.
    pub(crate) prior: f64,
    /// The recent work that weighs as much as all lasting observations.
    pub(crate) lasting: f64,
    /// The weight of a rate that the placer sent.
    pub(crate) told: f64,
}

/// The observations of one kind of work at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Rate {
    recent: Sums,
    lasting: Sums,
    /// The rate that the placer sent, as a sum that weighs as much.
    told: Sums,
}

impl Rate {
    pub(crate) fn record(&mut self, observed: Sums) {
        self.recent = self.recent.plus(observed);
        self.lasting = self.lasting.plus(observed);
    }

    /// Replaces the rate that the placer sent. It includes the lasting observations of this instance.
    pub(crate) fn set_told(&mut self, ms_per_unit: f64, weights: Weights) {
        self.lasting = Sums::default();
        self.told = Sums::at_rate(weights.told, ms_per_unit);
    }

    /// Reduces the weight of all observations for the time since the last call.
    pub(crate) fn decay(&mut self, elapsed: Duration) {
        let factor = |decay: Duration| (-elapsed.as_secs_f64() / decay.as_secs_f64()).exp();
        self.recent = self.recent.scaled(factor(RECENT_DECAY));
        self.lasting = self.lasting.scaled(factor(LASTING_DECAY));
        self.told = self.told.scaled(factor(TOLD_DECAY));
    }

    /// Returns the rate of this endpoint alone; `None` until enough was observed. `step_ms` is the time of a
    /// generation step.
    pub(crate) fn known(&self, step_ms: f64, weights: Weights) -> Option<f64> {
        let all = self.lasting.plus(self.told);
        (all.units >= weights.prior).then(|| all.ms_per_unit(step_ms))
    }

    /// Returns the estimated rate in milliseconds per unit. `prior` is the rate of similar endpoints: recent
    /// observations outweigh lasting ones, and both outweigh the prior, each according to how many there are.
    pub(crate) fn estimate(&self, prior: f64, step_ms: f64, weights: Weights) -> f64 {
        let lasting = self.lasting.plus(self.told);
        let lasting = lasting.plus(Sums::at_rate(weights.prior, prior));
        let lasting = Sums::at_rate(weights.lasting, lasting.ms_per_unit(step_ms));
        self.recent.plus(lasting).ms_per_unit(step_ms)
    }
}
