//! Endpoints and daemons that leave.

mod common;

use std::time::Duration;

use common::{act, plan, ready, runs, send, slow_engine, stream, uninterrupted, until, work};
use googletest::prelude::*;
use http::Method;
use ploverwick_demo::caller::Got;
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_names::Offset;
use ploverwick_operator::Fleet as Reader;
use ploverwick_owner::record::Record;
use ploverwick_standin::{engine, roster};

/// Counts all runs that an engine began.
async fn begun(fleet: &Fleet, index: usize) -> usize {
    let records = fleet.records().await.expect("the engines answer");
    records[index].runs.len()
}

async fn load(fleet: &Fleet, name: &str, count: usize) {
    for index in 0..count {
        let work = work(
            &format!("{name}-{index}"),
            &format!("school-{:03}", index % 8),
            2,
        );
        let outcome = act(fleet, index, &work, None).await;
        assert_that!(matches!(outcome.got, Got::Whole(_)), eq(true));
    }
}

#[tokio::test]
async fn listed_endpoint() {
    let mut fleet = ready(plan(2, 3)).await;
    load(&fleet, "before", 16).await;
    assert_that!(begun(&fleet, 0).await, gt(0));
    fleet.leave_endpoint(0).await.expect("the list answers");
    let roster = fleet.roster_address();
    until("every daemon knows", || async {
        let reader = Reader::read(roster).await.expect("the list answers");
        let status = reader.status().await;
        let knows = |status: &ploverwick_daemon::status::Status| {
            status.endpoints.iter().any(|endpoint| endpoint.leaving)
        };
        status.answers.len() == 2 && status.answers.iter().all(knows)
    })
    .await;
    let before = begun(&fleet, 0).await;
    load(&fleet, "after", 16).await;
    assert_that!(begun(&fleet, 0).await, eq(before));
}

#[tokio::test]
async fn list_down() {
    let fleet = ready(plan(2, 3)).await;
    load(&fleet, "before", 16).await;
    let outage = roster::Faults { outage: true };
    fleet
        .faults(fleet.roster_address(), &outage)
        .await
        .expect("the list answers");
    let leaving = engine::Faults {
        leaving: true,
        ..engine::Faults::default()
    };
    fleet
        .faults(fleet.engines()[0], &leaving)
        .await
        .expect("the engine answers");
    let admins = fleet.admins();
    until("its owner has heard", || async {
        let mut heard = false;
        for admin in &admins {
            let events = send(*admin, Method::GET, "/timeline", &[], "").await;
            heard |= events.body.contains("the endpoint says it is leaving");
        }
        heard
    })
    .await;
    let before = begun(&fleet, 0).await;
    load(&fleet, "after", 16).await;
    assert_that!(begun(&fleet, 0).await, eq(before));
}

#[tokio::test]
async fn drained_daemon() {
    let mut fleet = ready(Plan {
        engine: slow_engine(20),
        ..plan(3, 3)
    })
    .await;
    let entries = fleet.callers();
    let streams: Vec<_> = (0..12)
        .map(|index| {
            let entry = entries[index % entries.len()];
            let adapter = format!("school-{:03}", index % 4);
            stream(entry, &format!("long-{index}"), &adapter, 60)
        })
        .collect();
    until("the streams have begun", || async {
        let mut all = true;
        for index in 0..12 {
            all &= runs(&fleet, &format!("long-{index}")).await > 0;
        }
        all
    })
    .await;
    fleet.drain(0).await.expect("the daemon leaves");
    for stream in streams {
        // Nobody's stream was interrupted, so nobody had to try twice.
        uninterrupted(stream).await;
    }
    fleet
        .wait_ready(Duration::from_secs(10))
        .await
        .expect("others own its endpoints");
}

#[tokio::test]
async fn refuses_while_draining() {
    let mut fleet = ready(plan(2, 1)).await;
    let entry = fleet.callers()[0];
    let daemon = fleet
        .begin_drain(0)
        .await
        .expect("the list answers")
        .expect("it runs");
    let draining = tokio::spawn(daemon.drain());
    until("it reports that it is not ready", || async {
        let reply = send(entry, Method::GET, "/readyz", &[], "").await;
        reply.status == 503
    })
    .await;
    draining.await.expect("it leaves");
    fleet.end_drain(0).await.expect("the list answers");
    load(&fleet, "others", 4).await;
}

#[tokio::test]
async fn quit_in_log() {
    let mut fleet = ready(plan(2, 4)).await;
    load(&fleet, "before", 12).await;
    let owned = owned_by(&fleet, "entry-1").await;
    assert_that!(owned, gt(0));
    fleet.drain(0).await.expect("it leaves");
    let log = fleet.log();
    let batch = log
        .read("owners", Offset(1), Duration::ZERO)
        .await
        .expect("the log answers");
    let records = batch
        .records
        .iter()
        .map(|record| serde_json::from_str::<Record>(&record.text).expect("it is a record"));
    let quits = records.filter(
        |record| matches!(record, Record::Quit { life, .. } if life.instance.as_str() == "entry-1"),
    );
    // Without them its successor would unload nothing until it is known to have ended.
    assert_that!(quits.count(), ge(owned));
}

async fn owned_by(fleet: &Fleet, name: &str) -> usize {
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
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
