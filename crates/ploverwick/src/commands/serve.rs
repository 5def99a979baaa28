//! `ploverwick serve`.

use std::path::Path;

use anyhow::{Context, Result};
use ploverwick_daemon::{Daemon, logging};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{CommandResult, output, platform};

/// Runs a daemon until SIGTERM or SIGINT, then drains it. A second signal aborts the drain.
pub(crate) async fn run(file: &Path) -> CommandResult {
    let settings = platform::load_settings(file)?;
    logging::set_up(&settings.log)?;
    let mut signals = StopSignals::new()?;
    let daemon = Daemon::start(settings).await?;
    output::print(&format!(
        "callers {}\npeers {}\nadmin {}\n",
        daemon.callers(),
        daemon.peers(),
        daemon.admin()
    ));
    signals.wait().await;
    tokio::select! {
        () = daemon.drain() => Ok(true),
        () = signals.wait() => {
            spdlog::warn!("second stop signal: aborting requests in progress");
            Ok(false)
        }
    }
}

/// The signals that stop a daemon.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn new() -> Result<Self> {
        let listen = |kind| signal(kind).context("listen for signals");
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
