//! Measures the overhead of requests through two daemons over requests sent directly to the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_demo::run::{publish_table, table};
use ploverwick_names::Offset;
use ploverwick_ports::client::Client;
use ploverwick_ports::header;
use ploverwick_standin::engine;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::system;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const CALLER_COUNTS: [usize; 3] = [1, 16, 64];
const ROUNDS: usize = 3;
const MODEL: &str = "base:school-000@v1";
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// The results of one measurement.
#[derive(Debug, Clone, Serialize)]
struct Row {
    callers: usize,
    /// `direct` or `two daemons`.
    way: &'static str,
    p50_us: u64,
    p99_us: u64,
    requests_per_s: f64,
    requests_per_core_s: f64,
}

/// Starts two daemons and one engine. Returns the fleet, the address for callers of the daemon that
/// does not own the engine, and the address of the engine.
pub(crate) async fn start_fleet(engine: engine::Config) -> Result<(Fleet, SocketAddr, SocketAddr)> {
    let fleet = Fleet::start(Plan {
        daemons: 2,
        engines: 1,
        engine,
        settings: "[limits]\nqueue_per_endpoint = 4096\n".to_owned(),
        ..Plan::default()
    })
    .await?;
    publish_table(&fleet, Offset(0), &table(1)?).await?;
    fleet.wait_ready(READY_TIMEOUT).await?;
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let status = reader.status().await;
    let owners = status
        .answers
        .iter()
        .map(|status| status.owned.iter().any(|endpoint| endpoint.owned));
    let non_owner = owners.into_iter().position(|owns| !owns);
    let entry =
        fleet.caller_addresses()[non_owner.context("one daemon does not own the engine")?];
    let engine = fleet.engine_addresses()[0];
    Ok((fleet, entry, engine))
}

/// Runs all measurements and prints the results.
pub(crate) async fn run(requests: usize, json: bool) -> Result<()> {
    let (_fleet, entry, engine) = start_fleet(engine::Config {
        step: Duration::ZERO,
        batch: 1024,
        ..Plan::default().engine
    })
    .await?;
    // Loads the adapter: the engine refuses direct requests for an adapter that is not loaded.
    send_requests(entry, requests.min(200), 4).await?;
    let mut rows = Vec::new();
    for callers in CALLER_COUNTS {
        let mut direct = Vec::new();
        let mut relayed = Vec::new();
        for _ in 0..ROUNDS {
            direct.push(measure("direct", engine, requests, callers).await?);
            relayed.push(measure("two daemons", entry, requests, callers).await?);
        }
        rows.push(median_round(direct));
        rows.push(median_round(relayed));
    }
    print(&rows, json)
}

/// Returns the round with the median p50.
fn median_round(mut rounds: Vec<Row>) -> Row {
    rounds.sort_by_key(|row| row.p50_us);
    rounds.swap_remove(rounds.len() / 2)
}

async fn measure(
    way: &'static str,
    address: SocketAddr,
    requests: usize,
    callers: usize,
) -> Result<Row> {
    let cpu_time_before = system::thread_cpu_time("bench")?;
    let started = Instant::now();
    let histogram = send_requests(address, requests, callers).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let cpu_time = system::thread_cpu_time("bench")?
        .saturating_sub(cpu_time_before)
        .as_secs_f64();
    Ok(Row {
        callers,
        way,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        requests_per_s: requests as f64 / elapsed,
        requests_per_core_s: requests as f64 / cpu_time.max(1e-9),
    })
}

async fn send_requests(
    address: SocketAddr,
    requests: usize,
    callers: usize,
) -> Result<Histogram<u64>> {
    let remaining = Arc::new(AtomicUsize::new(requests));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let remaining = Arc::clone(&remaining);
        tasks.spawn(async move {
            let client = Client::new();
            let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3)?;
            while remaining
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |remaining| {
                    remaining.checked_sub(1)
                })
                .is_ok()
            {
                let started = Instant::now();
                send_request(&client, address).await?;
                let micros = u64::try_from(started.elapsed().as_micros())?;
                latencies.record(micros.clamp(1, MAX_LATENCY_MICROS))?;
            }
            anyhow::Ok(latencies)
        });
    }
    let mut merged = Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3)?;
    while let Some(latencies) = tasks.join_next().await {
        merged.add(latencies??)?;
    }
    Ok(merged)
}

async fn send_request(client: &Client, address: SocketAddr) -> Result<()> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let body = serde_json::json!({
        "model": MODEL, "prompt": "a question of some length, as they are", "max_tokens": 16,
    });
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header(header::REQUEST, format!("bench-{number}"))
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let response = client.send(address, request).await?;
    let status = response.status();
    response.into_body().collect().await?;
    ensure!(status.is_success(), "the response status was {status}");
    Ok(())
}

fn print(rows: &[Row], json: bool) -> Result<()> {
    if json {
        for row in rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    println!("| callers | way | p50 µs | p99 µs | requests/s | requests/s and core |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!(
            "| {} | {} | {} | {} | {:.0} | {:.0} |",
            row.callers,
            row.way,
            row.p50_us,
            row.p99_us,
            row.requests_per_s,
            row.requests_per_core_s
        );
    }
    println!(
        "\n| callers | added p50 µs | added p99 µs | p50 ratio | p99 ratio | per-core ratio |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for pair in rows.chunks_exact(2) {
        let (direct, relayed) = (&pair[0], &pair[1]);
        let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
        println!(
            "| {} | {} | {} | {:.2} | {:.2} | {:.2} |",
            direct.callers,
            relayed.p50_us.saturating_sub(direct.p50_us),
            relayed.p99_us.saturating_sub(direct.p99_us),
            ratio(relayed.p50_us, direct.p50_us),
            ratio(relayed.p99_us, direct.p99_us),
            relayed.requests_per_core_s / direct.requests_per_core_s.max(1e-9)
        );
    }
    Ok(())
}
