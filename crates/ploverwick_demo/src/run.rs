//! The demonstration: a load on a small fleet, a table change and a leaving daemon in its middle.

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

const ADAPTERS: usize = 24;
const REQUESTS: usize = 600;
const CALLERS: usize = 48;
const PATIENCE: Duration = Duration::from_secs(8);
/// The share of the work after which the table changes, and the daemon leaves.
const TABLE_CHANGE: usize = REQUESTS / 3;
const DRAIN: usize = REQUESTS / 2;
/// The daemon that leaves.
const LEAVING: usize = 1;

/// How the demonstration went.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// What was kept and what was broken.
    #[serde(flatten)]
    pub tally: Tally,
    /// How long the new table took to be in force on every daemon, in milliseconds.
    pub table_in_force_ms: u64,
    /// How many daemons had it in force, of how many.
    pub table_in_force_on: (usize, usize),
    /// How long the whole load took, in milliseconds.
    pub load_ms: u64,
    /// How full the engines' busy steps were, from 0 to 1.
    pub batch_fill: f64,
}

/// The work, its progress and what came of it.
struct Load {
    work: Vec<Work>,
    next: AtomicUsize,
    done: AtomicUsize,
    outcomes: Mutex<Vec<Outcome>>,
}

/// Makes the demonstration's table; `edition` 2 moves a pinned version and a weight.
///
/// # Errors
/// Fails if the table made here has a finding.
pub fn table(edition: u32) -> Result<Table> {
    let mut csv = String::from("name,version,group,weight,priority,limit\n*,,,1,4,\n");
    csv.push_str("group:exams,,,4,7,\n");
    for index in 0..ADAPTERS {
        let group = if index % 3 == 0 { "exams" } else { "" };
        let moved = edition > 1 && index == 0;
        let version = if moved { "v2" } else { "v1" };
        let weight = if moved { "3" } else { "" };
        let name = work::adapter(index);
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
        other => bail!("the table was not accepted: {other:?}"),
    }
}

/// Runs the demonstration. The fleet is handed back, still running.
///
/// # Errors
/// Fails if the fleet cannot be started or does not become ready.
pub async fn run(seed: u64) -> Result<(Report, Fleet)> {
    let mut fleet = Fleet::start(Plan::default()).await?;
    let first = publish_table(&fleet, Offset(0), &table(1)?).await?;
    fleet.wait_ready(PATIENCE).await?;
    let load = Arc::new(Load {
        work: work::make(seed, REQUESTS, ADAPTERS),
        next: AtomicUsize::new(0),
        done: AtomicUsize::new(0),
        outcomes: Mutex::default(),
    });
    let started = Instant::now();
    let mut callers = start_callers(&load, &fleet.callers());
    wait_for(&load, TABLE_CHANGE).await;
    let change = Instant::now();
    let version = publish_table(&fleet, first, &table(2)?).await?;
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let (there, all, _) = reader.wait_in_force(version, PATIENCE).await;
    let in_force = change.elapsed();
    wait_for(&load, DRAIN).await;
    fleet.drain(LEAVING).await?;
    while let Some(joined) = callers.join_next().await {
        joined.context("a caller broke down")?;
    }
    let load_time = started.elapsed();
    let records = fleet.records().await?;
    let outcomes = load.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
    let report = Report {
        tally: count(&outcomes, &records),
        table_in_force_ms: millis(in_force),
        table_in_force_on: (there, all),
        load_ms: millis(load_time),
        batch_fill: batch_fill(&records),
    };
    drop(outcomes);
    Ok((report, fleet))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

async fn wait_for(load: &Load, done: usize) {
    while load.done.load(Ordering::Acquire) < done {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn start_callers(load: &Arc<Load>, entries: &[SocketAddr]) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call(Arc::clone(load), entries.to_vec()));
    }
    callers
}

/// One caller: takes the next piece of work until there is none.
async fn call(load: Arc<Load>, entries: Vec<SocketAddr>) {
    let client = Client::new();
    loop {
        let index = load.next.fetch_add(1, Ordering::AcqRel);
        let Some(work) = load.work.get(index) else {
            return;
        };
        let key = work
            .non_idempotent
            .then(|| uuid::Uuid::now_v7().to_string());
        let mine = perform(&client, &entries, index, work, key.as_deref());
        let outcome = if work.doubled {
            let other = perform(&client, &entries, index + 1, work, key.as_deref());
            let (mine, other) = tokio::join!(mine, other);
            worse(mine, other)
        } else {
            mine.await
        };
        load.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(outcome);
        load.done.fetch_add(1, Ordering::AcqRel);
    }
}

/// Of two callers of the same work, keeps the one without the whole answer; with both callers'
/// tries.
fn worse(mut mine: Outcome, mut other: Outcome) -> Outcome {
    use crate::caller::Got;
    if matches!(mine.got, Got::Whole(_)) {
        other.tries.append(&mut mine.tries);
        other
    } else {
        mine.tries.append(&mut other.tries);
        mine
    }
}

/// Merges the time lines of all processes into one page.
///
/// # Errors
/// Fails if the list of instances does not answer.
pub async fn timeline_page(fleet: &Fleet) -> Result<String> {
    let reader = ploverwick_operator::Fleet::read(fleet.roster_address()).await?;
    let further = [fleet.store_address(), fleet.log_address()];
    let reading = reader.timelines(&further).await;
    let events = merge(reading.answers, &Filter::default());
    Ok(ploverwick_timeline::page(&events))
}

/// Serves the merged time line of a fleet, made anew for each look at it.
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

/// A page that is served until it is dropped.
pub struct ServedPage {
    server: Server,
    _stopper: StopGuard,
}

impl ServedPage {
    /// Returns where the page is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Serves the merged time line of a fleet on a free port.
///
/// # Errors
/// Fails if no port can be listened on.
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
