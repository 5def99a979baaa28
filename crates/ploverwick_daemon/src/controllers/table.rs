//! Keeps the table in force: reads its stream, asks peers when it cannot, appends snapshots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_ports::log::Batch;
use ploverwick_table::history::{Record, Snapshot, Verdict};
use ploverwick_timeline::{Event, Kind};
use ploverwick_wire::{FetchAsk, TableCopy};

use crate::listing;
use crate::lock::lock;
use crate::logging::Outage;
use crate::node::{InForce, Node};

/// The name of the stream.
pub(crate) const STREAM: &str = "table";
/// The pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the stream for as long as it is polled.
pub(crate) async fn follow(node: Arc<Node>) {
    let wait = node.settings.table.poll();
    let mut outage = Outage::of("the log's table stream");
    loop {
        let from = lock(&node.history).next();
        match node.log.read(STREAM, from, wait).await {
            Ok(batch) => {
                outage.answered();
                take(&node, &batch);
            }
            Err(fault) => {
                outage.failed(&fault);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn take(node: &Node, batch: &Batch) {
    for record in &batch.records {
        let parsed = serde_json::from_str::<Record>(&record.text);
        let Ok(parsed) = parsed else {
            // A record of a later version of ploverwick: passed over by all that cannot read it.
            spdlog::error!("table record {} cannot be read", record.offset);
            lock(&node.history).skip(record.offset);
            continue;
        };
        let verdict = lock(&node.history).apply(record.offset, &parsed);
        note(node, record.offset, &verdict);
    }
    publish(node);
}

fn note(node: &Node, offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Ignored => return,
        Verdict::Diverged => spdlog::error!("the table differs from the log's snapshot {}", offset),
        _ => {}
    }
    let event = Event::new(Kind::Table, format!("record {offset}: {verdict:?}"));
    node.record(event);
}

/// Puts a newer table in force. A daemon never goes back.
fn publish(node: &Node) {
    let (version, table) = {
        let history = lock(&node.history);
        (history.version(), Arc::clone(history.table()))
    };
    let changed = node.in_force.send_if_modified(|in_force| {
        let newer = version > in_force.version;
        if newer {
            *in_force = InForce { version, table };
        }
        newer
    });
    if changed {
        lock(&node.rates).remove_full(node.now());
        metrics::gauge!("ploverwick_table_version").set(version.0 as f64);
        node.record(Event::new(
            Kind::Table,
            format!("version {version} in force"),
        ));
        spdlog::info!("table in force", kv: { version = version.0 });
    }
}

/// Asks a peer for a table that is newer than this daemon's.
pub(crate) async fn fetch(node: Arc<Node>, address: SocketAddr) {
    let have = lock(&node.history).version().0;
    let Ok(mut link) = node.links.get(address).await else {
        return;
    };
    match link.fetch(FetchAsk { have }).await {
        Ok(copy) => adopt(&node, &copy.into_inner()),
        Err(_) => node.links.forget(address),
    }
}

fn adopt(node: &Node, copy: &TableCopy) {
    let Ok(snapshot) = serde_json::from_slice::<Snapshot>(&copy.snapshot) else {
        return;
    };
    let verdict = lock(&node.history).adopt(&snapshot);
    if verdict != Verdict::Ignored {
        node.record(Event::new(Kind::Table, format!("from a peer: {verdict:?}")));
    }
    publish(node);
}

/// Makes a copy for a peer that has version `have`.
pub(crate) fn copy(node: &Node, have: u64) -> TableCopy {
    let history = lock(&node.history);
    if history.version().0 <= have || history.has_gap() {
        return TableCopy::default();
    }
    let snapshot = history.snapshot();
    TableCopy {
        version: snapshot.version.0,
        snapshot: serde_json::to_vec(&snapshot).unwrap_or_default().into(),
    }
}

/// Appends a snapshot from time to time, so that the table outlives the log's retention. One
/// instance does, chosen by hash; two at once do no harm.
pub(crate) async fn snapshots(node: Arc<Node>) {
    let period = node.settings.table.snapshot();
    loop {
        tokio::time::sleep(period).await;
        let snapshot = {
            let history = lock(&node.history);
            let useful = history.version() > Offset(0) && !history.has_gap();
            useful.then(|| history.snapshot())
        };
        let (Some(snapshot), true) = (snapshot, is_chosen(&node)) else {
            continue;
        };
        let text = serde_json::to_string(&Record::Snapshot(snapshot)).unwrap_or_default();
        if let Err(fault) = node.log.append(STREAM, vec![text]).await {
            spdlog::warn!("cannot append a table snapshot: {}", fault);
        }
    }
}

fn is_chosen(node: &Node) -> bool {
    let able = lock(&node.members).eligible();
    listing::chosen(STREAM, &able).is_some_and(|chosen| chosen == node.life.instance)
}
