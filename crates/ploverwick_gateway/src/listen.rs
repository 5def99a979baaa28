//! Receives messages from other instances.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_adapters::Request;
use ploverwick_endpoints::Build;

use crate::broadcast;
use crate::controllers::{
    brittleness, draining, endpoint_list, freshness, limits, load_requests, origins, quarantine,
    quotas, slots,
};
use crate::messages::{
    self, AdapterUse, Change, ChangeKind, EndpointDigests, EndpointLoad, Message, ModelAdapters,
};
use crate::shared::Shared;
use crate::state::{Peer, State};
use crate::topics::Topic;

/// Receives messages until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        if let Some((message, from)) = shared.peer_socket.receive(&mut buffer).await {
            relay(&shared, &message, from);
            handle_message(&shared, message, from);
        }
    }
}

/// Relays a message on endpoints of another failure domain, if this instance is the placer of its own.
fn relay(shared: &Shared, message: &Message, from: IpAddr) {
    if !message.is_relayed() {
        return;
    }
    let now = shared.now();
    let state = shared.state();
    let sender = state.peers.values().find(|peer| peer.ip == from);
    let is_remote = sender.is_some_and(|peer| peer.domain != shared.settings.domain);
    let is_placer = state.placer_lease.token(now).is_some();
    drop(state);
    if !is_remote || !is_placer {
        return;
    }
    match message {
        Message::Changes(changes) => shared.outbox.relay(changes),
        _ => broadcast::relay(shared, message),
    }
}

fn handle_message(shared: &Arc<Shared>, message: Message, from: IpAddr) {
    let now = shared.now();
    match message {
        Message::Status {
            instance,
            domain,
            capacity,
            placer_token,
            waiting,
            demand,
            read_states,
            loads,
        } => {
            let peer = Peer {
                ip: from,
                domain,
                capacity,
                last_seen: Some(now),
                placer_token,
                waiting,
                demand,
                read_states,
            };
            handle_status(shared, instance, peer, loads);
        }
        Message::LoadTotals(totals) => shared.state().fleet.record_totals(&totals, now),
        Message::AdapterUses(list) => handle_uses(shared, &list, from),
        Message::LoadRequest(request) => handle_load_request(shared, &request, None, from),
        Message::BuildLoadRequest { request, build } => {
            handle_load_request(shared, &request, Some(build), from);
        }
        Message::EndpointReport { endpoint, adapters } => {
            handle_report(shared, &endpoint, adapters);
        }
        Message::EndpointDigests(digests) => handle_digests(shared, &digests, from),
        Message::EndpointReportRequest(endpoints) => {
            broadcast::send_reports(shared, from, &endpoints);
        }
        Message::Changes(changes) => handle_changes(shared, changes),
        Message::EndpointListUpdate {
            changed,
            removed,
            digest,
        } => endpoint_list::handle_peer_update(shared, changed, &removed, digest),
        Message::Records(batch) => shared.inboxes.of(batch.topic).push(batch),
        Message::TopicEnd { topic, end } => shared.inboxes.of(topic).observe_end(end),
        Message::ProofRequest { correlation_id } => {
            freshness::handle_proof_request(shared, from, correlation_id);
        }
        Message::Proof {
            correlation_id,
            end,
            age_ms,
        } => freshness::handle_proof(shared, correlation_id, end, Duration::from_millis(age_ms)),
        Message::QuotaLease {
            correlation_id,
            lease,
        } => {
            quotas::handle_lease(shared, from, correlation_id, &lease);
        }
        Message::QuotaGrants {
            correlation_id,
            grants,
        } => {
            quotas::handle_grants(shared, from, correlation_id, &grants);
        }
        Message::BaseLoad => shared.state().base_load_limiter.record_load(now),
        Message::LeaseReleased => shared.lease_released.notify_one(),
        Message::QuarantineEntries(entries) => quarantine::apply_entries(shared, &entries, &from),
        Message::PromptEntries(list) => quarantine::apply_prompt_entries(shared, &list, &from),
        Message::EndpointLimitsRequest => {
            broadcast::send_all_limits(shared, from);
            broadcast::send_all_draining(shared, from);
        }
        Message::EndpointLimits(list) => limits::handle_updates(shared, &list, from),
        Message::Draining(endpoints) => draining::handle_message(shared, &endpoints, from),
        Message::EndpointPauses(pauses) => brittleness::handle_pauses(shared, &pauses, from),
        Message::BrittleServices(list) => brittleness::handle_services(shared, &list, from),
        Message::BrittleServicesRequest => broadcast::reply_brittle_services(shared, from),
        Message::SlotNotices(notices) => slots::handle_notices(shared, notices, from),
        Message::Observations(observed) => {
            shared.state().fleet.record_peer_observations(&observed);
        }
        Message::Figures(figures) => shared.state().fleet.record_figures(&figures),
        Message::Origins(records) => origins::handle_records(shared, &records),
        Message::OriginQuery {
            id,
            service,
            attempt,
        } => origins::handle_query(shared, from, id, &service, attempt),
        Message::OriginReply { id, reply } => {
            shared.origin_lookups.handle_reply(id, from, reply);
        }
        Message::QuarantineDigests(theirs) => {
            broadcast::quarantine::handle_digests(shared, from, &theirs);
        }
        Message::PromptDigests(theirs) => {
            broadcast::quarantine::handle_prompt_digests(shared, from, &theirs);
        }
    }
}

