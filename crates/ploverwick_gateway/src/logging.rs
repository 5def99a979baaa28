//! Structured logs on the standard output.
//!
//! One line for each decision, as `event key=value ..`. Lines are written by a thread of their own
//! through a bounded queue, and a full queue drops lines, so that logging never blocks a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use anyhow::{Context, Result};
use ploverwick_names::Moment;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// Lines that wait to be written.
const QUEUE: usize = 4_096;
/// Lines about single requests a second; a burst writes no more, and the rest is counted.
const LINES_PER_S: u32 = 120;

/// Makes the default logger, which writes to the standard output.
///
/// # Errors
/// Fails if the stream cannot be written to.
pub fn set_up() -> Result<()> {
    let stream = StdStreamSink::builder().stdout().build();
    let stream = stream.context("open the log stream")?;
    let pool = ThreadPool::builder()
        .capacity(QUEUE.try_into().context("the queue has room")?)
        .build()
        .context("start the log's thread")?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stream))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .context("make the log's queue")?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::All)
        .build()
        .context("make the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Bounds the lines about single requests.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    second: AtomicU64,
    written: AtomicU32,
    dropped: AtomicU32,
}

impl LogLimiter {
    /// Returns whether another line may be written now.
    pub(crate) fn allow(&self, now: Moment) -> bool {
        let second = now.0 / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                spdlog::warn!("lines_dropped count={}", dropped);
            }
        }
        let is_allowed = self.written.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        is_allowed
    }
}

/// Logs the start and the end of a time in which something fails, not every try.
#[derive(Debug)]
pub(crate) struct Outage {
    what: &'static str,
    lasting: bool,
}

impl Outage {
    pub(crate) fn new(what: &'static str) -> Self {
        Self {
            what,
            lasting: false,
        }
    }

    /// Says that it works; returns whether it failed before.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_lasting = std::mem::take(&mut self.lasting);
        if was_lasting {
            spdlog::info!("dependency_back what={}", self.what);
        }
        was_lasting
    }

    pub(crate) fn record_failure(&mut self, cause: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.lasting, true) {
            spdlog::warn!("dependency_lost what={} cause=\"{}\"", self.what, cause);
        }
    }
}
