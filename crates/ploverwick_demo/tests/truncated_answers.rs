//! Answers without a length or chunks, which end with their connection, are not taken for whole if their content is not.

mod common;

use std::net::SocketAddr;

use common::{key, plan, ready_fleet, send_work, work};
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use ploverwick_demo::caller::CallResult;
use ploverwick_demo::fleet::Fleet;
use ploverwick_demo::work::Work;
use ploverwick_ports::client::Client;
use ploverwick_standin::{engine, service};

/// The distance between two cuts, in bytes. It is no divisor of the length of an event.
const CUT_STEP: usize = 23;
/// The number of runs after which the identifiers of requests, which events contain, keep their length.
const RUNS_TO_SAME_LENGTH: usize = 10;
/// The largest number of bytes of a body.
const WHOLE: usize = usize::MAX;

/// Ends the body of the next run with its connection after this many bytes.
async fn end_next_run_after(fleet: &Fleet, bytes: usize) {
    let faults = engine::Faults {
        end_body_after: Some(bytes),
        ..engine::Faults::default()
    };
    let address = fleet.engine_addresses()[0];
    let injected = fleet.inject_faults(address, &faults).await;
    injected.expect("the engine responds");
}

/// Ends the body of the next response of the service in the same way.
async fn end_next_call_after(fleet: &Fleet, bytes: usize, content_type: Option<&str>) {
    let faults = service::Faults {
        end_body_after: Some(bytes),
        content_type: content_type.map(str::to_owned),
        ..service::Faults::default()
    };
    let address = fleet.service_address().expect("the fleet has a service");
    let injected = fleet.inject_faults(address, &faults).await;
    injected.expect("the service responds");
}

/// Sends a request and returns the body of the answer, unless it is an error or looks broken off.
async fn send_once(address: SocketAddr, path: &str, body: String) -> Option<String> {
    let request = Request::post(format!("http://{address}{path}"))
        .header("idempotency-key", key())
        .header("ploverwick-non-idempotent", "true")
        .body(Full::from(body))
        .expect("the request is valid");
    let response = Client::new().send(address, request).await.ok()?;
    let is_success = response.status().is_success();
    let body = response.into_body().collect().await.ok()?.to_bytes();
    is_success.then(|| String::from_utf8_lossy(&body).into_owned())
}

/// Runs a request that is not repeated.
async fn run_once(fleet: &Fleet, stream: bool) -> Option<String> {
    let body = serde_json::json!({
        "model": "base:school-001@v1", "prompt": "hint", "max_tokens": 4, "user": "once", "stream": stream,
    });
    let address = fleet.caller_addresses()[0];
    send_once(address, "/v1/completions", body.to_string()).await
}

/// Guards against a stream that is delivered as complete though its engine broke it off, inside an event or after one.
#[gtest]
#[tokio::test]
async fn cut_streams_look_broken() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let mut whole = String::new();
    for _ in 0..RUNS_TO_SAME_LENGTH {
        end_next_run_after(&fleet, WHOLE).await;
        whole = run_once(&fleet, true).await.expect("the stream is whole");
        assert_that!(whole, ends_with("data: [DONE]\n\n"));
    }
    let after_events = whole.match_indices("\n\n").map(|(at, _)| at + 2);
    let cuts = (0..whole.len()).step_by(CUT_STEP).chain(after_events);
    for cut in cuts.filter(|cut| *cut < whole.len()) {
        end_next_run_after(&fleet, cut).await;
        let got = run_once(&fleet, true).await;
        expect_that!(got, none(), "cut after {cut} bytes");
    }
}

/// Guards against a stream that is not resumed because its engine broke it off without an error.
#[gtest]
#[tokio::test]
async fn cut_streams_are_resumed() {
    let fleet = ready_fleet(plan(1, 1)).await;
    for cut in [0, 1, 150, 250, 400] {
        end_next_run_after(&fleet, cut).await;
        let work = Work {
            stream: true,
            ..work(&format!("cut-{cut}"), "school-001", 4)
        };
        let outcome = send_work(&fleet, 0, &work, None).await;
        expect_that!(outcome.result, matches_pattern!(CallResult::Complete(_)));
        expect_that!(outcome.attempts.len(), eq(1), "cut after {cut} bytes");
    }
}

/// Guards against a truncated completion that is delivered as complete.
#[gtest]
#[tokio::test]
async fn cut_completions_fail() {
    let fleet = ready_fleet(plan(1, 1)).await;
    end_next_run_after(&fleet, WHOLE).await;
    let whole = run_once(&fleet, false).await;
    let whole = whole.expect("the completion is whole");
    for cut in (0..whole.len()).step_by(CUT_STEP) {
        end_next_run_after(&fleet, cut).await;
        let got = run_once(&fleet, false).await;
        expect_that!(got, none(), "cut after {cut} bytes");
    }
}

/// Guards against a truncated answer of a plain service that is delivered as complete though its content shows the cut.
#[gtest]
#[tokio::test]
async fn cut_service_answers_look_broken() {
    const EVENTS: &str = "data: a\n\ndata: b\r\n\r\n";
    const DOCUMENT: &str = r#"{"text":"a"}"#;
    let fleet = ready_fleet(plan(1, 1)).await;
    let address = fleet.caller_addresses()[0];
    let call = async |content_type, content: &str, end| {
        end_next_call_after(&fleet, end, Some(content_type)).await;
        send_once(address, "/apps/transcripts/x", content.to_owned()).await
    };
    for (content_type, content) in [
        ("text/event-stream; charset=utf-8", EVENTS),
        ("application/json", DOCUMENT),
        ("text/plain", "a text"),
    ] {
        let got = call(content_type, content, WHOLE).await;
        expect_that!(got, some(eq(content)), "{content_type}");
    }
    let after_event = EVENTS.find("\n\n").map(|at| at + 2);
    for end in (0..EVENTS.len()).filter(|end| Some(*end) != after_event) {
        let got = call("text/event-stream", EVENTS, end).await;
        expect_that!(got, none(), "cut after {end} bytes");
    }
    for end in 0..DOCUMENT.len() {
        let got = call("application/json", DOCUMENT, end).await;
        expect_that!(got, none(), "cut after {end} bytes");
    }
}
