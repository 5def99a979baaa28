//! Keeps ownership: reads the stream of claims, claims what this daemon should own, releases what
//! it should not.

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

/// The pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(200);
/// How often ownership is compared with what it should be.
const PLAN: Duration = Duration::from_millis(200);

/// How long after its last answer, beyond the wait of a read, the log counts as out.
const LOG_SILENCE: Duration = Duration::from_millis(500);

/// Follows the stream for as long as it is polled.
pub(crate) async fn follow(node: Arc<Node>) {
    let wait = node.settings.table.poll();
    let mut next = Offset(1);
    loop {
        match node.log.read(STREAM, next, wait).await {
            Ok(batch) => {
                *lock(&node.log_read_at) = node.now();
                next = take(&node, &batch, next).await;
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

async fn take(node: &Arc<Node>, batch: &Batch, next: Offset) -> Offset {
    let mut changes = Vec::new();
    if batch.start > next && next > Offset(1) {
        spdlog::warn!("records of ownership were lost to retention");
        changes.extend(lock(&node.holds).lost_records());
    }
    let mut next = next.max(batch.start);
    for record in &batch.records {
        next = Offset(record.offset.0 + 1);
        let Ok(parsed) = serde_json::from_str::<Record>(&record.text) else {
            spdlog::error!("owners record {} cannot be read", record.offset);
            continue;
        };
        let now = node.now();
        changes.extend(lock(&node.holds).apply(record.offset, &parsed, now));
    }
    for change in changes {
        tell(node, change).await;
    }
    next
}

async fn tell(node: &Arc<Node>, change: Change) {
    match change {
        Change::Gained(endpoint, token) => {
            let event = Event::new(Kind::Ownership, format!("owned here, token {token}"));
            node.record(event.endpoint(&endpoint));
            let listing = node.listing.borrow().clone();
            if let Some(entry) = listing.endpoint(&endpoint) {
                owner::ensure(node, entry);
                node.owners.tell(&endpoint, Command::Gained).await;
            }
        }
        Change::Lost(endpoint) => {
            let event = Event::new(Kind::Ownership, "owned elsewhere");
            node.record(event.endpoint(&endpoint));
            node.owners.tell(&endpoint, Command::Lost).await;
        }
        Change::Announced(endpoint, variant) => {
            let command = Command::Announced(variant, true);
            node.owners.tell(&endpoint, command).await;
        }
        Change::Superseded(endpoint, variant) => {
            let command = Command::Announced(variant, false);
            node.owners.tell(&endpoint, command).await;
        }
    }
}

/// Compares ownership with what it should be, again and again.
pub(crate) async fn plan(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(PLAN);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut desired = Desired::default();
    loop {
        ticks.tick().await;
        let records = planned(&node, &mut desired);
        if records.is_empty() {
            continue;
        }
        let mut ready = Vec::new();
        for record in records {
            match record {
                // A release may wait for an order under way, and others must not wait for it.
                Record::Release { .. } => {
                    tokio::spawn(release(Arc::clone(&node), record));
                }
                record => ready.push(record),
            }
        }
        if ready.is_empty() {
            continue;
        }
        if let Err(fault) = append(&node, ready).await {
            spdlog::warn!("cannot claim endpoints: {}", fault);
        }
    }
}

/// Who should own what, for the list and the instances that it was worked out from.
///
/// Working it out takes a hash for each pair of endpoint and instance, 287,000 at the two-year
/// size, so it is done on a change only.
#[derive(Debug, Default)]
struct Desired {
    listing: Arc<Listing>,
    able: Vec<Instance>,
    owners: BTreeMap<Endpoint, Instance>,
}

impl Desired {
    fn refresh(&mut self, listing: &Arc<Listing>, able: Vec<Instance>) {
        if Arc::ptr_eq(&self.listing, listing) && self.able == able {
            return;
        }
        self.owners = listing::desired_owners(listing, &able);
        self.listing = Arc::clone(listing);
        self.able = able;
    }
}

fn planned(node: &Node, desired: &mut Desired) -> Vec<Record> {
    let listing = node.listing.borrow().clone();
    if listing.instances.is_empty() {
        // Before the first list nothing is known of the others.
        return Vec::new();
    }
    if !Arc::ptr_eq(&desired.listing, &listing) {
        let listed = |endpoint: &Endpoint| listing.endpoint(endpoint).is_some();
        node.owners.retain(listed);
        lock(&node.endpoint_status).retain(|endpoint, _| listed(endpoint));
    }
    let able = lock(&node.members).eligible();
    desired.refresh(&listing, able);
    let members = lock(&node.members);
    let standing = |life: &_| {
        if members.is_present(life) {
            Liveness::Present
        } else {
            Liveness::Gone
        }
    };
    let now = node.now();
    let silence = now.since(*lock(&node.log_read_at));
    let log_answers = silence < LOG_SILENCE + node.settings.table.poll();
    lock(&node.holds).plan(&desired.owners, standing, log_answers, now)
}

/// Closes an endpoint's task and releases the endpoint once no unload can strike any more.
async fn release(node: Arc<Node>, record: Record) {
    let (sender, closed) = oneshot::channel();
    let told = node
        .owners
        .tell(record.endpoint(), Command::Close(sender))
        .await;
    if told {
        // The task may end first; then nothing of it is under way.
        let _ = closed.await;
    }
    let event = Event::new(Kind::Ownership, "releases");
    node.record(event.endpoint(record.endpoint()));
    let endpoint = record.endpoint().clone();
    if let Err(fault) = append(&node, vec![record]).await {
        spdlog::warn!("cannot release an endpoint: {}", fault);
        if fault.had_no_effect() && !node.is_draining() {
            // Nobody else can own the endpoint yet, so this daemon goes on.
            node.owners.tell(&endpoint, Command::Gained).await;
        }
    }
}
