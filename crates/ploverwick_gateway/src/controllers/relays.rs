//! Opens connections to endpoints through other instances.

use std::sync::Arc;
use std::time::Duration;

use ploverwick_endpoints::relays::Refusal;
use ploverwick_endpoints::{Entry, Links, Relays};
use ploverwick_quarantine::Observation;
use tokio::io::{AsyncRead, AsyncWrite};

use crate::metrics;
use crate::pool::{ConnectError, Connection, dial};
use crate::relay::{Open, Reply, client};
use crate::shared::Shared;

/// The maximum number of instances that are tried for one connection.
const MAX_ATTEMPTS: u32 = 3;
/// The timeout for a connection to a relay; live instances accept one within milliseconds.
const DIAL_TIMEOUT: Duration = Duration::from_millis(100);

/// An instance that may relay a connection.
struct Relay {
    name: Arc<str>,
    domain: Arc<str>,
    address: std::net::SocketAddr,
}

/// Opens a connection to an endpoint through another instance, on behalf of the request `id`.
///
/// # Errors
/// Fails with [`ConnectError::NoRelay`] if no instance can help, or like a direct connection if a relay does not reach the
/// endpoint.
pub(crate) async fn connect(
    shared: &Arc<Shared>,
    entry: &Entry,
    id: &str,
) -> Result<Connection, ConnectError> {
    let (relay, stream) = open(shared, entry, id).await?;
    let on_close = {
        let shared = Arc::clone(shared);
        let (service, relay) = (Arc::clone(&entry.service), Arc::clone(&relay));
        move || update(&shared, &service, |relays| relays.record_closed(&relay))
    };
    update(shared, &entry.service, |relays| {
        relays.record_opened(&relay);
    });
    let connection = Connection::over(stream, Some(Arc::clone(&relay)), on_close).await;
    if connection.is_err() {
        update(shared, &entry.service, |relays| {
            relays.record_closed(&relay);
        });
    }
    connection
}

/// Handles a relayed connection that broke before it brought an answer. The relay's links may be down without its
/// knowledge.
pub(crate) fn handle_break(shared: &Shared, entry: &Entry, relay: &Arc<str>) {
    let now = shared.now();
    let peer = shared.state().peers.get(relay).cloned();
    let Some(peer) = peer else {
        return;
    };
    update(shared, &entry.service, |relays| {
        relays.record_refusal(relay, &peer.domain, Refusal::Partitioned, now);
    });
    shared.relayed_pool.remove_relay(relay);
}

/// Asks another instance whether an endpoint accepts connections.
pub(crate) async fn ask_other(shared: &Shared, entry: &Entry) -> Observation {
    if shared.settings.relay_port.is_none() || shared.state().peers.is_empty() {
        return Observation::NoOther;
    }
    match open(shared, entry, "-").await {
        Ok(_) => Observation::Accepts,
        Err(ConnectError::NoRelay) => Observation::Unknown,
        Err(_) => Observation::Fails,
    }
}

async fn open(
    shared: &Shared,
    entry: &Entry,
    id: &str,
) -> Result<(Arc<str>, impl AsyncRead + AsyncWrite + Send + Unpin + use<>), ConnectError> {
    let request = Open {
        endpoint: Arc::clone(&entry.id),
        instance: Arc::clone(&shared.settings.instance),
        request: id.to_owned(),
    };
    let mut failure = ConnectError::NoRelay;
    for _ in 0..MAX_ATTEMPTS {
        let Some(relay) = choose(shared, &entry.service) else {
            break;
        };
        let reply = request_from(shared, &relay, &request).await;
        let name = match &reply {
            Ok(Ok(_)) => Reply::Opened.name(),
            Ok(Err(reply)) => reply.name(),
            Err(_) => "none",
        };
        metrics::relay_reply(name);
        let refusal = match reply {
            Ok(Ok(stream)) => return Ok((relay.name, stream)),
            Ok(Err(reply)) => reply.refusal(),
            Err(_) => Some(Refusal::Unavailable),
        };
        spdlog::debug!(
            "relay_refused id={} endpoint={} relay={} reply={}",
            id,
            entry.id,
            relay.name,
            name
        );
        if refusal.is_none() {
            failure = ConnectError::Other(format!("{name} at a relay"));
            if is_trusted(shared, &relay, entry) {
                break;
            }
        }
        let now = shared.now();
        let refusal = refusal.unwrap_or(Refusal::Partitioned);
        update(shared, &entry.service, |relays| {
            relays.record_refusal(&relay.name, &relay.domain, refusal, now);
        });
    }
    Err(failure)
}

async fn request_from(
    shared: &Shared,
    relay: &Relay,
    request: &Open,
) -> Result<Result<impl AsyncRead + AsyncWrite + Send + Unpin + use<>, Reply>, ConnectError> {
    let dialled = dial(shared.settings.ip, relay.address);
    let stream = match tokio::time::timeout(DIAL_TIMEOUT, dialled).await {
        Ok(stream) => stream?,
        Err(_) => return Err(ConnectError::Timeout),
    };
    Ok(client::open(stream, request).await?)
}

/// Returns whether a relay that did not reach an endpoint shows that the endpoint is down. While links to several endpoints
/// fail here, those of a relay that has not proven itself may fail as well, without its knowledge.
fn is_trusted(shared: &Shared, relay: &Relay, entry: &Entry) -> bool {
    let state = shared.state();
    let known = state.relays.get(&entry.service);
    let is_proven = known.is_some_and(|relays| relays.has_relayed(&relay.name));
    is_proven || state.reachability.links(&entry.service) == Links::Up
}

fn update(shared: &Shared, service: &Arc<str>, apply: impl FnOnce(&mut Relays)) {
    let mut state = shared.state();
    apply(state.relays.entry(Arc::clone(service)).or_default());
}

fn choose(shared: &Shared, service: &str) -> Option<Relay> {
    let now = shared.now();
    let state = shared.state();
    let port = shared.settings.relay_port?;
    let chosen = state.choose_relay(service, &shared.settings, now)?;
    let (name, peer) = state.peers.get_key_value(chosen.name)?;
    Some(Relay {
        name: Arc::clone(name),
        domain: Arc::clone(&peer.domain),
        address: (peer.ip, port).into(),
    })
}
