//! How long a table takes to be in force, and an owner to be replaced.

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
const ROWS: usize = 15_000;
const PATIENCE: Duration = Duration::from_secs(20);
const MAX_MS: u64 = 60_000;
const DEATHS: usize = 3;
const LIST_LAG: Duration = Duration::from_secs(1);

/// The phases from an owner's death to its successor's first request, in milliseconds.
#[derive(Debug, Clone, Serialize)]
struct Death {
    suspected: u64,
    gone: u64,
    claimed: u64,
    first_request: u64,
}

/// Runs the measurement and prints it.
pub(crate) async fn run(times: usize, json: bool) -> Result<()> {
    let mut fleet = Fleet::start(Plan {
        daemons: DAEMONS - DEATHS,
        engines: ENGINES,
        ..Plan::default()
    })
    .await?;
    let mut victims = Vec::new();
    for index in 0..DEATHS {
        victims.push(Victim::start(&mut fleet, index).await?);
    }
    let mut version = publish_table(&fleet, Offset(0), &table(0)?).await?;
    fleet.wait_ready(PATIENCE).await?;
    let all = tables(&fleet, &mut version, times).await?;
    show("table in force, all daemons live", &all, json);
    for victim in victims {
        let death = death(&mut fleet, victim).await?;
        println!("{}", serde_json::to_string(&death)?);
    }
    // The platform's list catches up with the deaths.
    fleet.update_roster().await?;
    tokio::time::sleep(LIST_LAG).await;
    let fewer = tables(&fleet, &mut version, times).await?;
    show("table in force, three daemons lost", &fewer, json);
    Ok(())
}

fn show(what: &str, times: &Histogram<u64>, json: bool) {
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    if json {
        println!(
            "{}",
            serde_json::json!({"what": what, "p50_ms": p50, "p99_ms": p99})
        );
    } else {
        println!("{what}: p50 {p50} ms, p99 {p99} ms, {} times", times.len());
    }
}

/// Makes a table of many rows, of which one differs by edition.
fn table(edition: usize) -> Result<Table> {
    let mut csv = String::from("name,version,weight,priority\n*,,1,4\n");
    for index in 0..ROWS {
        let weight = if index == edition % ROWS { 2 } else { 1 };
        let _ = writeln!(csv, "school-{index:03},v1,{weight},5");
    }
    parse::parse(&csv).map_err(|findings| anyhow::anyhow!("{} findings", findings.len()))
}

async fn tables(fleet: &Fleet, version: &mut Offset, times: usize) -> Result<Histogram<u64>> {
    let reader = Reader::read(fleet.roster_address()).await?;
    let mut histogram = Histogram::<u64>::new_with_max(MAX_MS, 3)?;
    for edition in 1..=times {
        let table = table(edition + usize::try_from(version.0)?)?;
        let started = Instant::now();
        *version = publish_table(fleet, *version, &table).await?;
        let (there, all, _) = reader.wait_in_force(*version, PATIENCE).await;
        anyhow::ensure!(there == all, "in force on {there} of {all}");
        histogram.record(u64::try_from(started.elapsed().as_millis())?.max(1))?;
    }
    Ok(histogram)
}

/// A daemon in a runtime of its own, so that it can end between two instructions.
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
        let (callers, peers, admin) = started.await.context("the victim starts")?;
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

/// Ends a daemon without a word and follows what the others do.
async fn death(fleet: &mut Fleet, victim: Victim) -> Result<Death> {
    let reader = Reader::read(fleet.roster_address()).await?;
    let status = reader.status().await;
    let name = victim.name;
    let owned = status.answers.iter().find(|status| status.instance == name);
    let owned = owned.context("the victim answers")?;
    let lost: Vec<String> = owned
        .owned
        .iter()
        .filter(|endpoint| endpoint.owned)
        .map(|endpoint| endpoint.endpoint.to_string())
        .collect();
    let started = ploverwick_timeline::clock::now_millis();
    victim.runtime.shutdown_background();
    fleet.fail(&name);
    let deadline = Instant::now() + PATIENCE;
    let client = Client::new();
    let mut number = 0;
    loop {
        anyhow::ensure!(
            Instant::now() < deadline,
            "the successor served nothing in time"
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
        let since =
            |found: Option<&Event>| found.map(|event| event.stamp.millis().saturating_sub(started));
        let after = |event: &&Event| event.stamp.millis() >= started;
        let member = |state: &str| {
            let text = format!("is {state}");
            let said = events.iter().filter(after).filter(|event| {
                event.kind == Kind::Member
                    && event.what.starts_with(&name)
                    && event.what.ends_with(&text)
            });
            said.min_by_key(|event| event.stamp)
        };
        let at_lost = |event: &&Event| {
            let endpoint = event.endpoint.as_ref().map(ToString::to_string);
            endpoint.is_some_and(|endpoint| lost.contains(&endpoint))
        };
        let first = |kind: Kind, text: &str| {
            let found = events.iter().filter(after).filter(at_lost);
            let found = found.filter(|event| event.kind == kind && event.what.starts_with(text));
            found.min_by_key(|event| event.stamp)
        };
        let claimed = first(Kind::Ownership, "owned here");
        let served = claimed.and_then(|claimed| {
            let sent = events.iter().filter(at_lost).filter(|event| {
                event.stamp > claimed.stamp && event.what.starts_with("attempt sent")
            });
            sent.min_by_key(|event| event.stamp)
        });
        if let (Some(suspected), Some(gone), Some(claimed), Some(served)) = (
            since(member("suspect")),
            since(member("gone")),
            since(claimed),
            since(served),
        ) {
            return Ok(Death {
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
