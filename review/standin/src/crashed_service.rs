//! The replicas of a service crash together while requests with the same content run, and are back some seconds later.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Result;
use ploverwick_platform_standin::client::{ClientRequest, Connection};
use serde_json::json;

use crate::deployment::{Deployment, ZONES};
use crate::record::{Random, Record};

const TRAFFIC: Duration = Duration::from_secs(55);
/// The replicas crash so often, so long after the start or the last return, and are down so long.
const CRASHES: usize = 3;
const PAUSE: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_secs(5);
/// The statuses of requests are shown from so long after the replicas' last return, which the list shows within a beat and a
/// read.
const SETTLED: Duration = Duration::from_secs(4);
const CLIENTS_PER_GATEWAY: usize = 4;

/// An answer, or its absence (0), and when its request was sent.
struct Outcome {
    sent: Instant,
    status: u16,
    is_signed: bool,
}

/// Runs the case; returns whether the rule held.
pub async fn run(folder: &str) -> Result<bool> {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(folder)?);
    let mut deployment = Deployment::new(Arc::clone(&record)).await?;
    for (place, zone) in ZONES.iter().enumerate() {
        let settings = json!({
            "service": "exam-app", "slots": 6, "queue": 24, "work_ms": 120, "events": 0, "seed": place,
        });
        deployment.add_replica(&format!("i-{place:04x}"), zone, settings)?;
    }
    deployment.start(&config(), 2).await?;
    record.note("traffic starts");
    let begun = Instant::now();
    let ends = begun + TRAFFIC;
    let number = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for (gateway, front) in deployment.fronts.iter().enumerate() {
        for client in 0..CLIENTS_PER_GATEWAY {
            let (front, record, number) = (*front, Arc::clone(&record), Arc::clone(&number));
            let random = Random::new(
                (gateway * 100 + client) as u64 + u64::from(std::process::id()) * 1_000,
            );
            clients.push(tokio::spawn(send(front, record, number, random, ends)));
        }
    }
    let mut places = vec![0, 1, 2];
    for _ in 0..CRASHES {
        tokio::time::sleep(PAUSE).await;
        if is_troubled {
            deployment.crash(&places, DOWN).await?;
            // Replicas that start again are listed behind the others.
            places = places.iter().map(|place| place + 3).collect();
        } else {
            tokio::time::sleep(DOWN).await;
        }
    }
    let back = Instant::now();
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.extend(client.await?);
    }
    deployment.stop()?;
    let denied = |outcome: &&Outcome| {
        let is_4xx =
            (300..500).contains(&outcome.status) && !matches!(outcome.status, 408 | 421 | 429);
        is_4xx && !outcome.is_signed
    };
    let all = outcomes.len();
    let count = outcomes.iter().filter(denied).count();
    let late: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.sent > back + SETTLED)
        .collect();
    let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
    for outcome in &late {
        *statuses.entry(outcome.status).or_default() += 1;
    }
    let bound = 5 + all / 500;
    let is_kept = count <= bound;
    record.result(&format!(
        "statuses of requests sent {SETTLED:?} after the replicas' last return or later: {statuses:?}"
    ));
    record.result(&format!(
        "{all} proper requests, {count} ended with a 3xx or 4xx of the system's own, {bound} allowed: {}",
        if is_kept { "held" } else { "broken" }
    ));
    Ok(is_kept)
}

/// Sends the same question on a kept channel, again and again.
async fn send(
    front: std::net::SocketAddr,
    record: Arc<Record>,
    number: Arc<AtomicU64>,
    mut random: Random,
    ends: Instant,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection = None;
    while Instant::now() < ends {
        tokio::time::sleep(Duration::from_millis(random.next_below(100))).await;
        let id = format!("{:016x}", number.fetch_add(1, Ordering::Relaxed));
        let request = ClientRequest::new(&id, "mino21.example", "/hugo494/open-papers")
            .timeout(Duration::from_secs(1));
        let opened = match connection.take() {
            Some(connection) => Ok(connection),
            None => Connection::open(front).await,
        };
        let Ok(mut opened) = opened else { continue };
        record.note(&format!("sent {id} to {front}"));
        let sent = Instant::now();
        match opened.send(&request).await {
            Ok(answer) => {
                let (status, code) = (answer.status.as_u16(), answer.code.unwrap_or_default());
                record.note(&format!(
                    "answered {id} {status} {code} whole={}",
                    answer.is_whole
                ));
                outcomes.push(Outcome {
                    sent,
                    status,
                    is_signed: answer.is_signed,
                });
                if answer.is_whole && !answer.closes {
                    connection = Some(opened);
                }
            }
            Err(_) => {
                record.note(&format!("closed {id}"));
                outcomes.push(Outcome {
                    sent,
                    status: 0,
                    is_signed: false,
                });
            }
        }
    }
    outcomes
}

fn config() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "r-session-check", "host": "mino21.example", "path_prefix": "/hugo494/", "kind": "idempotent",
            "timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": "exam-app", "max_attempts": 2,
        }],
        "services": [{"name": "exam-app", "health_path": "/health", "max_connections": 96}],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 1_048_576, "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000,
        },
    })
}
