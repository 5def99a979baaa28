//! Startup and graceful shutdown of a daemon.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use ploverwick_limits::{PriorUse, RateLimiter};
use ploverwick_members::Controller as Members;
use ploverwick_names::{Incarnation, Life, Moment};
use ploverwick_owner::ownership::Controller as Ownership;
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_serve::{Bounds, Server, StopGuard, stop_channel};
use ploverwick_settings::Settings;
use ploverwick_table::history::History;
use ploverwick_timeline::clock::now_millis;
use ploverwick_timeline::{Event, Kind, Recorder};
use ploverwick_wire::PeerServer;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tonic::transport::server::TcpIncoming;

use crate::admin::{self, Admin};
use crate::budget::{LoadBudget, RetryBudget};
use crate::commands::EndpointTasks;
use crate::controllers::{members, owners, table};
use crate::entry::Entry;
use crate::lock::lock;
use crate::node::{CurrentTable, Node};
use crate::peer::Service;
use crate::peer_connections::PeerConnections;
use crate::response::ResponseCache;
use crate::scribes::Scribes;
use crate::status::OwnedEndpoint;

/// The maximum size of a message from another daemon.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// How often a draining daemon checks whether its endpoints have been handed over.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the handover of endpoints may take once no request is running.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// The error returned when a daemon cannot listen on one of its addresses.
#[derive(Debug)]
pub struct StartError {
    address: SocketAddr,
    cause: io::Error,
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "cannot listen on {}: {}; choose another address in [listen]",
            self.address, self.cause
        )
    }
}

impl std::error::Error for StartError {}

/// A running daemon. It stops when it is dropped or drained.
pub struct Daemon {
    node: Arc<Node>,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    entry: Server,
    stop_entry: StopGuard,
    _stop_admin: StopGuard,
    tasks: JoinSet<()>,
    _close_on_drop: CloseOnDrop,
}

/// Closes the channels of the endpoint and scribe tasks on drop, which ends these tasks. They are
/// not part of `Daemon::tasks`.
struct CloseOnDrop {
    node: Arc<Node>,
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.node.endpoint_tasks.retain(|_| false);
        self.node.scribes.close();
    }
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Returns an error if one of the addresses cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        admin::install_metrics();
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let admin = listen(settings.listen.admin).await?;
        let peer_address = local_address(&peers, settings.listen.peers)?;
        let node = Arc::new(create_node(settings, peer_address));
        let mut tasks = JoinSet::new();
        serve_peers(&node, peers, &mut tasks);
        let (stop_entry, stopped) = stop_channel();
        let bounds = Bounds {
            max_connections: node.settings.limits.connections,
            ..Bounds::default()
        };
        let entry = Arc::new(Entry {
            node: Arc::clone(&node),
        });
        let start_error = |address| move |cause| StartError { address, cause };
        let listen = node.settings.listen.clone();
        let entry =
            Server::start(callers, entry, bounds, stopped).map_err(start_error(listen.callers))?;
        let (stop_admin, stopped) = stop_channel();
        let handler = Arc::new(Admin {
            node: Arc::clone(&node),
        });
        let admin = Server::start(admin, handler, Bounds::default(), stopped)
            .map_err(start_error(listen.admin))?;
        tasks.spawn(table::follow(Arc::clone(&node)));
        tasks.spawn(table::append_snapshots(Arc::clone(&node)));
        tasks.spawn(members::poll_listing(Arc::clone(&node)));
        tasks.spawn(members::probe_members(Arc::clone(&node)));
        tasks.spawn(owners::follow(Arc::clone(&node)));
        tasks.spawn(owners::plan(Arc::clone(&node)));
        spdlog::info!("started", kv: { instance = node.life.instance.as_str() });
        Ok(Self {
            _close_on_drop: CloseOnDrop {
                node: Arc::clone(&node),
            },
            callers: entry.address(),
            peers: peer_address,
            admin: admin.address(),
            node,
            entry,
            stop_entry,
            _stop_admin: stop_admin,
            tasks,
        })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for other daemons.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Shuts down gracefully: reports not ready, refuses new requests, hands over its endpoints and
    /// waits for running requests, at most for the grace period in the settings.
    pub async fn drain(mut self) {
        let node = Arc::clone(&self.node);
        let drain = node.settings.drain.clone();
        node.record(Event::new(Kind::Member, "drains"));
        spdlog::info!("draining", kv: { instance = node.life.instance.as_str() });
        node.draining.store(true, Ordering::Release);
        // A leaving instance is no longer a desired owner, so the controller plans to release its
        // endpoints.
        lock(&node.members).leave();
        tokio::time::sleep(drain.announce()).await;
        drop(self.stop_entry);
        let finishing = async {
            self.entry.finished().await;
            wait_until_settled(&node).await;
        };
        if tokio::time::timeout(drain.grace(), finishing)
            .await
            .is_err()
        {
            spdlog::warn!("the grace period has expired; aborting running requests");
        }
        self.tasks.shutdown().await;
        node.record(Event::new(Kind::Member, "has left"));
    }
}

