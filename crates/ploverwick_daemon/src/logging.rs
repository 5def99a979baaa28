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
