//! What an instance believes of its links to endpoints.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::{Entry, Links, Reachability, State};
use ploverwick_names::Moment;

const LISTED: usize = 3;

fn entry(id: &str, service: &str) -> Entry {
    Entry {
        id: Arc::from(id),
        service: Arc::from(service),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        domain: Arc::from("d1"),
        software: Arc::from("v1"),
        slots: 4,
        state: State::Ready,
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

/// Returns a view in which new connections to two endpoints of `lm` have failed.
fn suspected(now: Moment) -> Reachability {
    let mut reachability = Reachability::default();
    for id in ["a", "b"] {
        reachability.record_failure(&entry(id, "lm"), LISTED, now);
    }
    reachability
}

/// Guards against taking one ill endpoint, however often it fails, for a fault of the links.
#[gtest]
fn one_endpoint_is_no_partition() {
    let mut reachability = Reachability::default();
    for ms in 0..10 {
        reachability.record_failure(&entry("a", "lm"), LISTED, Moment(ms));
        reachability.record_silence(&entry("a", "lm"), Moment(ms), LISTED, Moment(ms));
    }
    expect_that!(reachability.links("lm"), eq(Links::Up));
    expect_that!(reachability.needs_relay(&entry("b", "lm")), eq(false));
}

#[gtest]
fn several_endpoints_raise_suspicion() {
    let reachability = suspected(Moment(0));
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
    expect_that!(reachability.needs_relay(&entry("c", "lm")), eq(true));
    expect_that!(reachability.is_detoured(&entry("c", "lm")), eq(false));
    // Other services are judged by their own endpoints.
    expect_that!(reachability.needs_relay(&entry("x", "app")), eq(false));
}

/// Guards against believing in a partition because all endpoints have crashed, which no other instance reaches either.
#[gtest]
fn only_other_instances_confirm() {
    let mut reachability = suspected(Moment(0));
    for ms in 0..10_000 {
        reachability.record_failure(&entry("c", "lm"), LISTED, Moment(ms));
    }
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
    reachability.confirm("lm");
    expect_that!(reachability.links("lm"), eq(Links::Down));
}

/// Guards against ending a detour because of connections that live on while new ones are refused.
#[gtest]
fn earlier_connections_refute_nothing() {
    let mut reachability = suspected(Moment(0));
    reachability.confirm("lm");
    reachability.record_answer(&entry("c", "lm"), Moment(1));
    expect_that!(reachability.links("lm"), eq(Links::Down));
    reachability.record_first_answer(&entry("c", "lm"), Moment(2));
    expect_that!(reachability.links("lm"), eq(Links::Up));
}

/// Guards against probes at a high rate while several endpoints are down and others answer.
#[gtest]
fn refuted_suspicion_rests() {
    let mut reachability = suspected(Moment(0));
    reachability.record_first_answer(&entry("c", "lm"), Moment(10));
    for ms in [11, 500, 1_000] {
        reachability.record_failure(&entry("a", "lm"), LISTED, Moment(ms));
        reachability.record_failure(&entry("b", "lm"), LISTED, Moment(ms));
        expect_that!(reachability.links("lm"), eq(Links::Up));
    }
    reachability.record_failure(&entry("a", "lm"), LISTED, Moment(1_010));
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
}

/// Guards against taking slow endpoints for silent links while any endpoint of the service answers.
#[gtest]
fn silence_counts_if_nobody_answers() {
    let mut reachability = Reachability::default();
    let silence = |reachability: &mut Reachability, id: &str, sent_at: u64| {
        let now = Moment(sent_at + 500);
        reachability.record_silence(&entry(id, "lm"), Moment(sent_at), LISTED, now);
    };
    silence(&mut reachability, "a", 0);
    reachability.record_answer(&entry("c", "lm"), Moment(400));
    silence(&mut reachability, "b", 100);
    expect_that!(reachability.links("lm"), eq(Links::Up));
    silence(&mut reachability, "a", 450);
    silence(&mut reachability, "b", 460);
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
}

#[gtest]
fn only_endpoint_of_service_suffices() {
    let mut reachability = Reachability::default();
    reachability.record_failure(&entry("a", "lm"), 1, Moment(0));
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
}

/// Guards against suspecting all links over and over because probes of single endpoints behind a relay fail.
#[gtest]
fn single_detours_raise_no_suspicion() {
    let mut reachability = Reachability::default();
    for id in ["a", "b"] {
        reachability.record_detour(&Arc::from(id));
        reachability.record_failure(&entry(id, "lm"), LISTED, Moment(0));
    }
    expect_that!(reachability.links("lm"), eq(Links::Up));
    expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(true));
    expect_that!(reachability.needs_relay(&entry("c", "lm")), eq(false));
    reachability.record_first_answer(&entry("a", "lm"), Moment(1));
    expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(false));
    expect_that!(reachability.detoured_count(), eq(1));
}

