//! The cost of the way through two daemons, against the way straight to the engine.

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

const PATIENCE: Duration = Duration::from_secs(20);
const CALLERS: [usize; 3] = [1, 16, 64];
const ROUNDS: usize = 3;
const MODEL: &str = "base:school-000@v1";
const MAX_MICROS: u64 = 60_000_000;

/// A row of the measurement.
#[derive(Debug, Clone, Serialize)]
struct Row {
    callers: usize,
    way: &'static str,
    p50_us: u64,
    p99_us: u64,
    requests_per_s: f64,
    requests_per_core_s: f64,
}

/// Starts two daemons and one engine, and finds the entry that does not own it.
pub(crate) async fn fleet(engine: engine::Config) -> Result<(Fleet, SocketAddr, SocketAddr)> {
    let fleet = Fleet::start(Plan {
        daemons: 2,
        engines: 1,
        engine,
        settings: "[limits]\nqueue_per_endpoint = 4096\n".to_owned(),
        ..Plan::default()
    })
    .await?;
    publish_table(&fleet, Offset(0), &table(1)?).await?;
    fleet.wait_ready(PATIENCE).await?;
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let status = reader.status().await;
    let owners = status
        .answers
        .iter()
        .map(|status| status.owned.iter().any(|endpoint| endpoint.owned));
    let other = owners.into_iter().position(|owns| !owns);
    let entry = fleet.caller_addresses()[other.context("one daemon does not own the engine")?];
    let engine = fleet.engine_addresses()[0];
    Ok((fleet, entry, engine))
}

/// Runs the measurement and prints it.
pub(crate) async fn run(requests: usize, json: bool) -> Result<()> {
    let (_fleet, entry, engine) = fleet(engine::Config {
        step: Duration::ZERO,
        batch: 1024,
        ..Plan::default().engine
    })
    .await?;
    // The first request loads the adapter, for the direct way too.
    load(entry, requests.min(200), 4).await?;
    let mut rows = Vec::new();
    for callers in CALLERS {
        let mut direct = Vec::new();
        let mut relayed = Vec::new();
        for _ in 0..ROUNDS {
            direct.push(measure("direct", engine, requests, callers).await?);
            relayed.push(measure("two daemons", entry, requests, callers).await?);
        }
        rows.push(middle(direct));
        rows.push(middle(relayed));
    }
    print(&rows, json)
}

/// Takes the round with the median p50.
fn middle(mut rounds: Vec<Row>) -> Row {
    rounds.sort_by_key(|row| row.p50_us);
    rounds.swap_remove(rounds.len() / 2)
}

async fn measure(
    way: &'static str,
    address: SocketAddr,
    requests: usize,
    callers: usize,
) -> Result<Row> {
    let before = system::threads_time("bench")?;
    let started = Instant::now();
    let histogram = load(address, requests, callers).await?;
    let took = started.elapsed().as_secs_f64();
    let busy = system::threads_time("bench")?
        .saturating_sub(before)
        .as_secs_f64();
    Ok(Row {
        callers,
        way,
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
        requests_per_s: requests as f64 / took,
        requests_per_core_s: requests as f64 / busy.max(1e-9),
    })
}

async fn load(address: SocketAddr, requests: usize, callers: usize) -> Result<Histogram<u64>> {
    let left = Arc::new(AtomicUsize::new(requests));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let left = Arc::clone(&left);
        tasks.spawn(async move {
            let client = Client::new();
            let mut times = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
            while left
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| {
                    left.checked_sub(1)
                })
                .is_ok()
            {
                let started = Instant::now();
                call(&client, address).await?;
                let micros = u64::try_from(started.elapsed().as_micros())?;
                times.record(micros.clamp(1, MAX_MICROS))?;
            }
            anyhow::Ok(times)
        });
    }
    let mut all = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    while let Some(times) = tasks.join_next().await {
        all.add(times??)?;
    }
    Ok(all)
}

async fn call(client: &Client, address: SocketAddr) -> Result<()> {
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
    ensure!(status.is_success(), "the answer was {status}");
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
