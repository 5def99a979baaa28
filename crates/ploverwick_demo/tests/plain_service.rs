//! Calls to plain services are routed, and only repeatable calls are retried.

mod common;

use std::collections::BTreeMap;

use common::{key, plan, ready_fleet, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::fleet::Fleet;
use ploverwick_standin::service::{Calls, Faults};

async fn call_counts(fleet: &Fleet) -> BTreeMap<String, u64> {
    let service = fleet.service_address().expect("the fleet has a service");
    let reply = send(service, Method::GET, "/standin/calls", &[], "").await;
    let calls: Calls = serde_json::from_str(&reply.body).expect("the service responds");
    calls.by_tag
}

async fn lose_responses(fleet: &Fleet, count: u32) {
    let faults = Faults {
        lose_answers: count,
        ..Faults::default()
    };
    let service = fleet.service_address().expect("the fleet has a service");
    fleet
        .inject_faults(service, &faults)
        .await
        .expect("the service responds");
}

#[tokio::test]
async fn forwards_call() {
    let fleet = ready_fleet(plan(2, 1)).await;
    let address = fleet.caller_addresses()[0];
    let headers = [("standin-tag", "t"), ("ploverwick-request", "forged")];
    let path = "/apps/transcripts/a/b?c=d";
    let reply = send(address, Method::POST, path, &headers, "marks").await;
    assert_that!(reply.status, eq(200));
    assert_that!(reply.body, contains_substring(r#""path":"/a/b""#));
    assert_that!(reply.body, contains_substring(r#""body":"marks""#));
    assert_that!(reply.headers["ploverwick-request"], not(eq("forged")));
}

#[tokio::test]
async fn non_idempotent_call_is_not_retried() {
    let fleet = ready_fleet(plan(2, 1)).await;
    lose_responses(&fleet, 1).await;
    let address = fleet.caller_addresses()[0];
    let headers = [("standin-tag", "swap")];
    let reply = send(
        address,
        Method::POST,
        "/apps/transcripts/swap",
        &headers,
        "x",
    )
    .await;
    assert_that!(reply.code, eq(Code::Interrupted.number()));
    assert_that!(call_counts(&fleet).await["swap"], eq(1));
}

#[tokio::test]
async fn keyed_call_runs_once() {
    let fleet = ready_fleet(plan(2, 1)).await;
    let key = key();
    let headers = [("standin-tag", "swap"), ("idempotency-key", key.as_str())];
    let path = "/apps/transcripts/swap";
    let (a, b) = tokio::join!(
        send(
            fleet.caller_addresses()[0],
            Method::POST,
            path,
            &headers,
            "x"
        ),
        send(
            fleet.caller_addresses()[1],
            Method::POST,
            path,
            &headers,
            "x"
        ),
    );
    assert_that!([a.status, b.status], each(eq(200)));
    assert_that!(call_counts(&fleet).await["swap"], eq(1));
}

#[tokio::test]
async fn lost_reads_are_retried() {
    /// Exceeds the initial retry budget, so that successful calls have to replenish it.
    const LOSSES: usize = 30;
    const CALLS_BETWEEN: usize = 6;
    let fleet = ready_fleet(plan(1, 1)).await;
    let address = fleet.caller_addresses()[0];
    for loss in 0..LOSSES {
        lose_responses(&fleet, 1).await;
        for _ in 0..CALLS_BETWEEN {
            let reply = send(address, Method::GET, "/apps/transcripts/list", &[], "").await;
            assert_that!(reply.status, eq(200), "after {loss} losses: {}", reply.body);
        }
    }
}
