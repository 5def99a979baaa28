//! Daemons in separate processes are killed and restarted, or suspended and resumed, under load.
//! The engines' own records must then show that no delivery guarantee was violated.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::process::{Daemon, add_to_roster};
use googletest::prelude::*;
use ploverwick_demo::caller::{Outcome, perform};
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_demo::run::{publish_table, table};
use ploverwick_demo::tally::count;
use ploverwick_demo::work::{self, Work};
use ploverwick_names::Offset;
use ploverwick_ports::client::Client;
use tokio::task::JoinSet;

const CALLERS: usize = 16;
const ADAPTERS: usize = 12;
const FAULTS: usize = 6;
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long a daemon is suspended: longer than it takes its peers to consider it gone.
const PAUSE: Duration = Duration::from_millis(3500);
const FAULT_INTERVAL: Duration = Duration::from_millis(1200);

/// Short intervals and timeouts, so that faults are detected quickly.
const SHORT_TIMEOUTS: &str = "[membership]\nbeat_ms = 200\nprobe_timeout_ms = 100\nsuspect_ms = 800\n\
                     [ownership]\norder_lag_ms = 500\n";

#[tokio::test(flavor = "multi_thread")]
async fn restarted_and_suspended_daemons() {
    let mut fleet = Fleet::start(Plan {
        daemons: 0,
        engines: 4,
        ..Plan::default()
    })
    .await
    .expect("start the stand-ins");
    let table = table(1).expect("invalid table");
    publish_table(&fleet, Offset(0), &table)
        .await
        .expect("publish the table");
    let mut daemons = Vec::new();
    for index in 0..3 {
        let daemon = Daemon::start(&fleet, index, SHORT_TIMEOUTS);
        add_to_roster(&mut fleet, &daemon).await;
        daemons.push(daemon);
    }
    fleet
        .wait_ready(TIMEOUT)
        .await
        .expect("the fleet is not ready in time");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = start_callers(&fleet, &stop);
    for fault in 0..FAULTS {
        tokio::time::sleep(FAULT_INTERVAL).await;
        let index = fault % daemons.len();
        if fault % 2 == 0 {
            daemons[index].pause();
            tokio::time::sleep(PAUSE).await;
            daemons[index].resume();
        } else {
            // The next incarnation uses the same name and ports.
            daemons[index].kill();
            daemons[index] = Daemon::restart(&fleet, &daemons[index], SHORT_TIMEOUTS);
        }
    }
    fleet
        .wait_ready(TIMEOUT)
        .await
        .expect("the fleet did not recover in time");
    stop.store(true, Ordering::Release);
    let mut outcomes = Vec::new();
    while let Some(joined) = callers.join_next().await {
        outcomes.extend(joined.expect("a caller panicked"));
    }
    let records = fleet.records().await.expect("read the engines' records");
    let tally = count(&outcomes, &records);
    println!("{tally:?}");
    assert_that!(tally.wrong_adapter, eq(0));
    assert_that!(tally.run_twice, eq(0));
    assert_that!(tally.lost, eq(0));
    assert_that!(tally.refused_but_ran, eq(0));
    assert_that!(tally.unloaded_in_use, eq(0));
    assert_that!(tally.answered_whole, gt(100));
}

fn start_callers(fleet: &Fleet, stop: &Arc<AtomicBool>) -> JoinSet<Vec<Outcome>> {
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let entries = fleet.caller_addresses();
        let stop = Arc::clone(stop);
        callers.spawn(async move {
            let client = Client::new();
            let mut outcomes = Vec::new();
            for work in work::generate(caller as u64, 4000, ADAPTERS) {
                if stop.load(Ordering::Acquire) {
                    break;
                }
                let key = idempotency_key(&work);
                let outcome = perform(&client, &entries, caller, &work, key.as_deref()).await;
                outcomes.push(outcome);
            }
            outcomes
        });
    }
    callers
}

fn idempotency_key(work: &Work) -> Option<String> {
    work.non_idempotent
        .then(|| uuid::Uuid::now_v7().to_string())
}
