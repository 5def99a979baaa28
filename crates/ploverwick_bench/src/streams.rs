//! The overhead of streams through two daemons compared with streams directly from the engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use ploverwick_demo::fleet::Plan;
use ploverwick_ports::client::Client;
use ploverwick_ports::header;
use ploverwick_standin::engine;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::{relay, system};

const STREAM_COUNTS: [usize; 3] = [1, 100, 2000];
/// The time between two tokens at the engine: the maximum gap that the users accept.
const TOKEN_INTERVAL: Duration = Duration::from_millis(50);
const MODEL: &str = "base:school-000@v1";
/// The time between the starts of two streams. Starting all streams at once would overflow the
/// listener's backlog.
const START_INTERVAL: Duration = Duration::from_millis(1);
const START_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_MICROS: u64 = 60_000_000;

/// The results of one measurement.
#[derive(Debug, Clone, Serialize)]
struct Row {
    streams: usize,
    way: &'static str,
    gap_p50_us: u64,
    gap_p95_us: u64,
    gap_p99_us: u64,
    tokens_per_core_s: f64,
    memory_per_stream: i64,
}

/// Runs all measurements and prints the results.
pub(crate) async fn run(tokens: usize, json: bool) -> Result<()> {
    let (_fleet, entry, engine) = relay::start_fleet(engine::Config {
        step: TOKEN_INTERVAL,
        batch: 4096,
        ..Plan::default().engine
    })
    .await?;
    run_streams(entry, 4, 2).await?;
    let mut rows = Vec::new();
    for streams in STREAM_COUNTS {
        rows.push(measure("direct", engine, streams, tokens).await?);
        rows.push(measure("two daemons", entry, streams, tokens).await?);
    }
    print(&rows, json)
}

async fn measure(
    way: &'static str,
    address: SocketAddr,
    streams: usize,
    tokens: usize,
) -> Result<Row> {
    let memory_before = system::resident_bytes()?;
    let cpu_time_before = system::thread_cpu_time("bench")?;
    let (gaps, memory) = run_streams(address, streams, tokens).await?;
    let cpu_time = system::thread_cpu_time("bench")?
        .saturating_sub(cpu_time_before)
        .as_secs_f64();
    let memory_growth = i64::try_from(memory)? - i64::try_from(memory_before)?;
    Ok(Row {
        streams,
        way,
        gap_p50_us: gaps.value_at_quantile(0.5),
        gap_p95_us: gaps.value_at_quantile(0.95),
        gap_p99_us: gaps.value_at_quantile(0.99),
        tokens_per_core_s: (streams * tokens) as f64 / cpu_time.max(1e-9),
        memory_per_stream: memory_growth / i64::try_from(streams)?,
    })
}

/// Runs concurrent streams. Returns the gaps between their events, and the resident memory while
/// all of them are running.
async fn run_streams(
    address: SocketAddr,
    streams: usize,
    tokens: usize,
) -> Result<(Histogram<u64>, u64)> {
    let started = Arc::new(Semaphore::new(0));
    let mut tasks = JoinSet::new();
    let client = Client::new();
    for _ in 0..streams {
        let client = client.clone();
        let started = Arc::clone(&started);
        tokio::time::sleep(START_INTERVAL).await;
        tasks.spawn(async move { run_stream(&client, address, tokens, &started).await });
    }
    // A stream that fails before its first event makes this time out; its error is returned below.
    let all_started = started.acquire_many(u32::try_from(streams)?);
    let _ = tokio::time::timeout(START_TIMEOUT, all_started).await;
    let memory = system::resident_bytes()?;
    let mut merged = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    while let Some(gaps) = tasks.join_next().await {
        merged.add(gaps??)?;
    }
    Ok((merged, memory))
}

async fn run_stream(
    client: &Client,
    address: SocketAddr,
    tokens: usize,
    started: &Semaphore,
) -> Result<Histogram<u64>> {
    static NUMBER: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let body = serde_json::json!({"model": MODEL, "max_tokens": tokens, "stream": true});
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header(header::REQUEST, format!("stream-{number}"))
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let response = client.send(address, request).await?;
    ensure!(
        response.status().is_success(),
        "the response status was {}",
        response.status()
    );
    let mut gaps = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    let mut body = response.into_body();
    let mut last: Option<Instant> = None;
    let mut complete = false;
    while let Some(frame) = body.frame().await {
        let now = Instant::now();
        match last.replace(now) {
            Some(last) => {
                gaps.record(u64::try_from((now - last).as_micros())?.clamp(1, MAX_MICROS))?;
            }
            None => started.add_permits(1),
        }
        let data = frame?.into_data().unwrap_or_default();
        complete |= data.ends_with(b"[DONE]\n\n");
    }
    ensure!(complete, "a stream ended early");
    Ok(gaps)
}

fn print(rows: &[Row], json: bool) -> Result<()> {
    if json {
        for row in rows {
            println!("{}", serde_json::to_string(row)?);
        }
        return Ok(());
    }
    println!(
        "| streams | way | gap p50 µs | p95 | p99 | tokens/s and core | memory a stream, KiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for row in rows {
        println!(
            "| {} | {} | {} | {} | {} | {:.0} | {:.1} |",
            row.streams,
            row.way,
            row.gap_p50_us,
            row.gap_p95_us,
            row.gap_p99_us,
            row.tokens_per_core_s,
            row.memory_per_stream as f64 / 1024.0
        );
    }
    Ok(())
}
