//! The demonstration: a workload on a small fleet, with a table change and a drain under workload.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use ploverwick_names::Offset;
use ploverwick_operator::{PublishOutcome, publish};
use ploverwick_ports::client::Client;
use ploverwick_serve::{Bounds, Handler, Reply, Server, StopGuard, bytes, stop_channel};
use ploverwick_table::{Table, parse};
use ploverwick_timeline::view::{Filter, merge};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::caller::{Outcome, perform};
use crate::fleet::{Fleet, Plan};
use crate::tally::{Tally, batch_fill, count};
use crate::work::{self, Work};

const ADAPTER_COUNT: usize = 24;
const REQUEST_COUNT: usize = 600;
const CALLER_COUNT: usize = 48;
const TIMEOUT: Duration = Duration::from_secs(8);
/// The number of completed requests at which the table changes.
const TABLE_CHANGE_AT: usize = REQUEST_COUNT / 3;
/// The number of completed requests at which a daemon is drained.
const DRAIN_AT: usize = REQUEST_COUNT / 2;
/// The index of the daemon that is drained.
const DRAINED_DAEMON: usize = 1;

/// The results of the demonstration.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The counts of results and violations.
    #[serde(flatten)]
    pub tally: Tally,
    /// The time until the new table was in force on every daemon, in milliseconds.
    pub table_in_force_ms: u64,
    /// The number of daemons that had it in force, and the number of all daemons.
    pub table_in_force_on: (usize, usize),
    /// The duration of the workload, in milliseconds.
    pub load_ms: u64,
    /// The batch utilization of the engines' busy steps, from 0 to 1.
    pub batch_fill: f64,
}

/// The work, its progress and its outcomes.
struct Workload {
    work: Vec<Work>,
    next: AtomicUsize,
    done: AtomicUsize,
    outcomes: Mutex<Vec<Outcome>>,
}

