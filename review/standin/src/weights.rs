//! Many rare adapters are asked for at once, where the replicas' memory holds fewer adapters than they have places.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use ploverwick_platform_standin::client::{ClientRequest, Connection};
use serde_json::json;

use crate::deployment::{Deployment, ZONES};
use crate::record::{Random, Record};

const TRAFFIC: Duration = Duration::from_secs(20);
/// When the rare adapters are asked for.
const BURST_AT: Duration = Duration::from_secs(8);
const BURST: Duration = Duration::from_secs(4);
const REPLICAS: usize = 6;
/// The adapters that each replica holds at the start.
const ADAPTERS: usize = 4;
const RARE: usize = 300;
const CLIENTS_PER_GATEWAY: usize = 8;
/// A replica's memory for weights, its model, and an adapter: 9 adapters fit, and there are 16 places.
const WEIGHTS_MB: u64 = 66_600;
const MODEL_MB: u64 = 65_100;
const ADAPTER_MB: u64 = 160;

/// Runs the case; returns whether the rule held.
pub async fn run(folder: &str) -> Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(folder)?);
    let mut deployment = Deployment::new(Arc::clone(&record)).await?;
    for place in 0..REPLICAS {
        let first = place * ADAPTERS;
        let adapters: Vec<String> = (first..first + ADAPTERS)
            .map(|n| format!("a{n}@1"))
            .collect();
        let settings = json!({
            "service": "lm-markers", "slots": 32, "queue": 96, "work_ms": 240, "events": 14, "model": "m0",
            "adapters": adapters, "seed": place, "weights_mb": WEIGHTS_MB, "model_mb": MODEL_MB,
            "adapter_mb": ADAPTER_MB,
        });
        deployment.add_replica(&format!("i-{place:04x}"), ZONES[place % 3], settings)?;
    }
    deployment.start(&config(), 2).await?;
    record.note("traffic starts");
    let begun = Instant::now();
    let number = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (gateway, front) in deployment.fronts.iter().enumerate() {
        for client in 0..CLIENTS_PER_GATEWAY {
            let (front, record, number) = (*front, Arc::clone(&record), Arc::clone(&number));
            let seed = (gateway * 100 + client) as u64 + u64::from(std::process::id()) * 1_000;
            let random = Random::new(seed);
            clients.push(tokio::spawn(async move {
                send(front, &record, &number, random, begun, is_troubled).await;
            }));
        }
    }
    for client in clients {
        client.await?;
    }
    let lines = deployment.stop()?;
    let crashes: Vec<_> = lines
        .iter()
        .filter(|line| line.contains("crash LIMIT"))
        .collect();
    for line in &crashes {
        record.result(&format!("LIMIT: {line}"));
    }
    let is_kept = crashes.is_empty();
    let (count, all) = (crashes.len(), number.load(Ordering::Relaxed));
    record.result(&format!(
        "{all} requests, {count} of {REPLICAS} replicas were ordered to load more than fits: {}",
        if is_kept { "held" } else { "broken" }
    ));
    Ok(is_kept)
}

/// Sends requests on a kept channel, one after the other.
async fn send(
    front: std::net::SocketAddr,
    record: &Record,
    number: &AtomicU64,
    mut random: Random,
    begun: Instant,
    is_troubled: bool,
) {
    let mut connection = None;
    while begun.elapsed() < TRAFFIC {
        tokio::time::sleep(Duration::from_millis(50 + (random.next() * 150.0) as u64)).await;
        let id = format!("{:016x}", number.fetch_add(1, Ordering::Relaxed));
        let is_burst = (BURST_AT..BURST_AT + BURST).contains(&begun.elapsed());
        let held = REPLICAS * ADAPTERS;
        let adapter = if is_troubled && is_burst {
            held + (random.next() * RARE as f64) as usize
        } else {
            (random.next() * held as f64) as usize
        };
        let request = ClientRequest::new(&id, "ficu95.example", "/lohu930/2f")
            .model(&format!("m0/a{adapter}"))
            .timeout(Duration::from_secs(5))
            .header("ploverwick-token-count", "491,70")
            .header("ploverwick-prompt-prefix", &format!("5c1e07a2:93,{id}:398"))
            .body(format!("the prompt of {id}"));
        let opened = match connection.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(front).await,
        };
        let Ok(mut opened) = opened else { continue };
        record.note(&format!("sent {id} m0/a{adapter} to {front}"));
        match opened.send(&request).await {
            Ok(answer) => {
                let (status, code) = (answer.status.as_u16(), answer.code.unwrap_or_default());
                let is_whole = answer.is_whole;
                record.note(&format!("answered {id} {status} {code} whole={is_whole}"));
                if is_whole && !answer.closes {
                    connection = Some(opened);
                }
            }
            Err(_) => record.note(&format!("closed {id}")),
        }
    }
}

fn config() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r-hint-live", "host": "ficu95.example", "path_prefix": "/lohu930/", "kind": "stream",
            "timeout_ms": 5000, "target_latency_ms": 600, "gap_aim_ms": 400, "priority": 1, "service": "lm-markers",
            "max_attempts": 1, "sticky": true,
        }],
        "services": [{
            "name": "lm-markers", "health_path": "/health", "max_connections": 230, "engine": {
                "slots": 32, "kv_capacity": 219_357, "kv_token_bytes": 327_680, "stride": 5,
                "weights_mb": WEIGHTS_MB, "adapter_slots": 16, "loads_per_s": 9.3, "models": [{
                    "name": "m0", "weights_mb": MODEL_MB, "load_time_s": 0.6, "adapters": 3_000,
                    "adapter_mb": ADAPTER_MB,
                }],
            },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000,
        },
    })
}
