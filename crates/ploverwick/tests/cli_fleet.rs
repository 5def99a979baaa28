//! The commands that ask a running fleet.

mod common;

use std::time::Duration;

use common::process::{Daemon, adopt};
use common::{Ended, ploverwick};
use googletest::prelude::*;
use ploverwick_demo::fleet::{Fleet, Plan};

const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a command beside the test's own tasks, which serve what it asks.
async fn run(arguments: &[&str]) -> Ended {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let running = tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        ploverwick(&arguments)
    });
    running.await.expect("the command ends")
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_day() {
    let mut fleet = Fleet::start(Plan {
        daemons: 0,
        engines: 2,
        roster_lag: Duration::ZERO,
        ..Plan::default()
    })
    .await
    .expect("the stand-ins start");
    let mut daemon = Daemon::start(&fleet, 0, "");
    adopt(&mut fleet, &daemon).await;
    let log = fleet.log_address().to_string();
    let roster = fleet.roster_address().to_string();
    let at = ["--log", &log, "--roster", &roster];
    let roster_only = ["--roster", roster.as_str()];

    let publish = [
        "table",
        "publish",
        "good-table.csv",
        "--base",
        "0",
        "--author",
        "ana",
    ];
    let first = run(&[&publish[..], &at].concat()).await;
    assert_that!(first.status, eq(0), "{first:?}");
    assert_that!(first.out, contains_substring("accepted as version 1"));
    assert_that!(first.out, contains_substring("in force on 1 of 1 daemons"));
    fleet
        .wait_ready(PATIENCE)
        .await
        .expect("the fleet is ready");

    let again = run(&[&publish[..], &at].concat()).await;
    assert_that!(again.status, eq(1));
    assert_that!(
        again.err,
        contains_substring("these rows have changed since your base")
    );

    let edited = ["table", "publish", "edited-table.csv", "--base", "1"];
    assert_that!(run(&[&edited[..], &at].concat()).await.status, eq(0));
    let unknown = ["table", "publish", "good-table.csv", "--base", "99"];
    let unknown = run(&[&unknown[..], &at].concat()).await;
    assert_that!(unknown.status, eq(2));
    assert_that!(unknown.err, contains_substring("the newest is 3"));

    let show = [
        "table",
        "show",
        "--at",
        "2026-12-02T08:00:00Z",
        "--hall",
        "lac",
    ];
    let show = run(&[&show[..], &roster_only].concat()).await;
    insta::assert_snapshot!(show.out);

    let history = run(&["table", "history", "--log", &log]).await;
    assert_that!(history.status, eq(0));
    assert_that!(history.out, contains_substring("clashes in *, group:exams"));

    let status = run(&[&["status", "--json"][..], &roster_only].concat()).await;
    assert_that!(status.status, eq(0));
    let status: serde_json::Value = serde_json::from_str(&status.out).expect("it is JSON");
    assert_that!(status["daemons"][0]["table"], eq(&serde_json::json!(3)));

    let timeline = run(&[&["timeline"][..], &roster_only].concat()).await;
    assert_that!(timeline.status, eq(0));
    assert_that!(timeline.out, contains_substring("version 3 in force"));

    assert_that!(daemon.terminate(), eq(Some(0)));
    let silent = run(&[&["status"][..], &roster_only].concat()).await;
    assert_that!(silent.status, eq(1));
    assert_that!(silent.out, contains_substring("silent: entry-1"));
}