/// Waits until nothing runs on this daemon's endpoints and the log records that.
async fn wait_until_settled(node: &Node) {
    while any_endpoint(node, |endpoint| endpoint.running + endpoint.waiting > 0) {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // Orders in flight complete, then the release and the quit are appended to the log. Without the
    // quit a successor unloads nothing until this process is known to have ended.
    let handed_over = async {
        while lock(&node.ownership).owned().next().is_some()
            || any_endpoint(node, |endpoint| !endpoint.settled)
        {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        // The append of the last record may still be in flight.
        tokio::time::sleep(2 * DRAIN_POLL_INTERVAL).await;
    };
    if tokio::time::timeout(HANDOVER_TIMEOUT, handed_over)
        .await
        .is_err()
    {
        spdlog::warn!("endpoints were not handed over in time");
    }
}

fn any_endpoint(node: &Node, predicate: impl Fn(&OwnedEndpoint) -> bool) -> bool {
    lock(&node.endpoint_status).values().any(predicate)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StartError { address, cause })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|cause| StartError { address, cause })
}

fn serve_peers(node: &Arc<Node>, listener: TcpListener, tasks: &mut JoinSet<()>) {
    let service = PeerServer::new(Service {
        node: Arc::clone(node),
    })
    .max_decoding_message_size(MAX_MESSAGE_BYTES)
    .max_encoding_message_size(MAX_MESSAGE_BYTES);
    // The server's own `tcp_nodelay` option does not apply to a listener that is passed in. Without
    // it each response is delayed by 40 ms, waiting for an acknowledgement.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(incoming);
    tasks.spawn(async move {
        if let Err(error) = server.await {
            spdlog::error!("the server for peers failed: {}", error);
        }
    });
}

fn create_node(settings: Settings, peer_address: SocketAddr) -> Node {
    let life = Life {
        instance: settings.instance.name.clone(),
        incarnation: Incarnation(now_millis()),
    };
    let client = Client::new();
    let platform = &settings.platform;
    let log = Log::new(client.clone(), platform.log, platform.timeout());
    let ownership = &settings.ownership;
    let ownership_config = ploverwick_owner::ownership::Config {
        order_lag: ownership.order_lag(),
        refresh: ownership.refresh(),
    };
    let membership = ploverwick_members::Config {
        suspect_timeout: settings.membership.suspect(),
        list_lag: settings.membership.list_lag(),
    };
    let start = Moment::default();
    Node {
        recorder: Recorder::new(life.instance.as_str(), settings.timeline.events),
        members: Mutex::new(Members::new(life.clone(), peer_address, membership)),
        ownership: Mutex::new(Ownership::new(life.clone(), ownership_config)),
        responses: ResponseCache::new(settings.limits.kept_answers_bytes),
        current_table: watch::Sender::new(CurrentTable::default()),
        history: Mutex::new(History::default()),
        listing: watch::Sender::default(),
        listed_at: OnceLock::new(),
        log_read_at: Mutex::new(start),
        endpoint_tasks: EndpointTasks::default(),
        scribes: Scribes::default(),
        peer_connections: PeerConnections::default(),
        load_budget: Mutex::new(LoadBudget::new(start)),
        retry_budget: Mutex::new(RetryBudget::new()),
        // A daemon cannot tell whether the whole system starts for the first time.
        rates: Mutex::new(RateLimiter::new(PriorUse::Unknown)),
        endpoint_status: Mutex::new(BTreeMap::new()),
        draining: AtomicBool::new(false),
        started: Instant::now(),
        requests: AtomicU64::new(1),
        life,
        client,
        log,
        settings,
    }
}
