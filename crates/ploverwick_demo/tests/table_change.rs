//! Publications: two operators, lost answers, and the version in force everywhere.

mod common;

use std::time::Duration;

use common::{completion, plan, ready, send};
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
async fn two_operators() {
    let fleet = ready(plan(3, 1)).await;
    let base = parse("name,weight\na,1\nb,1\n").expect("the table is good");
    let first = publish_table(&fleet, Offset(1), &base)
        .await
        .expect("it is accepted");
    let log = fleet.log();
    let mine = parse("name,weight\na,2\nb,1\n").expect("the table is good");
    let other_row = parse("name,weight\na,1\nb,3\n").expect("the table is good");
    let same_row = parse("name,weight\na,4\nb,1\n").expect("the table is good");
    let accepted = publish(&log, first, &mine, "ana")
        .await
        .expect("it is published");
    let merged = publish(&log, first, &other_row, "ben")
        .await
        .expect("it is published");
    let refused = publish(&log, first, &same_row, "cem")
        .await
        .expect("it is published");
    assert_that!(matches!(accepted, PublishOutcome::Accepted(_)), eq(true));
    let PublishOutcome::Accepted(version) = merged else {
        panic!("rows that do not clash are merged: {merged:?}");
    };
    let PublishOutcome::Refused(Verdict::Clash(rows)) = refused else {
        panic!("rows that clash are refused: {refused:?}");
    };
    let rows: Vec<String> = rows.iter().map(|row| row.subject.to_string()).collect();
    assert_that!(rows, elements_are![eq("a")]);
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
    let (there, all, _) = reader.wait_in_force(version, Duration::from_secs(10)).await;
    assert_that!(there, eq(all));
    let (_, csv) = reader.table().await.expect("a daemon shows it");
    assert_that!(csv, eq("name,weight\na,2\nb,3\n"));
}

#[tokio::test]
async fn lost_answer() {
    let fleet = ready(plan(2, 1)).await;
    let lossy = Faults {
        lose_answers: 1,
        ..Faults::default()
    };
    fleet
        .faults(fleet.log_address(), &lossy)
        .await
        .expect("the log answers");
    let changed = table(2).expect("the table is good");
    let published = publish(&fleet.log(), Offset(1), &changed, "ana").await;
    assert_that!(
        matches!(published, Ok(PublishOutcome::Accepted(Offset(2)))),
        eq(true)
    );
}

#[tokio::test]
async fn limit_holds() {
    let fleet = ready(plan(1, 1)).await;
    let limited = parse("name,limit\n*,\nschool-000,0\n").expect("the table is good");
    let version = publish_table(&fleet, Offset(1), &limited)
        .await
        .expect("it is accepted");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
    reader.wait_in_force(version, Duration::from_secs(10)).await;
    let body = completion("base:school-000@v1", "limited");
    let entry = fleet.callers()[0];
    let reply = send(entry, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::LimitReached.number()));
    assert_that!(reply.headers.contains_key("retry-after"), eq(true));
}

#[tokio::test]
async fn restart_during_outage() {
    let mut fleet = ready(plan(2, 1)).await;
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet
        .faults(fleet.log_address(), &outage)
        .await
        .expect("the log answers");
    let index = fleet.add_daemon().await.expect("it starts");
    let entry = fleet.callers()[index];
    common::until("it has the table from a peer", || async {
        send(entry, Method::GET, "/readyz", &[], "").await.status == 200
    })
    .await;
}

#[tokio::test]
async fn unlisted_adapter() {
    let fleet = ready(plan(1, 1)).await;
    let listed = parse("name,weight\nschool-000,1\n").expect("the table is good");
    let replaced = publish_table(&fleet, Offset(1), &listed).await;
    let version = replaced.expect("it is accepted");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
    reader.wait_in_force(version, Duration::from_secs(10)).await;
    let body = completion("base:unlisted@v1", "unlisted");
    let entry = fleet.callers()[0];
    let reply = send(entry, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::ModelUnknown.number()));
}
