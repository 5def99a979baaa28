//! Daemons as processes of their own, killed, stopped and continued under load. The engines' own
//! records then show no broken promise.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::process::{Daemon, adopt};
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
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a daemon stays stopped: longer than it takes to be counted as gone.
const STOPPED: Duration = Duration::from_millis(3500);
const BETWEEN: Duration = Duration::from_millis(1200);

/// Settings that make faults show soon.
const QUICK: &str = "[membership]\nbeat_ms = 200\nprobe_timeout_ms = 100\nsuspect_ms = 800\n\
                     [ownership]\norder_lag_ms = 500\n";

#[tokio::test(flavor = "multi_thread")]
async fn kill_and_stop() {
    let mut fleet = Fleet::start(Plan {
        daemons: 0,
        engines: 4,
        ..Plan::default()
    })
    .await
    .expect("the stand-ins start");
    let table = table(1).expect("the table is good");
    publish_table(&fleet, Offset(0), &table)
        .await
        .expect("it is accepted");
    let mut daemons = Vec::new();
    for index in 0..3 {
        let daemon = Daemon::start(&fleet, index, QUICK);
        adopt(&mut fleet, &daemon).await;
        daemons.push(daemon);
    }
    fleet
        .wait_ready(PATIENCE)
        .await
        .expect("the fleet is ready");
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = start_callers(&fleet, &stop);
    for fault in 0..FAULTS {
        tokio::time::sleep(BETWEEN).await;
        let index = fault % daemons.len();
        if fault % 2 == 0 {
            daemons[index].stop();
            tokio::time::sleep(STOPPED).await;
            daemons[index].go_on();
        } else {
            // A new life takes the place of the killed one, under the same name and ports.
            daemons[index].kill();
            daemons[index] = Daemon::start_again(&fleet, &daemons[index], QUICK);
        }
    }
    fleet
        .wait_ready(PATIENCE)
        .await
        .expect("the fleet is ready again");
    stop.store(true, Ordering::Release);
    let mut outcomes = Vec::new();
    while let Some(joined) = callers.join_next().await {
        outcomes.extend(joined.expect("a caller ends"));
    }
    let records = fleet.records().await.expect("the engines answer");
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
                let key = key(&work);
                let done = perform(&client, &entries, caller, &work, key.as_deref()).await;
                outcomes.push(done);
            }
            outcomes
        });
    }
    callers
}

fn key(work: &Work) -> Option<String> {
    work.non_idempotent
        .then(|| uuid::Uuid::now_v7().to_string())
}
