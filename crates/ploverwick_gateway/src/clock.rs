//! A monotonic clock that includes the time for which the machine was suspended.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use ploverwick_names::Moment;
use rustix::time::{ClockId, clock_gettime};

/// The minimum duration of a suspension; shorter ones are ignored.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Counts milliseconds since the process started, including the time for which the machine was suspended.
///
/// The system's monotonic clock stops while the machine is suspended, but leases, ages and windows elsewhere
/// continue to run. With that clock alone, this process would underestimate the age of its own.
#[derive(Debug, Clone)]
pub struct Clock {
    start: Instant,
    /// The reading of `read_boot_time` at the start.
    boot_time_at_start: Duration,
    /// A clock that includes suspensions.
    read_boot_time: fn() -> Duration,
    /// The milliseconds for which the machine has been suspended since the start.
    suspended_ms: Arc<AtomicU64>,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self::with_boot_clock(boot_time)
    }

    /// Starts the clock with `read_boot_time`, a clock that includes suspensions.
    pub fn with_boot_clock(read_boot_time: fn() -> Duration) -> Self {
        Self {
            start: Instant::now(),
            boot_time_at_start: read_boot_time(),
            read_boot_time,
            suspended_ms: Arc::default(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        let counted = (self.read_boot_time)().saturating_sub(self.boot_time_at_start);
        // Read after the boot clock, so that a delay between the two reads does not look like a suspension.
        let steady = self.start.elapsed();
        self.record_suspension(counted.saturating_sub(steady));
        Moment(millis(steady) + self.suspended_ms.load(Ordering::Relaxed))
    }

    /// Converts a moment to an instant to sleep until.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let suspended = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        let since = moment.since(Moment(0)).saturating_sub(suspended);
        tokio::time::Instant::from_std(self.start + since)
    }

    fn record_suspension(&self, suspended: Duration) {
        let before = Duration::from_millis(self.suspended_ms.load(Ordering::Relaxed));
        if suspended >= before + MIN_SUSPENSION {
            self.suspended_ms
                .fetch_max(millis(suspended), Ordering::Relaxed);
            let ms = suspended.saturating_sub(before).as_millis();
            spdlog::info!("machine_suspended ms={}", ms);
        }
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The boot time counts from the start of the machine and is never negative.
    Duration::try_from(time).unwrap_or_default()
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("a process runs for less than 2^64 ms")
}
