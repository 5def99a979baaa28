//! Endpoints that shut down and daemons that drain.

mod common;

use std::time::Duration;

use common::{
    assert_uninterrupted, count_runs, plan, ready_fleet, send, send_work, slow_engine,
    start_stream, wait_until, work,
};
use googletest::prelude::*;
use http::Method;
use ploverwick_demo::caller::CallResult;
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_names::Offset;
use ploverwick_operator::Fleet as Reader;
use ploverwick_owner::record::Record;
use ploverwick_standin::{engine, roster};

/// Counts all runs that an engine has started.
async fn count_started(fleet: &Fleet, index: usize) -> usize {
    let records = fleet.records().await.expect("the engines respond");
    records[index].runs.len()
}

async fn send_requests(fleet: &Fleet, name: &str, count: usize) {
    for index in 0..count {
        let work = work(
            &format!("{name}-{index}"),
            &format!("school-{:03}", index % 8),
            2,
        );
        let outcome = send_work(fleet, index, &work, None).await;
        assert_that!(matches!(outcome.result, CallResult::Complete(_)), eq(true));
    }
}

#[tokio::test]
async fn leaving_endpoint_gets_no_runs() {
    let mut fleet = ready_fleet(plan(2, 3)).await;
    send_requests(&fleet, "before", 16).await;
    assert_that!(count_started(&fleet, 0).await, gt(0));
    fleet
        .mark_endpoint_leaving(0)
        .await
        .expect("the roster responds");
    let roster = fleet.roster_address();
    wait_until("every daemon lists the endpoint as leaving", || async {
        let reader = Reader::read(roster).await.expect("the roster responds");
        let status = reader.status().await;
        let knows = |status: &ploverwick_daemon::status::Status| {
            status.endpoints.iter().any(|endpoint| endpoint.leaving)
        };
        status.answers.len() == 2 && status.answers.iter().all(knows)
    })
    .await;
    let before = count_started(&fleet, 0).await;
    send_requests(&fleet, "after", 16).await;
    assert_that!(count_started(&fleet, 0).await, eq(before));
}

#[tokio::test]
async fn leaving_endpoint_during_roster_outage() {
    let fleet = ready_fleet(plan(2, 3)).await;
    send_requests(&fleet, "before", 16).await;
    let outage = roster::Faults { outage: true };
    fleet
        .inject_faults(fleet.roster_address(), &outage)
        .await
        .expect("the roster responds");
    let leaving = engine::Faults {
        leaving: true,
        ..engine::Faults::default()
    };
    fleet
        .inject_faults(fleet.engine_addresses()[0], &leaving)
        .await
        .expect("the engine responds");
    let admins = fleet.admin_addresses();
    wait_until("the owner knows that the endpoint is leaving", || async {
        let mut heard = false;
        for admin in &admins {
            let events = send(*admin, Method::GET, "/timeline", &[], "").await;
            heard |= events.body.contains("the endpoint says it is leaving");
        }
        heard
    })
    .await;
    let before = count_started(&fleet, 0).await;
    send_requests(&fleet, "after", 16).await;
    assert_that!(count_started(&fleet, 0).await, eq(before));
}

#[tokio::test]
async fn drain_keeps_streams() {
    let mut fleet = ready_fleet(Plan {
        engine: slow_engine(20),
        ..plan(3, 3)
    })
    .await;
    let addresses = fleet.caller_addresses();
    let streams: Vec<_> = (0..12)
        .map(|index| {
            let address = addresses[index % addresses.len()];
            let adapter = format!("school-{:03}", index % 4);
            start_stream(address, &format!("long-{index}"), &adapter, 60)
        })
        .collect();
    wait_until("all streams have started", || async {
        let mut all = true;
        for index in 0..12 {
            all &= count_runs(&fleet, &format!("long-{index}")).await > 0;
        }
        all
    })
    .await;
    fleet.drain(0).await.expect("the daemon drains");
    for stream in streams {
        // The drain interrupted no stream, so no caller had to retry.
        assert_uninterrupted(stream).await;
    }
    fleet
        .wait_ready(Duration::from_secs(10))
        .await
        .expect("the other daemons own its endpoints");
}

#[tokio::test]
async fn draining_daemon_is_not_ready() {
    let mut fleet = ready_fleet(plan(2, 1)).await;
    let address = fleet.caller_addresses()[0];
    let daemon = fleet
        .begin_drain(0)
        .await
        .expect("the roster responds")
        .expect("the daemon is running");
    let draining = tokio::spawn(daemon.drain());
    wait_until("the daemon reports that it is not ready", || async {
        let reply = send(address, Method::GET, "/readyz", &[], "").await;
        reply.status == 503
    })
    .await;
    draining.await.expect("the daemon drains");
    fleet.end_drain(0).await.expect("the roster responds");
    send_requests(&fleet, "others", 4).await;
}

#[tokio::test]
async fn drained_owner_logs_quit() {
    let mut fleet = ready_fleet(plan(2, 4)).await;
    send_requests(&fleet, "before", 12).await;
    let owned = owned_by(&fleet, "entry-1").await;
    assert_that!(owned, gt(0));
    fleet.drain(0).await.expect("the daemon drains");
    let log = fleet.log();
    let batch = log
        .read("owners", Offset(1), Duration::ZERO)
        .await
        .expect("the log responds");
    let records = batch
        .records
        .iter()
        .map(|record| serde_json::from_str::<Record>(&record.text).expect("valid record"));
    let quits = records.filter(
        |record| matches!(record, Record::Quit { life, .. } if life.instance.as_str() == "entry-1"),
    );
    // Without these records, the next owner could not unload until the old one is known to be gone.
    assert_that!(quits.count(), ge(owned));
}

async fn owned_by(fleet: &Fleet, name: &str) -> usize {
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    let status = reader.status().await;
    let owned = status
        .answers
        .iter()
        .filter(|status| status.instance == name);
    owned
        .flat_map(|status| &status.owned)
        .filter(|endpoint| endpoint.owned)
        .count()
}
