//! The steady clock of the process.

use std::time::Instant;

use ploverwick_names::Moment;

/// Counts milliseconds since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock(Instant);

impl Clock {
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    pub(crate) fn now(self) -> Moment {
        let ms = self.0.elapsed().as_millis();
        Moment(u64::try_from(ms).expect("a process runs for less than 2^64 ms"))
    }

    /// Returns the instant of a moment, to sleep until it.
    pub(crate) fn instant(self, moment: Moment) -> tokio::time::Instant {
        let instant = self.0 + moment.since(Moment(0));
        tokio::time::Instant::from_std(instant)
    }
}
