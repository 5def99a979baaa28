//! Streams through two daemons, against streams straight from the engine.

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

const STREAMS: [usize; 3] = [1, 100, 2000];
/// The time between two tokens at the engine: what the users allow at the most.
const STEP: Duration = Duration::from_millis(50);
const MODEL: &str = "base:school-000@v1";
/// The time between the starts of two streams.
const STAGGER: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_secs(20);
const MAX_MICROS: u64 = 60_000_000;

/// A row of the measurement.
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

/// Runs the measurement and prints it.
pub(crate) async fn run(tokens: usize, json: bool) -> Result<()> {
    let (_fleet, entry, engine) = relay::fleet(engine::Config {
        step: STEP,
        batch: 4096,
        ..Plan::default().engine
    })
    .await?;
    stream_all(entry, 4, 2).await?;
    let mut rows = Vec::new();
    for streams in STREAMS {
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
    let memory = system::resident()?;
    let before = system::threads_time("bench")?;
    let (gaps, peak) = stream_all(address, streams, tokens).await?;
    let busy = system::threads_time("bench")?
        .saturating_sub(before)
        .as_secs_f64();
    let grown = i64::try_from(peak)? - i64::try_from(memory)?;
    Ok(Row {
        streams,
        way,
        gap_p50_us: gaps.value_at_quantile(0.5),
        gap_p95_us: gaps.value_at_quantile(0.95),
        gap_p99_us: gaps.value_at_quantile(0.99),
        tokens_per_core_s: (streams * tokens) as f64 / busy.max(1e-9),
        memory_per_stream: grown / i64::try_from(streams)?,
    })
}

/// Runs streams side by side; returns the gaps between their events and the memory in their midst.
async fn stream_all(
    address: SocketAddr,
    streams: usize,
    tokens: usize,
) -> Result<(Histogram<u64>, u64)> {
    let begun = Arc::new(Semaphore::new(0));
    let mut tasks = JoinSet::new();
    let client = Client::new();
    for _ in 0..streams {
        let client = client.clone();
        let begun = Arc::clone(&begun);
        // All at once would overflow the listener's backlog.
        tokio::time::sleep(STAGGER).await;
        tasks.spawn(async move { stream(&client, address, tokens, &begun).await });
    }
    // If a stream fails before it begins, its error shows below.
    let all_begun = begun.acquire_many(u32::try_from(streams)?);
    let _ = tokio::time::timeout(PATIENCE, all_begun).await;
    let peak = system::resident()?;
    let mut all = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    while let Some(gaps) = tasks.join_next().await {
        all.add(gaps??)?;
    }
    Ok((all, peak))
}

async fn stream(
    client: &Client,
    address: SocketAddr,
    tokens: usize,
    begun: &Semaphore,
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
        "the answer was {}",
        response.status()
    );
    let mut gaps = Histogram::<u64>::new_with_max(MAX_MICROS, 3)?;
    let mut body = response.into_body();
    let mut last: Option<Instant> = None;
    let mut whole = false;
    while let Some(frame) = body.frame().await {
        let now = Instant::now();
        match last.replace(now) {
            Some(last) => {
                gaps.record(u64::try_from((now - last).as_micros())?.clamp(1, MAX_MICROS))?;
            }
            None => begun.add_permits(1),
        }
        let data = frame?.into_data().unwrap_or_default();
        whole |= data.ends_with(b"[DONE]\n\n");
    }
    ensure!(whole, "a stream broke off");
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
