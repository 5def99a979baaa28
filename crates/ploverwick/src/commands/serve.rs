//! `ploverwick serve`.

use std::path::Path;

use anyhow::{Context, Result};
use ploverwick_daemon::{Daemon, logging};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{Answer, output, place};

/// Runs a daemon until it is told to stop, then lets it leave. A second signal ends it at once.
pub(crate) async fn run(file: &Path) -> Answer {
    let settings = place::settings(file)?;
    logging::set_up(&settings.log)?;
    let mut signals = Signals::new()?;
    let daemon = Daemon::start(settings).await?;
    output::print(&format!(
        "callers {}\npeers {}\nadmin {}\n",
        daemon.callers(),
        daemon.peers(),
        daemon.admin()
    ));
    signals.next().await;
    tokio::select! {
        () = daemon.drain() => Ok(true),
        () = signals.next() => {
            spdlog::warn!("told to stop again: requests are cut off");
            Ok(false)
        }
    }
}

/// The signals that tell a daemon to stop.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self> {
        let on = |kind| signal(kind).context("listen for signals");
        Ok(Self {
            terminate: on(SignalKind::terminate())?,
            interrupt: on(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
