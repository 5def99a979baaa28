//! Table publications: concurrent operators, lost responses, log outages, and the version in force
//! on all daemons.

mod common;

use std::time::Duration;

use common::{completion, plan, ready_fleet, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::run::{publish_table, table};
use ploverwick_names::Offset;
use ploverwick_operator::{Fleet as Reader, PublishOutcome, publish};
use ploverwick_standin::log::Faults;
use ploverwick_table::history::Verdict;
use ploverwick_table::parse::parse;

#[tokio::test]
async fn concurrent_operators() {
    let fleet = ready_fleet(plan(3, 1)).await;
    let base = parse("name,weight\na,1\nb,1\n").expect("the table is valid");
    let first = publish_table(&fleet, Offset(1), &base)
        .await
        .expect("the table is accepted");
    let log = fleet.log();
    let mine = parse("name,weight\na,2\nb,1\n").expect("the table is valid");
    let other_row = parse("name,weight\na,1\nb,3\n").expect("the table is valid");
    let same_row = parse("name,weight\na,4\nb,1\n").expect("the table is valid");
    let accepted = publish(&log, first, &mine, "ana")
        .await
        .expect("the log responds");
    let merged = publish(&log, first, &other_row, "ben")
        .await
        .expect("the log responds");
    let refused = publish(&log, first, &same_row, "cem")
        .await
        .expect("the log responds");
    assert_that!(matches!(accepted, PublishOutcome::Accepted(_)), eq(true));
    let PublishOutcome::Accepted(version) = merged else {
        panic!("expected changes of different rows to be merged: {merged:?}");
    };
    let PublishOutcome::Refused(Verdict::Clash(rows)) = refused else {
        panic!("expected changes of the same row to conflict: {refused:?}");
    };
    let rows: Vec<String> = rows.iter().map(|row| row.subject.to_string()).collect();
    assert_that!(rows, elements_are![eq("a")]);
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    let (there, all, _) = reader.wait_in_force(version, Duration::from_secs(10)).await;
    assert_that!(there, eq(all));
    let (_, csv) = reader.table().await.expect("a daemon returns its table");
    assert_that!(csv, eq("name,weight\na,2\nb,3\n"));
}

#[tokio::test]
async fn lost_append_response() {
    let fleet = ready_fleet(plan(2, 1)).await;
    let response_loss = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    fleet
        .inject_faults(fleet.log_address(), &response_loss)
        .await
        .expect("the log responds");
    let changed = table(2).expect("the table is valid");
    let published = publish(&fleet.log(), Offset(1), &changed, "ana").await;
    assert_that!(
        matches!(published, Ok(PublishOutcome::Accepted(Offset(2)))),
        eq(true)
    );
}

#[tokio::test]
async fn limit_is_enforced() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let limited = parse("name,limit\n*,\nschool-000,0\n").expect("the table is valid");
    let version = publish_table(&fleet, Offset(1), &limited)
        .await
        .expect("the table is accepted");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    reader.wait_in_force(version, Duration::from_secs(10)).await;
    let body = completion("base:school-000@v1", "limited");
    let address = fleet.caller_addresses()[0];
    let reply = send(address, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::LimitReached.number()));
    assert_that!(reply.headers.contains_key("retry-after"), eq(true));
}

#[tokio::test]
async fn daemon_starts_during_log_outage() {
    let mut fleet = ready_fleet(plan(2, 1)).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet
        .inject_faults(fleet.log_address(), &outage)
        .await
        .expect("the log responds");
    let index = fleet.add_daemon().await.expect("the daemon starts");
    let address = fleet.caller_addresses()[index];
    common::wait_until("the daemon has the table from a peer", || async {
        send(address, Method::GET, "/readyz", &[], "").await.status == 200
    })
    .await;
}

#[tokio::test]
async fn refuses_unlisted_adapter() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let listed = parse("name,weight\nschool-000,1\n").expect("the table is valid");
    let replaced = publish_table(&fleet, Offset(1), &listed).await;
    let version = replaced.expect("the table is accepted");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    reader.wait_in_force(version, Duration::from_secs(10)).await;
    let body = completion("base:unlisted@v1", "unlisted");
    let address = fleet.caller_addresses()[0];
    let reply = send(address, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::ModelUnknown.number()));
}
