//! A request that may have run is never told as "not run", whatever its repeats met.
//!
//! Seen: `wrong_echo` now and then got 3009, "not run", for a request that two engines had run. Its
//! time line: engine-2 answered for another adapter, engine-1 too, and the second chance at engine-2
//! met an owner that had just released it. How it came about: the relay told the caller what its
//! last try met, and ownership moves while a daemon is new to the others. Cause: nothing remembered
//! that an earlier try may have run. Proof: here nothing moves and the last try is refused by an
//! engine, and the same false word comes back each time.

mod common;

use std::net::SocketAddr;

use common::{completion, plan, ready, runs, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::fleet::Fleet;
use ploverwick_names::Endpoint;
use ploverwick_operator::Fleet as Reader;
use ploverwick_ports::roster::{EndpointEntry, Listing, State};
use ploverwick_standin::{engine, service};
use tokio::net::TcpSocket;

/// More answers than one call's attempts, so that each of them is lost.
const ALL_ANSWERS: u32 = 8;

async fn set(fleet: &Fleet, address: SocketAddr, faults: &engine::Faults) {
    fleet
        .faults(address, faults)
        .await
        .expect("the engine answers");
}

/// Has one engine answer for another adapter and the other refuse every run.
async fn told(wrong: usize, refusing: usize) {
    let fleet = ready(plan(1, 2)).await;
    let engines = fleet.engines();
    let echo = engine::Faults {
        echo_adapter: Some("neighbour".to_owned()),
        ..engine::Faults::default()
    };
    let refuse = engine::Faults {
        refuse_runs: true,
        ..engine::Faults::default()
    };
    set(&fleet, engines[wrong], &echo).await;
    set(&fleet, engines[refusing], &refuse).await;
    let body = completion("base:school-007@v1", "told");
    let entry = fleet.callers()[0];
    let reply = send(entry, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(runs(&fleet, "told").await, ge(1));
    assert_that!(reply.code, eq(Code::WrongAdapter.number()));
    assert_that!(reply.body, not(contains_substring("school-007:0")));
}

/// One of the two runs comes before the refusal, the other after it: which engine is asked first
/// depends on the adapter alone.
#[tokio::test]
async fn first_refuses() {
    told(1, 0).await;
}

#[tokio::test]
async fn second_refuses() {
    told(0, 1).await;
}

/// Lists a second endpoint of the service, and the engine as leaving, by which the change is seen.
fn with_second(listing: &Listing, address: SocketAddr) -> Listing {
    let mut listing = listing.clone();
    let service = listing.endpoints.iter().find(|entry| is_service(entry));
    let second = EndpointEntry {
        name: Endpoint::new("service-2").expect("it is a name"),
        address,
        ..service.expect("there is a service").clone()
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
async fn service_unreachable() {
    let fleet = ready(plan(1, 1)).await;
    // Bound and not listening: connections are refused, and nobody else gets the port.
    let closed = TcpSocket::new_v4().expect("there is a socket");
    closed
        .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .expect("a port is free");
    let address = closed.local_addr().expect("it is bound");
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
    let listing = serde_json::to_string(&with_second(reader.listing(), address));
    let listing = listing.expect("the list is plain data");
    let roster = fleet.roster_address();
    let listed = send(roster, Method::PUT, "/listing", &[], &listing).await;
    assert_that!(listed.status, eq(200));
    common::until("the list is read", || shows_leaving(&reader)).await;
    let lost = service::Faults {
        lose_answers: ALL_ANSWERS,
    };
    let service = fleet.service().expect("there is a service");
    fleet
        .faults(service, &lost)
        .await
        .expect("the service answers");
    let entry = fleet.callers()[0];
    let reply = send(entry, Method::GET, "/apps/transcripts/list", &[], "").await;
    assert_that!(reply.code, eq(Code::Interrupted.number()));
}
