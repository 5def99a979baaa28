//! The operators' commands for refused requests and prompt parts, which use the platform's store directly.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result, bail};
use ploverwick_platform::QUARANTINE_TOPIC;
use ploverwick_platform::quarantine::{Stored, decode, encode};
use ploverwick_platform::store::Store;

/// The quarantine topic has a single partition.
const PARTITIONS: u32 = 1;

/// Returns the requests and prompt parts that are refused because endpoints crashed on them, the most recent first.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn list(store: SocketAddr) -> Result<Vec<Stored>> {
    let entries = read(&Store::new(store, PARTITIONS)).await?;
    let refused = entries.into_iter().filter(Stored::is_refused);
    let mut refused: Vec<Stored> = refused.collect();
    refused.sort_by_key(Stored::age_s);
    Ok(refused)
}

/// Releases the request or prompt part with this key, as listed; instances learn of it within one to two seconds. If it
/// crashes three more endpoints, it is refused again.
///
/// # Errors
/// Fails if it is not refused, or if the store does not answer; in the last case it may have been
/// released anyway.
pub async fn release(store: SocketAddr, key: &str) -> Result<()> {
    let store = Store::new(store, PARTITIONS);
    let entries = read(&store).await?;
    let entry = entries
        .iter()
        .find(|entry| entry.key() == key && entry.is_refused());
    let Some(entry) = entry else {
        bail!("{key} is not refused; `quarantine list` shows what is");
    };
    let (key, value) = encode(&entry.after_reset(), unix_ms());
    let written = store.put(QUARANTINE_TOPIC, &key, Some(&value)).await;
    written.context("release it; check with `quarantine list` before trying again")
}

async fn read(store: &Store) -> Result<Vec<Stored>> {
    let now_ms = unix_ms();
    let snapshot = store.newest(QUARANTINE_TOPIC).await?;
    let mut entries = Vec::new();
    for record in &snapshot.records {
        match decode(record, now_ms) {
            Ok(entry) => entries.extend(entry),
            Err(error) => eprintln!("skipped {}: {error}", record.key),
        }
    }
    Ok(entries)
}

/// Returns the current Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
