//! The process: opens its sockets, starts its tasks and shuts down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use ploverwick_platform::settings::{self, Settings};
use ploverwick_shutdown::{Policy, Shutdown};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;

use crate::controllers::{
    brittleness, build_registry, endpoint_list, freshness, instances, operator, orders, origins,
    placer_lease, quarantine, quotas, reachability, table,
};
use crate::front::{self, OpenConnections};
use crate::messages::PeerSocket;
use crate::shared::Shared;
use crate::{broadcast, listen, ready, relay, snapshots};

/// How often a process that shuts down checks whether its connections are closed.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often expired connections to endpoints and expired quarantine entries are removed, and gauges updated.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon whose sockets are open.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    front: TcpListener,
    ready: TcpListener,
    /// The listener for snapshot requests of peers that start.
    snapshots: Option<TcpListener>,
    /// The listener for connections that are relayed for peers.
    relay: Option<TcpListener>,
}

impl Daemon {
    /// Opens the sockets. For port 0, the system chooses a port.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn open(settings: Settings) -> Result<Self> {
        let front = bind(settings.front, "front").await?;
        let ready = bind(settings.ready, "ready").await?;
        let peer_address = (settings.ip, settings.peer_port).into();
        let peer_socket = PeerSocket::open(peer_address)
            .await
            .context("open the peer socket")?;
        // Without this socket, peers that start read from the store instead.
        let snapshots = bind((settings.ip, settings.peer_port).into(), "handover").await;
        let snapshots =
            snapshots.map_err(|error| spdlog::warn!("no_handover cause=\"{:#}\"", error));
        // Without this socket, this instance does not relay for others.
        let relay = match settings.relay_port {
            Some(port) => bind((settings.ip, port).into(), "relay")
                .await
                .map_err(|error| spdlog::warn!("no_relay cause=\"{:#}\"", error))
                .ok(),
            None => None,
        };
        spdlog::info!(
            "start instance={} domain={} front={} first_start={}",
            settings.instance,
            settings.domain,
            settings.front,
            settings.first_start
        );
        Ok(Self {
            shared: Arc::new(Shared::new(settings, peer_socket)),
            front,
            ready,
            snapshots: snapshots.ok(),
            relay,
        })
    }

    /// Returns the address on which clients connect.
    ///
    /// # Errors
    /// Fails if the address of the socket cannot be determined.
    pub fn front(&self) -> std::io::Result<SocketAddr> {
        self.front.local_addr()
    }

    /// Returns the address that the platform probes for readiness.
    ///
    /// # Errors
    /// Fails if the address of the socket cannot be determined.
    pub fn ready(&self) -> std::io::Result<SocketAddr> {
        self.ready.local_addr()
    }

    /// Serves until `stop` completes, then shuts down gracefully.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let shared = self.shared;
        let open = Arc::new(OpenConnections::new(&shared.settings));
        let mut tasks = JoinSet::new();
        tasks.spawn(operator::follow(Arc::clone(&shared)));
        tasks.spawn(endpoint_list::follow(Arc::clone(&shared)));
        tasks.spawn(instances::follow(Arc::clone(&shared)));
        tasks.spawn(table::follow(Arc::clone(&shared)));
        tasks.spawn(quarantine::follow(Arc::clone(&shared)));
        tasks.spawn(freshness::run(Arc::clone(&shared)));
        tasks.spawn(quotas::run(Arc::clone(&shared)));
        tasks.spawn(join(Arc::clone(&shared)));
        tasks.spawn(orders::run(Arc::clone(&shared)));
        tasks.spawn(origins::run(Arc::clone(&shared)));
        tasks.spawn(build_registry::run(Arc::clone(&shared)));
        tasks.spawn(broadcast::run(Arc::clone(&shared)));
        tasks.spawn(broadcast::run_outbox(Arc::clone(&shared)));
        tasks.spawn(broadcast::quarantine::run(Arc::clone(&shared)));
        tasks.spawn(listen::run(Arc::clone(&shared)));
        tasks.spawn(brittleness::learn(Arc::clone(&shared)));
        if let Some(snapshots) = self.snapshots {
            tasks.spawn(snapshots::serve(Arc::clone(&shared), snapshots));
        }
        if let Some(relay) = self.relay {
            tasks.spawn(relay::server::serve(Arc::clone(&shared), relay));
        }
        tasks.spawn(reachability::run(Arc::clone(&shared)));
        tasks.spawn(ready::serve(Arc::clone(&shared), self.ready));
        tasks.spawn(sweep(Arc::clone(&shared)));
        let front = front::serve(Arc::clone(&shared), self.front, Arc::clone(&open));
        tasks.spawn(front);
        stop.await;
        shut_down(&shared, &open).await;
    }
}

/// Runs the daemon until it receives a signal to stop.
///
/// # Errors
/// Fails if a socket cannot be opened or a signal handler cannot be installed.
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

/// Shuts down: takes requests until the platform has noticed, then waits for those in progress.
async fn shut_down(shared: &Arc<Shared>, open: &OpenConnections) {
    let requested_at = shared.now();
    let policy = Policy {
        grace: shared.settings.grace,
        lease: shared.settings.lease,
    };
    let shutdown = Shutdown::new(policy, requested_at);
    spdlog::info!("stop_asked open={}", open.count());
    shared.shutdown.send_replace(Some(shutdown));
    let departed = tokio::spawn(depart(Arc::clone(shared), shutdown));
    loop {
        tokio::time::sleep(STOP_CHECK_INTERVAL).await;
        let now = shared.now();
        let in_use = open.count() + shared.relayed_connections.count();
        let is_idle = departed.is_finished() && in_use == 0;
        if is_idle || now >= shutdown.deadline() {
            let elapsed = now.since(requested_at);
            spdlog::info!("stop open={} after={:?}", open.count(), elapsed);
            return;
        }
    }
}

/// Leaves the list of instances in time.
async fn depart(shared: Arc<Shared>, shutdown: Shutdown) {
    let departure = shared.clock.instant(shutdown.departure());
    tokio::time::sleep_until(departure).await;
    instances::deregister(&shared).await;
}

/// Adds this instance to the list of instances and joins its placer group, after reading what earlier processes stored there.
async fn join(shared: Arc<Shared>) {
    let token = if shared.settings.first_start {
        None
    } else {
        instances::read_earlier_records(&shared).await
    };
    instances::register(Arc::clone(&shared), token).await;
    placer_lease::run(shared).await;
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.pool.remove_expired();
        shared.relayed_pool.remove_expired();
        reachability::update_gauges(&shared);
        quarantine::remove_expired(&shared);
        origins::remove_expired(&shared);
    }
}

/// Rereads and validates the settings when the platform signals that they changed. The settings in use stay,
/// because the sockets are open already; a changed limit takes effect at the next start.
async fn reload(mut hangup: Signal, in_use: Settings) {
    while hangup.recv().await.is_some() {
        match settings::read() {
            Ok(settings) => spdlog::info!("reload same={}", settings == in_use),
            Err(error) => spdlog::error!("reload_failed cause=\"{}\"", error),
        }
    }
}
