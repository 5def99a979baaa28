//! Starts a daemon and lets it leave.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use ploverwick_limits::{PriorUse, RateLimiter};
use ploverwick_members::Controller as Members;
use ploverwick_names::{Incarnation, Life, Moment};
use ploverwick_owner::ownership::Controller as Holds;
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
use crate::answer::Answers;
use crate::budget::{Loads, Retries};
use crate::commands::Owners;
use crate::controllers::{members, owners, table};
use crate::entry::Entry;
use crate::links::Links;
use crate::lock::lock;
use crate::node::{InForce, Node};
use crate::peer::Service;
use crate::scribes::Scribes;
use crate::status::OwnedEndpoint;

/// The largest message from another daemon.
const MAX_MESSAGE: usize = 64 << 20;
/// How often a leaving daemon looks whether its endpoints are handed over.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// How long endpoints may take to be handed over, once no request runs.
const HAND_OVER: Duration = Duration::from_secs(5);

/// Says why a daemon did not start.
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

/// A daemon that runs until it is dropped or has left.
pub struct Daemon {
    node: Arc<Node>,
    callers: SocketAddr,
    peers: SocketAddr,
    admin: SocketAddr,
    entry: Server,
    stop_entry: StopGuard,
    _stop_admin: StopGuard,
    tasks: JoinSet<()>,
    _ending: Ending,
}

/// Closes the channels of the tasks that the node itself keeps, which ends them.
struct Ending {
    node: Arc<Node>,
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.node.owners.retain(|_| false);
        self.node.scribes.close();
    }
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Fails if one of the addresses cannot be listened on.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        admin::install_metrics();
        let callers = listen(settings.listen.callers).await?;
        let peers = listen(settings.listen.peers).await?;
        let admin = listen(settings.listen.admin).await?;
        let peer_address = local(&peers, settings.listen.peers)?;
        let node = Arc::new(make_node(settings, peer_address));
        let mut tasks = JoinSet::new();
        serve_peers(&node, peers, &mut tasks);
        let (stop_entry, stopped) = stop_channel();
        let bounds = Bounds {
            connections: node.settings.limits.connections,
            ..Bounds::default()
        };
        let entry = Arc::new(Entry {
            node: Arc::clone(&node),
        });
        let fail = |address| move |cause| StartError { address, cause };
        let listen = node.settings.listen.clone();
        let entry = Server::start(callers, entry, bounds, stopped).map_err(fail(listen.callers))?;
        let (stop_admin, stopped) = stop_channel();
        let handler = Arc::new(Admin {
            node: Arc::clone(&node),
        });
        let admin = Server::start(admin, handler, Bounds::default(), stopped)
            .map_err(fail(listen.admin))?;
        tasks.spawn(table::follow(Arc::clone(&node)));
        tasks.spawn(table::snapshots(Arc::clone(&node)));
        tasks.spawn(members::follow_list(Arc::clone(&node)));
        tasks.spawn(members::beat(Arc::clone(&node)));
        tasks.spawn(owners::follow(Arc::clone(&node)));
        tasks.spawn(owners::plan(Arc::clone(&node)));
        spdlog::info!("started", kv: { instance = node.life.instance.as_str() });
        Ok(Self {
            _ending: Ending {
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

    /// Returns where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where other daemons connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Leaves without interrupting a request: reports that it is not ready, refuses new requests,
    /// hands its endpoints over, and finishes what runs, for at most the settings' grace.
    pub async fn drain(mut self) {
        let node = Arc::clone(&self.node);
        let drain = node.settings.drain.clone();
        node.record(Event::new(Kind::Member, "drains"));
        spdlog::info!("draining", kv: { instance = node.life.instance.as_str() });
        node.draining.store(true, Ordering::Release);
        // From now on the endpoints' desired owners are others, and releases are planned.
        lock(&node.members).leave();
        tokio::time::sleep(drain.announce()).await;
        drop(self.stop_entry);
        let finishing = async {
            self.entry.finished().await;
            settled(&node).await;
        };
        if tokio::time::timeout(drain.grace(), finishing)
            .await
            .is_err()
        {
            spdlog::warn!("the grace is over; requests are cut off");
        }
        self.tasks.shutdown().await;
        node.record(Event::new(Kind::Member, "has left"));
    }
}

/// Returns once nothing runs on this daemon's endpoints and its successors may know.
async fn settled(node: &Node) {
    while any_endpoint(node, |endpoint| endpoint.running + endpoint.waiting > 0) {
        tokio::time::sleep(DRAIN_POLL).await;
    }
    // An order under way ends, the release and then the quit go to the log. Without the quit a
    // successor unloads nothing until this life is known to have ended.
    let handed_over = async {
        while lock(&node.holds).owned().next().is_some()
            || any_endpoint(node, |endpoint| !endpoint.settled)
        {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // The last of these records may still be on its way.
        tokio::time::sleep(2 * DRAIN_POLL).await;
    };
    if tokio::time::timeout(HAND_OVER, handed_over).await.is_err() {
        spdlog::warn!("endpoints were not handed over in time");
    }
}

fn any_endpoint(node: &Node, holds: impl Fn(&OwnedEndpoint) -> bool) -> bool {
    lock(&node.endpoint_status).values().any(holds)
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| StartError { address, cause })
}

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    listener
        .local_addr()
        .map_err(|cause| StartError { address, cause })
}

fn serve_peers(node: &Arc<Node>, listener: TcpListener, tasks: &mut JoinSet<()>) {
    let service = PeerServer::new(Service {
        node: Arc::clone(node),
    })
    .max_decoding_message_size(MAX_MESSAGE)
    .max_encoding_message_size(MAX_MESSAGE);
    // The server's own switch does not reach a listener that is handed to it, and without it each
    // answer waits 40 ms for an acknowledgement.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(incoming);
    tasks.spawn(async move {
        if let Err(error) = server.await {
            spdlog::error!("the peers' server ended: {}", error);
        }
    });
}

fn make_node(settings: Settings, peer_address: SocketAddr) -> Node {
    let life = Life {
        instance: settings.instance.name.clone(),
        incarnation: Incarnation(now_millis()),
    };
    let client = Client::new();
    let platform = &settings.platform;
    let log = Log::new(client.clone(), platform.log, platform.timeout());
    let ownership = &settings.ownership;
    let holds = ploverwick_owner::ownership::Config {
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
        holds: Mutex::new(Holds::new(life.clone(), holds)),
        answers: Answers::new(settings.limits.kept_answers_bytes),
        in_force: watch::Sender::new(InForce::default()),
        history: Mutex::new(History::default()),
        listing: watch::Sender::default(),
        listed: OnceLock::new(),
        log_read_at: Mutex::new(start),
        owners: Owners::default(),
        scribes: Scribes::default(),
        links: Links::default(),
        loads: Mutex::new(Loads::new(start)),
        retries: Mutex::new(Retries::new()),
        // Nothing tells a daemon whether the system starts for the first time.
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
