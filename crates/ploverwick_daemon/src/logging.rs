//! Sets up structured logs.
//!
//! Every line of a request carries its identifier. Prompts, keys and tokens are never logged.

use std::sync::Arc;

use anyhow::{Context, Result};
use ploverwick_settings::Logging;
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{SinkPropAccess, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Makes the default logger, which writes to the standard error stream.
///
/// # Errors
/// Fails if the stream cannot be written to.
pub fn set_up(logging: &Logging) -> Result<()> {
    let formatter: Box<dyn Formatter> = match logging.format.as_str() {
        "json" => Box::new(JsonFormatter::new()),
        _ => Box::new(FullFormatter::new()),
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .build()
        .context("open the log stream")?;
    sink.set_formatter(formatter);
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(filter(&logging.level))
        .build()
        .context("make the logger")?;
    // Warnings matter at once; the rest may wait for the buffer.
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

/// Logs the start and the end of a time in which something does not answer, not every try.
#[derive(Debug)]
pub(crate) struct Outage {
    what: &'static str,
    lasting: bool,
}

impl Outage {
    /// Starts with an answer expected of `what`.
    pub(crate) fn of(what: &'static str) -> Self {
        Self {
            what,
            lasting: false,
        }
    }

    /// Says that there was an answer.
    pub(crate) fn answered(&mut self) {
        if std::mem::take(&mut self.lasting) {
            spdlog::info!("{} answers again", self.what);
        }
    }

    /// Says that there was none.
    pub(crate) fn failed(&mut self, cause: &dyn std::fmt::Display) {
        if !std::mem::replace(&mut self.lasting, true) {
            spdlog::warn!("{} does not answer: {}", self.what, cause);
        }
    }
}