/// Guards against sending one request after the other to an endpoint whose connections are accepted and closed, while others
/// of its service answer.
#[gtest]
fn closed_connection_needs_check() {
    let mut reachability = Reachability::default();
    reachability.record_closed(&entry("a", "lm"), LISTED, Moment(0));
    reachability.record_first_answer(&entry("c", "lm"), Moment(1));
    expect_that!(reachability.needs_check(&entry("a", "lm")), eq(true));
    expect_that!(reachability.needs_check(&entry("b", "lm")), eq(false));
    reachability.record_detour(&Arc::from("a"));
    expect_that!(reachability.needs_check(&entry("a", "lm")), eq(false));
    expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(true));
    reachability.record_first_answer(&entry("a", "lm"), Moment(2));
    expect_that!(reachability.needs_check(&entry("a", "lm")), eq(false));
    expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(false));
}

/// Guards against losing a request at each endpoint of a service to none of which the links work.
#[gtest]
fn failed_check_raises_suspicion() {
    let mut reachability = Reachability::default();
    reachability.record_closed(&entry("a", "lm"), LISTED, Moment(0));
    reachability.record_detour(&Arc::from("a"));
    reachability.record_failed_check(&entry("a", "lm"), Moment(1));
    expect_that!(reachability.links("lm"), eq(Links::Suspected));
    reachability.record_first_answer(&entry("c", "lm"), Moment(2));
    expect_that!(reachability.links("lm"), eq(Links::Up));
    expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(true));
}

/// Guards against relaying or checking a sound endpoint that closed single connections, or one whose process has ended.
#[gtest]
fn answer_or_refusal_ends_check() {
    let mut reachability = Reachability::default();
    for ms in 0..10 {
        reachability.record_closed(&entry("a", "lm"), LISTED, Moment(ms));
        expect_that!(reachability.needs_relay(&entry("a", "lm")), eq(false));
    }
    reachability.record_first_answer(&entry("a", "lm"), Moment(10));
    expect_that!(reachability.needs_check(&entry("a", "lm")), eq(false));
    reachability.record_closed(&entry("a", "lm"), LISTED, Moment(11));
    reachability.record_failure(&entry("a", "lm"), LISTED, Moment(12));
    expect_that!(reachability.needs_check(&entry("a", "lm")), eq(false));
}

#[gtest]
fn unlisted_endpoints_are_forgotten() {
    let mut reachability = suspected(Moment(0));
    reachability.record_closed(&entry("c", "lm"), LISTED, Moment(1));
    reachability.record_detour(&Arc::from("a"));
    reachability.retain(|_| false);
    reachability.record_first_answer(&entry("d", "lm"), Moment(2));
    expect_that!(reachability.needs_check(&entry("c", "lm")), eq(false));
    expect_that!(reachability.unreachable_count(), eq(0));
    expect_that!(reachability.detoured_count(), eq(0));
}