/// Records the adapters that an endpoint holds.
fn handle_report(shared: &Shared, endpoint: &Arc<str>, adapters: Vec<ModelAdapters>) {
    let copies = messages::copies(adapters);
    let now = shared.now();
    shared.state().directory.apply_report(endpoint, copies, now);
    shared.placement_changed.notify_waiters();
}

/// Records that a peer is alive, how far it has read, and its requests in progress.
fn handle_status(shared: &Shared, instance: Arc<str>, peer: Peer, loads: Vec<EndpointLoad>) {
    for topic in Topic::ALL {
        shared
            .inboxes
            .of(topic)
            .observe_end(peer.read_states.of(topic).end);
    }
    let now = shared.now();
    let mut state = shared.state();
    if let Some(demand) = peer.demand
        && peer.domain != shared.settings.domain
    {
        state.placer.record_demand(&peer.domain, demand, now);
    }
    state.peers.insert(Arc::clone(&instance), peer);
    shared.count_instances(&mut state);
    let loads = loads.into_iter().map(|load| {
        let counts = load.counts();
        (load.endpoint, counts)
    });
    state
        .fleet
        .record_peer_loads(instance, loads.collect(), now);
}

/// Places the adapter that the instance at `from` asks for, or replies with the endpoint that holds it.
fn handle_load_request(
    shared: &Arc<Shared>,
    request: &Request,
    build: Option<Build>,
    from: IpAddr,
) {
    if let Some(holder) = load_requests::place_adapter(shared, request, build) {
        broadcast::send_holder(shared, from, holder, &request.copy);
    }
}

/// Records which adapters a peer's requests use.
fn handle_uses(shared: &Shared, list: &[AdapterUse], from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    for adapter_use in list {
        if let Some(slots) = state.placer.slots(&adapter_use.endpoint) {
            slots.record_use(&adapter_use.copy, from, adapter_use.in_use, now);
        }
    }
}

/// Applies changes of adapters at endpoints.
fn handle_changes(shared: &Shared, changes: Vec<Change>) {
    let now = shared.now();
    let mut state = shared.state();
    for change in changes {
        let Change {
            endpoint,
            copy,
            kind,
        } = change;
        match kind {
            ChangeKind::Loading => drop(state.directory.mark_loading(&endpoint, copy, now)),
            ChangeKind::Loaded => state.directory.mark_loaded(&endpoint, copy, now),
            ChangeKind::Unloaded => state.directory.mark_unloaded(&endpoint, &copy),
        }
    }
    drop(state);
    shared.placement_changed.notify_waiters();
}

/// Requests reports of the endpoints whose digests differ from this instance's view, because a message may
/// have been lost. Digests for another list of endpoints than this instance's are ignored.
fn handle_digests(shared: &Shared, received: &EndpointDigests, from: IpAddr) {
    let now = shared.now();
    let mut state = shared.state();
    let State {
        fleet, directory, ..
    } = &mut *state;
    let numbering = fleet.numbering(&received.domain);
    if numbering.checksum() != received.checksum {
        return;
    }
    let mut differing = Vec::new();
    for (endpoint, digest) in numbering.resolve(&received.digests) {
        if directory.digest(endpoint).map(|own| own as u32) == Some(digest) {
            directory.confirm_report(endpoint, now);
        } else {
            differing.push(Arc::clone(endpoint));
        }
    }
    drop(state);
    if !differing.is_empty() {
        broadcast::request_reports(shared, from, differing);
    }
}
