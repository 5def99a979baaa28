//! Plain services are routed too, and calls that may not be repeated are not.

mod common;

use std::collections::BTreeMap;

use common::{key, plan, ready, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::fleet::Fleet;
use ploverwick_standin::service::{Calls, Faults};

async fn calls(fleet: &Fleet) -> BTreeMap<String, u64> {
    let service = fleet.service().expect("there is a service");
    let reply = send(service, Method::GET, "/standin/calls", &[], "").await;
    let calls: Calls = serde_json::from_str(&reply.body).expect("the service answers");
    calls.by_tag
}

async fn lose(fleet: &Fleet, count: u32) {
    let faults = Faults {
        lose_answers: count,
    };
    let service = fleet.service().expect("there is a service");
    fleet
        .faults(service, &faults)
        .await
        .expect("the service answers");
}

#[tokio::test]
async fn passes_through() {
    let fleet = ready(plan(2, 1)).await;
    let entry = fleet.callers()[0];
    let headers = [("standin-tag", "t"), ("ploverwick-request", "forged")];
    let path = "/apps/transcripts/a/b?c=d";
    let reply = send(entry, Method::POST, path, &headers, "marks").await;
    assert_that!(reply.status, eq(200));
    assert_that!(reply.body, contains_substring(r#""path":"/a/b""#));
    assert_that!(reply.body, contains_substring(r#""body":"marks""#));
    assert_that!(reply.headers["ploverwick-request"], not(eq("forged")));
}

#[tokio::test]
async fn not_repeated() {
    let fleet = ready(plan(2, 1)).await;
    lose(&fleet, 1).await;
    let entry = fleet.callers()[0];
    let headers = [("standin-tag", "swap")];
    let reply = send(entry, Method::POST, "/apps/transcripts/swap", &headers, "x").await;
    assert_that!(reply.code, eq(Code::Interrupted.number()));
    assert_that!(calls(&fleet).await["swap"], eq(1));
}

#[tokio::test]
async fn keyed_once() {
    let fleet = ready(plan(2, 1)).await;
    let key = key();
    let headers = [("standin-tag", "swap"), ("idempotency-key", key.as_str())];
    let path = "/apps/transcripts/swap";
    let (a, b) = tokio::join!(
        send(fleet.callers()[0], Method::POST, path, &headers, "x"),
        send(fleet.callers()[1], Method::POST, path, &headers, "x"),
    );
    assert_that!([a.status, b.status], each(eq(200)));
    assert_that!(calls(&fleet).await["swap"], eq(1));
}

#[tokio::test]
async fn repeated_reads() {
    /// More than the retry budget holds at its start, so that calls have to earn the rest.
    const LOSSES: usize = 30;
    const CALLS_BETWEEN: usize = 6;
    let fleet = ready(plan(1, 1)).await;
    let entry = fleet.callers()[0];
    for loss in 0..LOSSES {
        lose(&fleet, 1).await;
        for _ in 0..CALLS_BETWEEN {
            let reply = send(entry, Method::GET, "/apps/transcripts/list", &[], "").await;
            assert_that!(reply.status, eq(200), "after {loss} losses: {}", reply.body);
        }
    }
}
