//! A request that may have run is never reported as "not run", whatever its retries return.
//!
//! Guards against a relay that reports only the error of the last attempt: a request that two
//! engines had run (both responded for another adapter) got 3009, "not run", because its third
//! attempt reached an owner that had just released the endpoint. Ownership moves while a daemon is
//! new to the others, so that failure was intermittent. Here ownership is stable and an engine
//! refuses the last attempt, which reproduces the fault every time.

mod common;

use std::net::SocketAddr;

use common::{completion, count_runs, plan, ready_fleet, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::fleet::Fleet;
use ploverwick_names::Endpoint;
use ploverwick_operator::Fleet as Reader;
use ploverwick_ports::roster::{EndpointEntry, Listing, State};
use ploverwick_standin::{engine, service};
use tokio::net::TcpSocket;

/// Exceeds the number of attempts per call, so that the response to each attempt is lost.
const ALL_ANSWERS: u32 = 8;

async fn set_faults(fleet: &Fleet, address: SocketAddr, faults: &engine::Faults) {
    fleet
        .inject_faults(address, faults)
        .await
        .expect("the engine responds");
}

/// Checks a request while one engine responds for another adapter and the other refuses every run.
async fn check_response(wrong: usize, refusing: usize) {
    let fleet = ready_fleet(plan(1, 2)).await;
    let engines = fleet.engine_addresses();
    let echo = engine::Faults {
        echo_adapter: Some("neighbour".to_owned()),
        ..engine::Faults::default()
    };
    let refuse = engine::Faults {
        refuse_runs: true,
        ..engine::Faults::default()
    };
    set_faults(&fleet, engines[wrong], &echo).await;
    set_faults(&fleet, engines[refusing], &refuse).await;
    let body = completion("base:school-007@v1", "told");
    let daemon = fleet.caller_addresses()[0];
    let reply = send(daemon, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(count_runs(&fleet, "told").await, ge(1));
    assert_that!(reply.code, eq(Code::WrongAdapter.number()));
    assert_that!(reply.body, not(contains_substring("school-007:0")));
}

/// Together with `second_engine_refuses`, this covers a refusal before and after the run: the
/// adapter alone determines which engine gets the first attempt.
#[tokio::test]
async fn first_engine_refuses() {
    check_response(1, 0).await;
}

#[tokio::test]
async fn second_engine_refuses() {
    check_response(0, 1).await;
}

/// Adds a second endpoint of the service, and marks the engine as leaving so that the test can
/// observe when the daemon has read the listing.
fn with_second(listing: &Listing, address: SocketAddr) -> Listing {
    let mut listing = listing.clone();
    let service = listing.endpoints.iter().find(|entry| is_service(entry));
    let second = EndpointEntry {
        name: Endpoint::new("service-2").expect("valid name"),
        address,
        ..service.expect("the fleet has a service").clone()
    };
    for entry in &mut listing.endpoints {
        if !is_service(entry) {
            entry.state = State::Leaving;
        }
    }
    listing.endpoints.push(second);
    listing
}

fn is_service(entry: &EndpointEntry) -> bool {
    entry.name.as_str() == "service-1"
}

async fn shows_leaving(reader: &Reader) -> bool {
    let status = reader.status().await;
    let mut endpoints = status.answers.iter().flat_map(|status| &status.endpoints);
    endpoints.any(|endpoint| endpoint.leaving)
}

#[tokio::test]
async fn unreachable_service_endpoint() {
    let fleet = ready_fleet(plan(1, 1)).await;
    // A bound socket that does not listen refuses connections and reserves the port.
    let closed = TcpSocket::new_v4().expect("a socket can be created");
    closed
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a port is free");
    let address = closed.local_addr().expect("the socket is bound");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    let listing = serde_json::to_string(&with_second(reader.listing(), address));
    let listing = listing.expect("the listing serializes");
    let roster = fleet.roster_address();
    let listed = send(roster, Method::PUT, "/listing", &[], &listing).await;
    assert_that!(listed.status, eq(200));
    common::wait_until("the daemon has read the listing", || shows_leaving(&reader)).await;
    let lost = service::Faults {
        lose_answers: ALL_ANSWERS,
        ..service::Faults::default()
    };
    let service = fleet.service_address().expect("the fleet has a service");
    fleet
        .inject_faults(service, &lost)
        .await
        .expect("the service responds");
    let daemon = fleet.caller_addresses()[0];
    let reply = send(daemon, Method::GET, "/apps/transcripts/list", &[], "").await;
    assert_that!(reply.code, eq(Code::Interrupted.number()));
}