/// Returns the demonstration's table. In `edition` 2, the first adapter has another pinned version
/// and another weight.
///
/// # Errors
/// Fails if the table has a finding.
pub fn table(edition: u32) -> Result<Table> {
    let mut csv = String::from("name,version,group,weight,priority,limit\n*,,,1,4,\n");
    csv.push_str("group:exams,,,4,7,\n");
    for index in 0..ADAPTER_COUNT {
        let group = if index % 3 == 0 { "exams" } else { "" };
        let changed = edition > 1 && index == 0;
        let version = if changed { "v2" } else { "v1" };
        let weight = if changed { "3" } else { "" };
        let name = work::adapter_name(index);
        let _ = writeln!(csv, "{name},{version},{group},{weight},,");
    }
    parse::parse(&csv).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

/// Publishes a table and returns its version.
///
/// # Errors
/// Fails if the table is not accepted.
pub async fn publish_table(fleet: &Fleet, base: Offset, table: &Table) -> Result<Offset> {
    match publish(&fleet.log(), base, table, "demo").await? {
        PublishOutcome::Accepted(version) => Ok(version),
        outcome => bail!("the table was not accepted: {outcome:?}"),
    }
}

/// Runs the demonstration and returns the fleet, which is still running.
///
/// # Errors
/// Fails if the fleet cannot be started or does not become ready.
pub async fn run(seed: u64) -> Result<(Report, Fleet)> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let base = publish_table(&fleet, Offset(0), &table(1)?).await?;
    fleet.wait_ready(TIMEOUT).await?;
    let workload = Arc::new(Workload {
        work: work::generate(seed, REQUEST_COUNT, ADAPTER_COUNT),
        next: AtomicUsize::new(0),
        done: AtomicUsize::new(0),
        outcomes: Mutex::default(),
    });
    let started = Instant::now();
    let mut callers = start_callers(&workload, &fleet.caller_addresses());
    wait_until_done(&workload, TABLE_CHANGE_AT).await;
    let published_at = Instant::now();
    let version = publish_table(&fleet, base, &table(2)?).await?;
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let (in_force_count, daemon_count, _) = reader.wait_in_force(version, TIMEOUT).await;
    let time_to_force = published_at.elapsed();
    wait_until_done(&workload, DRAIN_AT).await;
    fleet.drain(DRAINED_DAEMON).await?;
    while let Some(joined) = callers.join_next().await {
        joined.context("a caller panicked")?;
    }
    let load_time = started.elapsed();
    let records = fleet.records().await?;
    let outcomes = workload
        .outcomes
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let report = Report {
        tally: count(&outcomes, &records),
        table_in_force_ms: millis(time_to_force),
        table_in_force_on: (in_force_count, daemon_count),
        load_ms: millis(load_time),
        batch_fill: batch_fill(&records),
    };
    drop(outcomes);
    Ok((report, fleet))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

async fn wait_until_done(workload: &Workload, done: usize) {
    while workload.done.load(Ordering::Acquire) < done {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn start_callers(workload: &Arc<Workload>, daemons: &[SocketAddr]) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for _ in 0..CALLER_COUNT {
        callers.spawn(run_caller(Arc::clone(workload), daemons.to_vec()));
    }
    callers
}

/// Runs a caller, which takes the next piece of work until none is left.
async fn run_caller(workload: Arc<Workload>, daemons: Vec<SocketAddr>) {
    let client = Client::new();
    loop {
        let index = workload.next.fetch_add(1, Ordering::AcqRel);
        let Some(work) = workload.work.get(index) else {
            return;
        };
        let key = work
            .non_idempotent
            .then(|| uuid::Uuid::now_v7().to_string());
        let first = perform(&client, &daemons, index, work, key.as_deref());
        let outcome = if work.duplicated {
            let second = perform(&client, &daemons, index + 1, work, key.as_deref());
            let (first, second) = tokio::join!(first, second);
            merge_outcomes(first, second)
        } else {
            first.await
        };
        workload
            .outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(outcome);
        workload.done.fetch_add(1, Ordering::AcqRel);
    }
}

/// Merges the outcomes of two callers of the same work: keeps the result of the one without a
/// complete response, if any, and the attempts of both.
fn merge_outcomes(mut first: Outcome, mut second: Outcome) -> Outcome {
    use crate::caller::CallResult;
    if matches!(first.result, CallResult::Complete(_)) {
        second.attempts.append(&mut first.attempts);
        second
    } else {
        first.attempts.append(&mut second.attempts);
        first
    }
}

/// Renders the merged timeline of all processes as an HTML page.
///
/// # Errors
/// Fails if the roster does not respond.
pub async fn timeline_page(fleet: &Fleet) -> Result<String> {
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let stand_ins = [fleet.store_address(), fleet.log_address()];
    let responses = reader.timelines(&stand_ins).await;
    let events = merge(responses.answers, &Filter::default());
    Ok(ploverwick_timeline::page(&events))
}

/// Serves the merged timeline of a fleet, rendered for each request.
struct TimelinePage {
    fleet: Arc<Fleet>,
}

impl Handler for TimelinePage {
    async fn handle(&self, _: Request<Incoming>) -> std::io::Result<Reply> {
        let page = timeline_page(&self.fleet).await;
        let page = page.map_err(|error| std::io::Error::other(error.to_string()))?;
        Ok(bytes(StatusCode::OK, "text/html; charset=utf-8", page))
    }
}

/// A handle to a served page, which is served until the handle is dropped.
pub struct ServedPage {
    server: Server,
    _stopper: StopGuard,
}

impl ServedPage {
    /// Returns the address of the page.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Serves the merged timeline of a fleet on a free port.
///
/// # Errors
/// Fails if no port can be bound.
pub async fn serve_timeline(fleet: Arc<Fleet>) -> Result<ServedPage> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let (stopper, stop) = stop_channel();
    let handler = Arc::new(TimelinePage { fleet });
    let server = Server::start(listener, handler, Bounds::default(), stop)?;
    Ok(ServedPage {
        server,
        _stopper: stopper,
    })
}
