//! Ownership of endpoints: reads the log's ownership stream, claims the endpoints that this daemon
//! should own and releases the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::{Endpoint, Instance, Offset};
use ploverwick_owner::ownership::{Change, Liveness};
use ploverwick_owner::record::Record;
use ploverwick_ports::log::Batch;
use ploverwick_ports::roster::Listing;
use ploverwick_timeline::{Event, Kind};
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use crate::commands::Command;
use crate::lock::lock;
use crate::node::Node;
use crate::ownership::{STREAM, append};
use crate::{listing, owner};

/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The interval at which actual and desired ownership are compared.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// How long after the log's last response, in addition to the duration of a long poll, the log is
/// considered unavailable.
const LOG_OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);

/// Reads the stream and applies its records.
pub(crate) async fn follow(node: Arc<Node>) {
    let wait = node.settings.table.poll();
    let mut next = Offset(1);
    loop {
        match node.log.read(STREAM, next, wait).await {
            Ok(batch) => {
                *lock(&node.log_read_at) = node.now();
                next = apply_batch(&node, &batch, next).await;
            }
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn apply_batch(node: &Arc<Node>, batch: &Batch, next: Offset) -> Offset {
    let mut changes = Vec::new();
    if batch.start > next && next > Offset(1) {
        spdlog::warn!("records of ownership were removed by retention before they were read");
        changes.extend(lock(&node.ownership).lost_records());
    }
    let mut next = next.max(batch.start);
    for record in &batch.records {
        next = Offset(record.offset.0 + 1);
        let Ok(parsed) = serde_json::from_str::<Record>(&record.text) else {
            spdlog::error!("owners record {} cannot be decoded", record.offset);
            continue;
        };
        let now = node.now();
        changes.extend(lock(&node.ownership).apply(record.offset, &parsed, now));
    }
    for change in changes {
        notify_task(node, change).await;
    }
    next
}

async fn notify_task(node: &Arc<Node>, change: Change) {
    match change {
        Change::Gained(endpoint, token) => {
            let event = Event::new(Kind::Ownership, format!("owned here, token {token}"));
            node.record(event.endpoint(&endpoint));
            let listing = node.listing.borrow().clone();
            if let Some(entry) = listing.endpoint(&endpoint) {
                owner::ensure(node, entry);
                node.endpoint_tasks.send(&endpoint, Command::Gained).await;
            }
        }
        Change::Lost(endpoint) => {
            let event = Event::new(Kind::Ownership, "owned elsewhere");
            node.record(event.endpoint(&endpoint));
            node.endpoint_tasks.send(&endpoint, Command::Lost).await;
        }
        Change::Announced(endpoint, variant) => {
            let command = Command::Announced(variant, true);
            node.endpoint_tasks.send(&endpoint, command).await;
        }
        Change::Superseded(endpoint, variant) => {
            let command = Command::Announced(variant, false);
            node.endpoint_tasks.send(&endpoint, command).await;
        }
    }
}

/// Periodically compares actual and desired ownership, and appends claims and releases.
pub(crate) async fn plan(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut desired = Desired::default();
    loop {
        ticks.tick().await;
        let records = plan_records(&node, &mut desired);
        if records.is_empty() {
            continue;
        }
        let mut ready = Vec::new();
        for record in records {
            match record {
                // A release waits for orders in flight, and must not delay the other records.
                Record::Release { .. } => {
                    tokio::spawn(release(Arc::clone(&node), record));
                }
                record => ready.push(record),
            }
        }
        if ready.is_empty() {
            continue;
        }
        if let Err(error) = append(&node, ready).await {
            spdlog::warn!("cannot claim endpoints: {}", error);
        }
    }
}

/// The desired owners, cached together with the list and the instances that they are computed from.
///
/// The computation takes a hash for each pair of endpoint and instance, 287,000 at the fleet size
/// expected in two years, so it is only repeated when an input changes.
#[derive(Debug, Default)]
struct Desired {
    listing: Arc<Listing>,
    eligible: Vec<Instance>,
    owners: BTreeMap<Endpoint, Instance>,
}

impl Desired {
    fn refresh(&mut self, listing: &Arc<Listing>, eligible: Vec<Instance>) {
        if Arc::ptr_eq(&self.listing, listing) && self.eligible == eligible {
            return;
        }
        self.owners = listing::desired_owners(listing, &eligible);
        self.listing = Arc::clone(listing);
        self.eligible = eligible;
    }
}

fn plan_records(node: &Node, desired: &mut Desired) -> Vec<Record> {
    let listing = node.listing.borrow().clone();
    if listing.instances.is_empty() {
        // The other instances are unknown before the first list is read.
        return Vec::new();
    }
    if !Arc::ptr_eq(&desired.listing, &listing) {
        let listed = |endpoint: &Endpoint| listing.endpoint(endpoint).is_some();
        node.endpoint_tasks.retain(listed);
        lock(&node.endpoint_status).retain(|endpoint, _| listed(endpoint));
    }
    let eligible = lock(&node.members).eligible();
    desired.refresh(&listing, eligible);
    let members = lock(&node.members);
    let liveness = |life: &_| {
        if members.is_present(life) {
            Liveness::Present
        } else {
            Liveness::Gone
        }
    };
    let now = node.now();
    let silence = now.since(*lock(&node.log_read_at));
    let log_available = silence < LOG_OUTAGE_THRESHOLD + node.settings.table.poll();
    lock(&node.ownership).plan(&desired.owners, liveness, log_available, now)
}

/// Closes an endpoint's task, and releases the endpoint once no unload can take effect any more.
async fn release(node: Arc<Node>, record: Record) {
    let (sender, closed) = oneshot::channel();
    let delivered = node
        .endpoint_tasks
        .send(record.endpoint(), Command::Close(sender))
        .await;
    if delivered {
        // An error means that the task has ended, so it has no order in flight.
        let _ = closed.await;
    }
    let event = Event::new(Kind::Ownership, "releases");
    node.record(event.endpoint(record.endpoint()));
    let endpoint = record.endpoint().clone();
    if let Err(error) = append(&node, vec![record]).await {
        spdlog::warn!("cannot release an endpoint: {}", error);
        if error.had_no_effect() && !node.is_draining() {
            // The release is not in the log, so no other instance can own the endpoint yet. This
            // daemon continues to own it.
            node.endpoint_tasks.send(&endpoint, Command::Gained).await;
        }
    }
}
