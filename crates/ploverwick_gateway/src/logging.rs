//! Structured logs on the standard output.
//!
//! Each decision is logged as one line, `event key=value ..`. A separate thread writes the lines from a bounded
//! queue. New lines are dropped while the queue is full, so that logging never blocks a request.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use anyhow::{Context, Result};
use ploverwick_names::Moment;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

use crate::metrics;

/// The maximum number of lines that wait to be written.
const QUEUE_LINES: usize = 4_096;
/// The maximum number of lines per second about single requests. Lines beyond it are dropped and counted.
const MAX_REQUEST_LINES_PER_S: u32 = 120;
/// The same for lines on what proves that requests have not run.
const MAX_EVIDENCE_LINES_PER_S: u32 = 240;

/// Installs the default logger, which writes to the standard output.
///
/// # Errors
/// Fails if the logger cannot be built.
pub fn set_up() -> Result<()> {
    let stream = StdStreamSink::builder().stdout().build();
    let stream = stream.context("open the log stream")?;
    let pool = ThreadPool::builder()
        .capacity(
            QUEUE_LINES
                .try_into()
                .context("the queue capacity must not be zero")?,
        )
        .build()
        .context("start the log thread")?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(stream))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build()
        .context("build the log queue")?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::All)
        .build()
        .context("build the logger")?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Limits the rate of log lines of one kind.
#[derive(Debug)]
pub(crate) struct LogLimiter {
    kind: &'static str,
    max_per_s: u32,
    second: AtomicU64,
    written: AtomicU32,
    dropped: AtomicU32,
}

impl LogLimiter {
    /// Creates a limiter of lines about single requests.
    pub(crate) fn of_requests() -> Self {
        Self::new("request", MAX_REQUEST_LINES_PER_S)
    }

    /// Creates a limiter of lines on what proves that requests have not run.
    pub(crate) fn of_evidence() -> Self {
        Self::new("evidence", MAX_EVIDENCE_LINES_PER_S)
    }

    fn new(kind: &'static str, max_per_s: u32) -> Self {
        Self {
            kind,
            max_per_s,
            second: AtomicU64::new(0),
            written: AtomicU32::new(0),
            dropped: AtomicU32::new(0),
        }
    }

    /// Returns whether another line may be written now, and counts it.
    pub(crate) fn allow(&self, now: Moment) -> bool {
        let second = now.0 / 1_000;
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                spdlog::warn!("lines_dropped kind={} count={}", self.kind, dropped);
            }
        }
        let is_allowed = self.written.fetch_add(1, Ordering::Relaxed) < self.max_per_s;
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::dropped_line(self.kind);
        }
        is_allowed
    }
}

/// Logs the start and the end of an outage of a dependency, instead of every failed call.
#[derive(Debug)]
pub(crate) struct Outage {
    dependency: &'static str,
    is_ongoing: bool,
}

impl Outage {
    pub(crate) fn new(dependency: &'static str) -> Self {
        Self {
            dependency,
            is_ongoing: false,
        }
    }

    /// Records a successful call; returns whether it ends an outage.
    pub(crate) fn record_success(&mut self) -> bool {
        let was_ongoing = std::mem::take(&mut self.is_ongoing);
        if was_ongoing {
            spdlog::info!("dependency_back what={}", self.dependency);
        }
        was_ongoing
    }

    pub(crate) fn record_failure(&mut self, cause: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.is_ongoing, true) {
            spdlog::warn!(
                "dependency_lost what={} cause=\"{}\"",
                self.dependency,
                cause
            );
        }
    }
}
