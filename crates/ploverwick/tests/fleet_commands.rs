//! Commands that query or change a running fleet.

mod common;

use std::time::Duration;

use common::process::{Daemon, add_to_roster};
use common::{Output, ploverwick};
use googletest::prelude::*;
use ploverwick_demo::fleet::{Fleet, Plan};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a command on a blocking thread, because tasks of the test's runtime serve its requests.
async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let task = tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        ploverwick(&arguments)
    });
    task.await.expect("the command's task panicked")
}

#[tokio::test(flavor = "multi_thread")]
async fn table_workflow() {
    let mut fleet = Fleet::start(Plan {
        daemons: 0,
        engines: 2,
        roster_lag: Duration::ZERO,
        ..Plan::default()
    })
    .await
    .expect("start the stand-ins");
    let mut daemon = Daemon::start(&fleet, 0, "");
    add_to_roster(&mut fleet, &daemon).await;
    let log = fleet.log_address().to_string();
    let roster = fleet.roster_address().to_string();
    let log_and_roster = ["--log", &log, "--roster", &roster];
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
    let first = run(&[&publish[..], &log_and_roster].concat()).await;
    assert_that!(first.status, eq(0), "{first:?}");
    assert_that!(first.out, contains_substring("accepted as version 1"));
    assert_that!(first.out, contains_substring("in force on 1 of 1 daemons"));
    fleet
        .wait_ready(TIMEOUT)
        .await
        .expect("the fleet is not ready in time");

    let conflicting = run(&[&publish[..], &log_and_roster].concat()).await;
    assert_that!(conflicting.status, eq(1));
    assert_that!(
        conflicting.err,
        contains_substring("these rows have changed since your base")
    );

    let edited = ["table", "publish", "edited-table.csv", "--base", "1"];
    assert_that!(
        run(&[&edited[..], &log_and_roster].concat()).await.status,
        eq(0)
    );
    let unknown = ["table", "publish", "good-table.csv", "--base", "99"];
    let unknown = run(&[&unknown[..], &log_and_roster].concat()).await;
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
    let status: serde_json::Value = serde_json::from_str(&status.out).expect("invalid JSON");
    assert_that!(status["daemons"][0]["table"], eq(&serde_json::json!(3)));

    let timeline = run(&[&["timeline"][..], &roster_only].concat()).await;
    assert_that!(timeline.status, eq(0));
    assert_that!(timeline.out, contains_substring("version 3 in force"));

    assert_that!(daemon.terminate(), eq(Some(0)));
    let stopped = run(&[&["status"][..], &roster_only].concat()).await;
    assert_that!(stopped.status, eq(1));
    assert_that!(stopped.out, contains_substring("silent: entry-1"));
}
