//! The current table: reads the log's table stream, fetches newer tables from peers if the log is
//! unavailable, and appends snapshots.

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
use crate::node::{CurrentTable, Node};

/// The name of the stream in the log.
pub(crate) const STREAM: &str = "table";
/// The delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Reads the stream and applies its records.
pub(crate) async fn follow(node: Arc<Node>) {
    let wait = node.settings.table.poll();
    let mut outage = Outage::of("the log's table stream");
    loop {
        let from = lock(&node.history).next();
        match node.log.read(STREAM, from, wait).await {
            Ok(batch) => {
                outage.answered();
                apply_batch(&node, &batch);
            }
            Err(error) => {
                outage.failed(&error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_batch(node: &Node, batch: &Batch) {
    for record in &batch.records {
        let parsed = serde_json::from_str::<Record>(&record.text);
        let Ok(parsed) = parsed else {
            // Written by a later version of ploverwick. All instances that cannot decode it skip it.
            spdlog::error!("table record {} cannot be decoded", record.offset);
            lock(&node.history).skip(record.offset);
            continue;
        };
        let verdict = lock(&node.history).apply(record.offset, &parsed);
        record_verdict(node, record.offset, &verdict);
    }
    publish(node);
}

fn record_verdict(node: &Node, offset: Offset, verdict: &Verdict) {
    match verdict {
        Verdict::Ignored => return,
        Verdict::Diverged => spdlog::error!("the table differs from log snapshot {}", offset),
        _ => {}
    }
    let event = Event::new(Kind::Table, format!("record {offset}: {verdict:?}"));
    node.record(event);
}

/// Publishes the table to the other tasks if it is newer. A daemon never reverts to an older one.
fn publish(node: &Node) {
    let (version, table) = {
        let history = lock(&node.history);
        (history.version(), Arc::clone(history.table()))
    };
    let changed = node.current_table.send_if_modified(|current_table| {
        let newer = version > current_table.version;
        if newer {
            *current_table = CurrentTable { version, table };
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

/// Fetches the table from a peer if it is newer than this daemon's.
pub(crate) async fn fetch(node: Arc<Node>, address: SocketAddr) {
    let have = lock(&node.history).version().0;
    let Ok(mut peer) = node.peer_connections.get(address).await else {
        return;
    };
    match peer.fetch(FetchAsk { have }).await {
        Ok(copy) => adopt(&node, &copy.into_inner()),
        Err(_) => node.peer_connections.remove(address),
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

/// Returns a copy of the table for a peer that has version `have`, or an empty copy if there is no
/// newer one.
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

/// Periodically appends a snapshot, so that the table is not lost to the log's retention. One
/// instance, chosen by hash, does this; redundant snapshots are harmless.
pub(crate) async fn append_snapshots(node: Arc<Node>) {
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
        if let Err(error) = node.log.append(STREAM, vec![text]).await {
            spdlog::warn!("cannot append a table snapshot: {}", error);
        }
    }
}

fn is_chosen(node: &Node) -> bool {
    let eligible = lock(&node.members).eligible();
    listing::choose_instance(STREAM, &eligible).is_some_and(|chosen| chosen == node.life.instance)
}
