//! The time until a new table is in force on all daemons, and until a failed owner is replaced.

use std::fmt::Write;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hdrhistogram::Histogram;
use ploverwick_daemon::Daemon;
use ploverwick_demo::caller::{CallResult, perform};
use ploverwick_demo::fleet::{Fleet, Plan, read_settings, settings};
use ploverwick_demo::run::publish_table;
use ploverwick_demo::work::Work;
use ploverwick_names::{Domain, Instance, Offset};
use ploverwick_operator::Fleet as Reader;
use ploverwick_ports::client::Client;
use ploverwick_ports::roster::{InstanceEntry, State};
use ploverwick_table::{Table, parse};
use ploverwick_timeline::{Event, Kind};
use serde::Serialize;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;

use crate::system;

const DAEMONS: usize = 7;
const ENGINES: usize = 18;
const TABLE_ROWS: usize = 15_000;
const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_MS: u64 = 60_000;
const VICTIMS: usize = 3;
const ROSTER_LAG: Duration = Duration::from_secs(1);

/// Milliseconds from the failure of an owner to each phase of its replacement, up to the first
/// request sent by its successor.
#[derive(Debug, Clone, Serialize)]
struct Failover {
    suspected: u64,
    gone: u64,
    claimed: u64,
    first_request: u64,
}

/// Runs all measurements and prints the results.
pub(crate) async fn run(times: usize, json: bool) -> Result<()> {
    let mut fleet = Fleet::start(Plan {
        daemons: DAEMONS - VICTIMS,
        engines: ENGINES,
        ..Plan::default()
    })
    .await?;
    let mut victims = Vec::new();
    for index in 0..VICTIMS {
        victims.push(Victim::start(&mut fleet, index).await?);
    }
    let mut version = publish_table(&fleet, Offset(0), &table(0)?).await?;
    fleet.wait_ready(TIMEOUT).await?;
    let all_live = measure_publications(&fleet, &mut version, times).await?;
    print("table in force, all daemons live", &all_live, json);
    for victim in victims {
        let failover = measure_failover(&mut fleet, victim).await?;
        println!("{}", serde_json::to_string(&failover)?);
    }
    // Removes the failed daemons from the roster and waits until that is visible.
    fleet.update_roster().await?;
    tokio::time::sleep(ROSTER_LAG).await;
    let some_lost = measure_publications(&fleet, &mut version, times).await?;
    print("table in force, three daemons lost", &some_lost, json);
    Ok(())
}

