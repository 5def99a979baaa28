//! The rate of log appends as a function of the rate of non-idempotent requests.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use http::Method;
use ploverwick_demo::caller::{CallResult, perform};
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_demo::run::{publish_table, table};
use ploverwick_demo::work::Work;
use ploverwick_names::Offset;
use ploverwick_ports::client::Client;
use ploverwick_standin::engine;
use ploverwick_standin::log::Stats;
use tokio::task::JoinSet;

use super::Series;
use crate::system;

const DAEMONS: usize = 7;
const REQUESTS_PER_SECOND: [u64; 5] = [20, 40, 80, 160, 290];
/// A tenth of the request rate expected in two years.
const TARGET_REQUESTS_PER_SECOND: f64 = 290.0;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Measures the rate of appends at five request rates.
///
/// # Errors
/// Fails if the fleet does not start or a request fails.
pub(crate) fn measure(seconds: u64) -> Result<Vec<Series>> {
    let runtime = system::runtime("claims")?;
    let points = runtime.block_on(measure_points(seconds))?;
    runtime.shutdown_background();
    Ok(vec![Series {
        name: "claims-appends",
        title: "log: appends a second",
        x_label: "non-idempotent requests a second",
        points,
        target: TARGET_REQUESTS_PER_SECOND,
    }])
}

async fn measure_points(seconds: u64) -> Result<Vec<(f64, f64)>> {
    let fleet = Fleet::start(Plan {
        daemons: DAEMONS,
        engines: 4,
        engine: engine::Config {
            slots: 64,
            batch: 256,
            step: Duration::from_millis(2),
            ..Plan::default().engine
        },
        ..Plan::default()
    })
    .await?;
    publish_table(&fleet, Offset(0), &table(1)?).await?;
    fleet.wait_ready(TIMEOUT).await?;
    send_requests(&fleet, 50, 2).await?;
    let mut points = Vec::new();
    for rate in REQUESTS_PER_SECOND {
        eprintln!("{rate} non-idempotent requests a second for {seconds} s");
        let before = count_appends(&fleet).await?;
        let started = Instant::now();
        send_requests(&fleet, rate, seconds).await?;
        let elapsed = started.elapsed().as_secs_f64();
        let appended = count_appends(&fleet).await? - before;
        points.push((rate as f64, appended as f64 / elapsed));
    }
    Ok(points)
}

async fn count_appends(fleet: &Fleet) -> Result<u64> {
    let call = Client::new()
        .call::<(), Stats>(Method::GET, fleet.log_address(), "/stats", None, TIMEOUT)
        .await;
    Ok(call.context("read the log's statistics")?.appends)
}

async fn send_requests(fleet: &Fleet, rate: u64, seconds: u64) -> Result<()> {
    let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / rate as f64));
    let client = Client::new();
    let entries = fleet.caller_addresses();
    let mut tasks = JoinSet::new();
    for number in 0..usize::try_from(rate * seconds)? {
        ticks.tick().await;
        let client = client.clone();
        let entries = entries.clone();
        tasks.spawn(async move {
            let work = Work {
                tag: format!("{rate}-{number}"),
                adapter: format!("school-{:03}", number % 12),
                version: Some("v1".to_owned()),
                tokens: 2,
                stream: false,
                non_idempotent: true,
                duplicated: false,
            };
            let key = uuid::Uuid::now_v7().to_string();
            perform(&client, &entries, number, &work, Some(&key))
                .await
                .result
        });
    }
    while let Some(got) = tasks.join_next().await {
        let got = got?;
        anyhow::ensure!(
            matches!(got, CallResult::Complete(_)),
            "a request failed: {got:?}"
        );
    }
    Ok(())
}
