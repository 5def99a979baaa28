//! Tests for endpoints that report that they are leaving.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{DrainingReports, Entry, Fleet, State};
use ploverwick_names::Moment;

fn entry(id: &str) -> Entry {
    Entry {
        id: Arc::from(id),
        service: Arc::from("app"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: Arc::from("d1"),
        software: Arc::from("v1"),
        slots: 4,
        state: State::Ready,
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

/// Guards against an outdated list entry that makes a draining endpoint ready again.
#[googletest::test]
fn list_entry_does_not_undo_draining() {
    let mut fleet = Fleet::default();
    fleet.put(entry("i-a"));
    expect_that!(fleet.drain("i-a"), eq(true));
    expect_that!(fleet.drain("i-a"), eq(false));
    fleet.put(entry("i-a"));
    expect_that!(fleet.is_ready("i-a"), eq(false));
    expect_that!(fleet.drain("i-b"), eq(false));
}

/// Guards against different digests on instances that learned of the same departure from an answer and from the list.
#[googletest::test]
fn digest_is_independent_of_source() {
    let mut from_answer = Fleet::default();
    from_answer.put(entry("i-a"));
    from_answer.drain("i-a");
    let mut from_list = Fleet::default();
    let mut listed = entry("i-a");
    listed.state = State::Draining;
    from_list.put(listed);
    expect_that!(from_answer.digest(), eq(from_list.digest()));
}

/// Guards against departures that are broadcast indefinitely.
#[googletest::test]
fn old_reports_are_not_recent() {
    let mut draining_reports = DrainingReports::default();
    let endpoint: Arc<str> = Arc::from("i-a");
    draining_reports.record(&endpoint, Moment(1_000));
    let max_age = Duration::from_secs(2);
    expect_that!(draining_reports.recent(max_age, Moment(3_000)).len(), eq(1));
    expect_that!(draining_reports.recent(max_age, Moment(3_001)).len(), eq(0));
    draining_reports.remove("i-a");
    expect_that!(draining_reports.recent(max_age, Moment(1_000)).len(), eq(0));
}