fn print(label: &str, latencies: &Histogram<u64>, json: bool) {
    let (p50, p99) = (
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
    if json {
        println!(
            "{}",
            serde_json::json!({"what": label, "p50_ms": p50, "p99_ms": p99})
        );
    } else {
        println!(
            "{label}: p50 {p50} ms, p99 {p99} ms, {} times",
            latencies.len()
        );
    }
}

/// Creates a large table in which the row with the higher weight depends on the revision.
fn table(revision: usize) -> Result<Table> {
    let mut csv = String::from("name,version,weight,priority\n*,,1,4\n");
    for index in 0..TABLE_ROWS {
        let weight = if index == revision % TABLE_ROWS { 2 } else { 1 };
        let _ = writeln!(csv, "school-{index:03},v1,{weight},5");
    }
    parse::parse(&csv).map_err(|findings| anyhow::anyhow!("{} findings", findings.len()))
}

async fn measure_publications(
    fleet: &Fleet,
    version: &mut Offset,
    times: usize,
) -> Result<Histogram<u64>> {
    let reader = Reader::read(fleet.roster_address()).await?;
    let mut histogram = Histogram::<u64>::new_with_max(MAX_MS, 3)?;
    for revision in 1..=times {
        let table = table(revision + usize::try_from(version.0)?)?;
        let started = Instant::now();
        *version = publish_table(fleet, *version, &table).await?;
        let (updated, total, _) = reader.wait_in_force(*version, TIMEOUT).await;
        anyhow::ensure!(updated == total, "in force on {updated} of {total} daemons");
        histogram.record(u64::try_from(started.elapsed().as_millis())?.max(1))?;
    }
    Ok(histogram)
}

/// A daemon on a separate runtime, so that it can be stopped abruptly at any await point.
struct Victim {
    name: String,
    runtime: Runtime,
}

impl Victim {
    async fn start(fleet: &mut Fleet, index: usize) -> Result<Self> {
        let name = format!("victim-{index}");
        let text = settings(&name, "lac", fleet.log_address(), fleet.roster_address());
        let settings = read_settings(&text)?;
        let runtime = system::runtime("victim")?;
        let (sender, started) = oneshot::channel();
        runtime.spawn(async move {
            let Ok(daemon) = Daemon::start(settings).await else {
                return;
            };
            let _ = sender.send((daemon.callers(), daemon.peers(), daemon.admin()));
            std::future::pending::<()>().await;
            drop(daemon);
        });
        let (callers, peers, admin) = started.await.context("start the victim")?;
        let entry = InstanceEntry {
            name: Instance::new(&name)?,
            state: State::Live,
            failure_domain: Domain::new("lac")?,
            peers,
            admin,
        };
        fleet.add_external(entry, callers).await?;
        Ok(Self { name, runtime })
    }
}

/// Stops a daemon without a shutdown and follows the reactions of the others on the timeline.
async fn measure_failover(fleet: &mut Fleet, victim: Victim) -> Result<Failover> {
    let reader = Reader::read(fleet.roster_address()).await?;
    let status = reader.status().await;
    let name = victim.name;
    let victim_status = status.answers.iter().find(|status| status.instance == name);
    let victim_status = victim_status.context("no status of the victim")?;
    let owned_endpoints: Vec<String> = victim_status
        .owned
        .iter()
        .filter(|endpoint| endpoint.owned)
        .map(|endpoint| endpoint.endpoint.to_string())
        .collect();
    let started = ploverwick_timeline::clock::now_millis();
    victim.runtime.shutdown_background();
    fleet.fail(&name);
    let deadline = Instant::now() + TIMEOUT;
    let client = Client::new();
    let mut number = 0;
    loop {
        anyhow::ensure!(
            Instant::now() < deadline,
            "no successor sent a request in time"
        );
        number += 1;
        let work = work(&format!("{name}-{number}"), number);
        let outcome = perform(&client, &fleet.caller_addresses(), number, &work, None).await;
        anyhow::ensure!(
            matches!(outcome.result, CallResult::Complete(_)),
            "{:?}",
            outcome.result
        );
        let events: Vec<Event> = reader.timelines(&[]).await.answers.concat();
        let millis_since_start =
            |found: Option<&Event>| found.map(|event| event.stamp.millis().saturating_sub(started));
        let after = |event: &&Event| event.stamp.millis() >= started;
        let first_report = |state: &str| {
            let text = format!("is {state}");
            let reports = events.iter().filter(after).filter(|event| {
                event.kind == Kind::Member
                    && event.what.starts_with(&name)
                    && event.what.ends_with(&text)
            });
            reports.min_by_key(|event| event.stamp)
        };
        let at_owned_endpoint = |event: &&Event| {
            let endpoint = event.endpoint.as_ref().map(ToString::to_string);
            endpoint.is_some_and(|endpoint| owned_endpoints.contains(&endpoint))
        };
        let first_event = |kind: Kind, text: &str| {
            let found = events.iter().filter(after).filter(at_owned_endpoint);
            let found = found.filter(|event| event.kind == kind && event.what.starts_with(text));
            found.min_by_key(|event| event.stamp)
        };
        let claimed = first_event(Kind::Ownership, "owned here");
        let served = claimed.and_then(|claimed| {
            let sent = events.iter().filter(at_owned_endpoint).filter(|event| {
                event.stamp > claimed.stamp && event.what.starts_with("attempt sent")
            });
            sent.min_by_key(|event| event.stamp)
        });
        if let (Some(suspected), Some(gone), Some(claimed), Some(served)) = (
            millis_since_start(first_report("suspect")),
            millis_since_start(first_report("gone")),
            millis_since_start(claimed),
            millis_since_start(served),
        ) {
            return Ok(Failover {
                suspected,
                gone,
                claimed,
                first_request: served,
            });
        }
    }
}

fn work(tag: &str, number: usize) -> Work {
    Work {
        tag: tag.to_owned(),
        adapter: format!("school-{:03}", number % 200),
        version: Some("v1".to_owned()),
        tokens: 2,
        stream: false,
        non_idempotent: false,
        duplicated: false,
    }
}
