//! Structured logging.
//!
//! Every log line about a request contains its ID. Prompts, keys and tokens are never logged.

use std::sync::Arc;

use anyhow::{Context, Result};
use ploverwick_settings::Logging;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Installs the default logger, which writes to standard error.
///
/// # Errors
/// Returns an error if standard error cannot be opened or the logger cannot be built.
pub fn set_up(logging: &Logging) -> Result<()> {
    let formatter: Box<dyn Formatter> = match logging.format.as_str() {
        "json" => Box::new(JsonFormatter::new()),
        _ => Box::new(FullFormatter::new()),
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .build()
        .context("failed to open standard error for logging")?;
    sink.set_formatter(formatter);
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(&logging.level))
        .build()
        .context("failed to build the logger")?;
    // Every line is flushed at once.
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn filter(level: &str) -> LevelFilter {
    let level = match level {
        "error" => Level::Error,
        "warn" => Level::Warn,
        "debug" => Level::Debug,
        _ => Level::Info,
    };
    LevelFilter::MoreSevereEqual(level)
}

/// Logs the start and the end of an outage of a service, instead of every failed attempt.
#[derive(Debug)]
pub(crate) struct Outage {
    what: &'static str,
    lasting: bool,
}

impl Outage {
    /// Creates a tracker for the service `what`, which is assumed to be available.
    pub(crate) fn of(what: &'static str) -> Self {
        Self {
            what,
            lasting: false,
        }
    }

    /// Records a response, and logs the end of an outage.
    pub(crate) fn answered(&mut self) {
        if std::mem::take(&mut self.lasting) {
            spdlog::info!("{} answers again", self.what);
        }
    }

    /// Records a failed attempt, and logs the start of an outage.
    pub(crate) fn failed(&mut self, cause: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.lasting, true) {
            spdlog::warn!("{} does not answer: {}", self.what, cause);
        }
    }
}
