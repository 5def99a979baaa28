//! The process: opens its sockets, starts its tasks, and stops without cutting anybody off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use ploverwick_platform::settings::{self, Settings};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

use crate::controllers::{
    freshness, instances, operator, orders, placer_lease, quarantine, quotas, roster, table,
};
use crate::front::{self, Open};
use crate::mail::Mail;
use crate::shared::Shared;
use crate::{broadcast, handover, listen, ready};

/// The time between the end of the process and the platform's kill.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// The least time that a stopping process takes: new connections come until the platform has seen
/// that it is not ready.
const LEAST_STOP: Duration = Duration::from_millis(2_700);
/// How often a stopping process looks whether its connections are closed.
const LOOK: Duration = Duration::from_millis(50);
/// How often idle connections to endpoints are swept.
const SWEEP: Duration = Duration::from_secs(1);

/// A daemon with its sockets open.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    front: TcpListener,
    ready: TcpListener,
    /// Where peers that start ask.
    handover: Option<TcpListener>,
}

impl Daemon {
    /// Opens the sockets; a port of 0 lets the system choose.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn open(settings: Settings) -> Result<Self> {
        let front = bind(settings.front, "front").await?;
        let ready = bind(settings.ready, "ready").await?;
        let mail = (settings.ip, settings.peer_port).into();
        let mail = Mail::open(mail).await.context("open the peers' socket")?;
        // Peers that start read from the store if they cannot ask here.
        let handover = bind((settings.ip, settings.peer_port).into(), "handover").await;
        let handover = handover.map_err(|error| spdlog::warn!("no_handover cause=\"{:#}\"", error));
        spdlog::info!(
            "start instance={} domain={} front={} first_start={}",
            settings.instance,
            settings.domain,
            settings.front,
            settings.first_start
        );
        Ok(Self {
            shared: Arc::new(Shared::new(settings, mail)),
            front,
            ready,
            handover: handover.ok(),
        })
    }

    /// Returns where clients connect.
    ///
    /// # Errors
    /// Fails if the socket does not tell.
    pub fn front(&self) -> std::io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Returns where the platform asks for readiness.
    ///
    /// # Errors
    /// Fails if the socket does not tell.
    pub fn ready(&self) -> std::io::Result<SocketAddr> {
        self.ready.local_addr()
    }

    /// Serves until `stop` is done, then stops without cutting anybody off.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let shared = self.shared;
        let open = Arc::new(Open::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(operator::follow(Arc::clone(&shared)));
        tasks.spawn(roster::follow(Arc::clone(&shared)));
        tasks.spawn(instances::follow(Arc::clone(&shared)));
        tasks.spawn(table::follow(Arc::clone(&shared)));
        tasks.spawn(quarantine::follow(Arc::clone(&shared)));
        tasks.spawn(freshness::run(Arc::clone(&shared)));
        tasks.spawn(quotas::run(Arc::clone(&shared)));
        tasks.spawn(join(Arc::clone(&shared)));
        tasks.spawn(orders::run(Arc::clone(&shared)));
        tasks.spawn(broadcast::run(Arc::clone(&shared)));
        tasks.spawn(broadcast::run_outbox(Arc::clone(&shared)));
        tasks.spawn(broadcast::quarantine::run(Arc::clone(&shared)));
        tasks.spawn(listen::run(Arc::clone(&shared)));
        if let Some(handover) = self.handover {
            tasks.spawn(handover::serve(Arc::clone(&shared), handover));
        }
        tasks.spawn(ready::serve(Arc::clone(&shared), self.ready));
        tasks.spawn(sweep(Arc::clone(&shared)));
        let front = front::serve(Arc::clone(&shared), self.front, Arc::clone(&open));
        tasks.spawn(front);
        stop.await;
        leave(&shared, &open).await;
    }
}

/// Runs the daemon until it gets a signal to stop.
///
/// # Errors
/// Fails if a socket cannot be opened or signals cannot be had.
pub async fn run(settings: Settings) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    let hangup = signal(SignalKind::hangup()).context("listen for SIGHUP")?;
    tokio::spawn(reload(hangup, settings.clone()));
    let daemon = Daemon::open(settings).await?;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    daemon.serve(stop).await;
    Ok(())
}

async fn bind(address: SocketAddr, what: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("listen for {what} on {address}"))
}

/// Stops: takes no new work once the platform knows, and waits for what is under way.
async fn leave(shared: &Arc<Shared>, open: &Open) {
    let asked = shared.now();
    spdlog::info!("stop_asked open={}", open.count());
    shared.stopping.send_replace(true);
    // A later life may give orders at once, so that a turn must have passed since the last one.
    let least = LEAST_STOP.max(shared.settings.lease);
    let latest = shared.settings.grace.saturating_sub(BEFORE_KILL);
    let mut is_listed = true;
    loop {
        tokio::time::sleep(LOOK).await;
        let taken = shared.now().since(asked);
        if is_listed && taken >= least {
            instances::deregister(shared).await;
            is_listed = false;
        }
        let is_done = taken >= least && open.count() == 0;
        if is_done || taken >= latest {
            spdlog::info!("stop open={} after={:?}", open.count(), taken);
            return;
        }
    }
}

/// Lists this instance and joins its group, once what an earlier life wrote was read.
async fn join(shared: Arc<Shared>) {
    let token = if shared.keeps_token && !shared.settings.first_start {
        instances::load_previous_token(&shared).await
    } else {
        None
    };
    instances::register(Arc::clone(&shared), token).await;
    placer_lease::run(shared).await;
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        shared.pool.sweep();
        quarantine::remove_expired(&shared);
    }
}

/// Reads the settings again when the platform says that they changed. What is in use stays: the
/// sockets are open, and a changed bound takes effect with the next start.
async fn reload(mut hangup: Signal, in_use: Settings) {
    while hangup.recv().await.is_some() {
        match settings::read() {
            Ok(settings) => spdlog::info!("reload same={}", settings == in_use),
            Err(error) => spdlog::error!("reload_failed cause=\"{}\"", error),
        }
    }
}
