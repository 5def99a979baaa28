//! The process: opens its sockets, starts its tasks, and stops without cutting anybody off.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use ploverwick_platform::settings::{self, Settings};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::controllers::{instances, operator, orders, roster, tenure};
use crate::front::{self, Open};
use crate::peers::{self, Mail};
use crate::shared::Shared;
use crate::{filters, ready};

/// The time between the end of the process and the platform's kill.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// The least time that a stopping process takes: new connections come until the platform has seen
/// that it is not ready.
const LEAST_STOP: Duration = Duration::from_millis(2_700);
/// How often a stopping process looks whether its connections are closed.
const LOOK: Duration = Duration::from_millis(50);
/// How often idle connections to endpoints are swept.
const SWEEP: Duration = Duration::from_secs(1);

/// Runs the daemon until it is asked to stop.
///
/// # Errors
/// Fails if a socket cannot be opened.
pub async fn run(settings: Settings) -> Result<()> {
    let front = listen(settings.front, "front").await?;
    let ready = listen(settings.ready, "ready").await?;
    let mail = (settings.ip, settings.peer_port).into();
    let mail = Mail::open(mail).await.context("open the peers' socket")?;
    spdlog::info!(
        "start instance={} domain={} front={} first_start={}",
        settings.instance,
        settings.domain,
        settings.front,
        settings.first_start
    );
    let shared = Arc::new(Shared::new(settings, mail));
    let open = Arc::new(Open::default());
    tokio::spawn(operator::follow(Arc::clone(&shared)));
    tokio::spawn(roster::follow(Arc::clone(&shared)));
    tokio::spawn(instances::enlist(Arc::clone(&shared)));
    tokio::spawn(instances::follow(Arc::clone(&shared)));
    let tenure = tokio::spawn(tenure::keep(Arc::clone(&shared)));
    tokio::spawn(orders::keep(Arc::clone(&shared)));
    tokio::spawn(peers::tell(Arc::clone(&shared)));
    tokio::spawn(peers::listen(Arc::clone(&shared)));
    tokio::spawn(filters::watch(Arc::clone(&shared)));
    tokio::spawn(ready::serve(Arc::clone(&shared), ready));
    let serving = front::serve(Arc::clone(&shared), front, Arc::clone(&open));
    let serving = tokio::spawn(serving);
    tokio::spawn(sweep(Arc::clone(&shared)));
    tokio::spawn(reload(Arc::clone(&shared)));

    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop(&shared, &open).await;
    serving.abort();
    tenure.abort();
    Ok(())
}

async fn listen(address: std::net::SocketAddr, what: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.with_context(|| format!("listen for {what} on {address}"))
}

/// Stops: takes no new work once the platform knows, and waits for what is under way.
async fn stop(shared: &Arc<Shared>, open: &Open) {
    let asked = shared.now();
    spdlog::info!("stop_asked open={}", open.count());
    shared.stopping.send_replace(true);
    let latest = shared.settings.grace.saturating_sub(BEFORE_KILL);
    instances::retire(shared).await;
    loop {
        tokio::time::sleep(LOOK).await;
        let taken = shared.now().since(asked);
        let is_done = taken >= LEAST_STOP && open.count() == 0;
        if is_done || taken >= latest {
            spdlog::info!("stop open={} after={:?}", open.count(), taken);
            return;
        }
    }
}

async fn sweep(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        shared.pool.sweep();
    }
}

/// Reads the settings again when the platform says that they changed. What is in use stays: the
/// sockets are open, and a changed bound takes effect with the next start.
async fn reload(shared: Arc<Shared>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            spdlog::error!("no_reload cause=\"{}\"", error);
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match settings::read() {
            Ok(settings) => {
                let is_same = settings == shared.settings;
                spdlog::info!("reload same={}", is_same);
            }
            Err(error) => spdlog::error!("reload_failed cause=\"{}\"", error),
        }
    }
}
