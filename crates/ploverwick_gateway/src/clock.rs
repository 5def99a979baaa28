//! The clock of the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ploverwick_names::Moment;
use rustix::time::{ClockId, clock_gettime};

/// Shorter suspensions are passed over.
const LEAST: Duration = Duration::from_millis(20);

/// Counts milliseconds since the process started, with those for which its machine was suspended.
///
/// The steady clock of the system stands still while the machine is suspended. Rights, ages and windows of
/// others do not, so that by it this process would believe its own to be younger than they are.
#[derive(Debug, Clone)]
pub struct Clock {
    start: Instant,
    /// What the clock that counts suspensions showed at the start.
    first: Duration,
    counting: fn() -> Duration,
    /// The milliseconds for which the machine was suspended since.
    suspended_ms: Arc<AtomicU64>,
}

impl Clock {
    /// Starts to count.
    pub fn start() -> Self {
        Self::with_boot_clock(boot_time)
    }

    /// Starts to count beside a clock that counts suspensions.
    pub fn with_boot_clock(counting: fn() -> Duration) -> Self {
        Self {
            start: Instant::now(),
            first: counting(),
            counting,
            suspended_ms: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        let counted = (self.counting)().saturating_sub(self.first);
        // Read after the other clock, so that a pause between the two is not taken for a suspension.
        let steady = self.start.elapsed();
        self.notice(counted.saturating_sub(steady));
        Moment(millis(steady) + self.suspended_ms.load(Ordering::Relaxed))
    }

    /// Returns the instant of a moment, to sleep until it.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        let since = moment.since(Moment(0)).saturating_sub(suspended);
        tokio::time::Instant::from_std(self.start + since)
    }

    fn notice(&self, suspended: Duration) {
        let before = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        if suspended >= before + LEAST {
            self.suspended_ms
                .fetch_max(millis(suspended), Ordering::Relaxed);
            let ms = suspended.saturating_sub(before).as_millis();
            spdlog::info!("machine_suspended ms={}", ms);
        }
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // It counts from the machine's start and is never negative.
    Duration::try_from(time).unwrap_or_default()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a process runs for less than 2^64 ms")
}
