//! A second answer to a request that arrives where the answer to the next one is expected belongs to no request.

mod common;
#[expect(dead_code, reason = "each test file uses only some of the helpers")]
mod partitioned;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::ledger::Ledger;
use ploverwick_platform_standin::loader::Loader;
use ploverwick_platform_standin::raw::{RawAnswer, RawEndpoint, RawExchange, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

const REQUESTS: usize = 20;
/// Few enough that the endpoint is not ejected for its failures.
const REQUESTS_PER_KIND: usize = 3;
/// The path of a call that may run once, and the attempts at it that wait until the endpoint is in use.
const PATH: &str = "/raw/x";
const WARM: &str = "warm";

/// Lets each request earn enough retries for all its sends.
fn allow_retries(settings: &mut Settings) {
    settings.repeat_ratio = 4.0;
}

fn config() -> Value {
    let mut config = settings::config(1);
    settings::add_service(&mut config, "raw", &[("/raw/", "non_idempotent")]);
    config
}

/// Refuses the first send of each attempt. If the next request on the connection is the same attempt, a second copy of the
/// refusal precedes its answer.
fn refuse_first_sends(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    let id = &request.id;
    let is_first = ledger.record_send(id) == 0;
    if is_first && !id.starts_with(WARM) {
        return RawAnswer::refusal();
    }
    let answer = ledger.record_run(id);
    match &request.previous {
        Some(previous) if previous.id == *id => answer.after_copy(previous),
        Some(_) | None => answer,
    }
}

async fn send(front: SocketAddr, id: &str) -> Result<StatusCode> {
    let got = client::send(front, &ClientRequest::new(id, HOST, PATH)).await?;
    Ok(got.status)
}

async fn wait_until_served(front: SocketAddr) -> Result<()> {
    for number in 0.. {
        if send(front, &format!("{WARM}{number}")).await? == StatusCode::OK {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Sends attempts that the endpoint refuses at first. Expects that each is served and runs once.
async fn expect_single_runs(front: SocketAddr, ledger: &Ledger) -> Result<()> {
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        let status = send(front, &id).await?;
        expect_that!(status, eq(StatusCode::OK), "{id}");
        expect_that!(ledger.runs(&id), eq(1), "{id}");
    }
    Ok(())
}

async fn start_endpoint(
    answer: impl Fn(&Ledger, &RawRequest) -> RawAnswer + Send + Sync + 'static,
) -> Result<(RawEndpoint, Arc<Ledger>)> {
    let ledger = Arc::<Ledger>::default();
    let of_endpoint = Arc::clone(&ledger);
    let answer = move |request: &RawRequest| answer(&of_endpoint, request);
    Ok((RawEndpoint::start("i-raw", "raw", answer).await?, ledger))
}

/// Guards against a second run, or a refusal of what has run: the second copy of a refusal was taken for the answer to the
/// next send of the same attempt.
#[gtest]
#[tokio::test]
async fn refused_attempts_run_once() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(refuse_first_sends).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    expect_single_runs(gateway.front, &ledger).await
}

/// Guards against the same on connections that another instance relays.
#[gtest]
#[tokio::test]
async fn relayed_attempts_run_once() -> Result<()> {
    let deployment =
        Deployment::with_settings(config(), |_, settings| allow_retries(settings)).await?;
    let (endpoint, ledger) = start_endpoint(refuse_first_sends).await?;
    let (ip, front) = deployment.fronts[0];
    endpoint.cut(ip);
    deployment.store.list(endpoint.id(), &endpoint.entry());
    wait_until_served(front).await?;
    expect_single_runs(front, &ledger).await
}

/// Returns answers of each kind that do not name their attempts.
fn unnamed_answers() -> Vec<RawAnswer> {
    let answers = [
        RawAnswer::refusal(),
        RawAnswer::status("429 Too Many Requests").not_executed(),
        RawAnswer::status("408 Request Timeout").not_executed(),
        RawAnswer::status("421 Misdirected Request"),
        RawAnswer::status("400 Bad Request"),
        RawAnswer::status("500 Internal Server Error"),
        RawAnswer::framed("text/plain", b"another's"),
        RawAnswer::chunked("text/plain", b"another's"),
    ];
    answers.map(RawAnswer::unnamed).into()
}

/// Answers an attempt whose identifier begins with the number of an unnamed answer with that one, and runs others. If the
/// request before on the connection got an unnamed answer, a second copy of it precedes.
fn answer_unnamed(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    if let Some((kind, _)) = request.id.split_once("-unnamed") {
        let kind: usize = kind.parse().expect("the number of an answer");
        return unnamed_answers().swap_remove(kind);
    }
    let answer = ledger.record_run(&request.id);
    match &request.previous {
        Some(previous) if !previous.answer.names_attempt => answer.after_copy(previous),
        Some(_) | None => answer,
    }
}

/// Guards against a second run, a refusal of what has run, or another request's answer: an answer that names no attempt was
/// taken for that to whichever request was last on the connection.
#[gtest]
#[tokio::test]
async fn unnamed_copies_are_ignored() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(answer_unnamed).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    for (kind, unnamed) in unnamed_answers().into_iter().enumerate() {
        for number in 0..REQUESTS_PER_KIND {
            send(gateway.front, &format!("{kind}-unnamed{number}")).await?;
            let id = format!("r{kind}-{number}");
            let got = client::send(gateway.front, &ClientRequest::new(&id, HOST, PATH)).await?;
            expect_that!(
                got.status,
                eq(StatusCode::OK),
                "{id} after {}",
                unnamed.head
            );
            expect_that!(got.body, eq("done"), "{id} after {}", unnamed.head);
            expect_that!(ledger.runs(&id), eq(1), "{id} after {}", unnamed.head);
        }
    }
    Ok(())
}

/// Runs each request. If its identifier says so, a copy of the answer before it on the connection precedes, without an
/// identifier.
fn copy_without_name(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    let answer = ledger.record_run(&request.id);
    match &request.previous {
        Some(previous) if request.id.starts_with("copy") => {
            let answer_before = previous.answer.clone().unnamed();
            answer.after_copy(&RawExchange {
                answer: answer_before,
                ..RawExchange::clone(previous)
            })
        }
        Some(_) | None => answer,
    }
}

/// Guards against a second answer that has lost the identifier of the first.
#[gtest]
#[tokio::test]
async fn copies_that_lost_names_are_ignored() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(copy_without_name).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    let status = send(gateway.front, "copy").await?;
    expect_that!(status, eq(StatusCode::BAD_GATEWAY));
    // The endpoint may leave the identifier out of other answers, too.
    for number in 0..REQUESTS {
        let id = format!("copy{number}");
        let status = send(gateway.front, &id).await?;
        expect_that!(status, eq(StatusCode::OK), "{id}");
        expect_that!(ledger.runs(&id), eq(1), "{id}");
    }
    Ok(())
}

/// Returns refusals of each status that promises "not run". None names its attempt.
fn unnamed_refusals() -> Vec<RawAnswer> {
    let refusals = [
        RawAnswer::refusal(),
        RawAnswer::status("429 Too Many Requests").not_executed(),
        RawAnswer::status("408 Request Timeout").not_executed(),
        RawAnswer::status("400 Bad Request").not_executed(),
        RawAnswer::status("421 Misdirected Request"),
    ];
    refusals.map(RawAnswer::unnamed).into()
}

/// Runs each request. If its identifier begins with the number of an unnamed refusal, that one precedes the answer to the
/// first request of each connection.
fn precede_by_refusal(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    let answer = ledger.record_run(&request.id);
    let Some((kind, _)) = request.id.split_once("-first") else {
        return answer;
    };
    let kind: usize = kind.parse().expect("the number of a refusal");
    answer.after_copy(&RawExchange {
        id: String::new(),
        answer: unnamed_refusals().swap_remove(kind),
    })
}

/// Guards against a second run, or a refusal of what has run: a refusal that names no attempt was taken for the answer to
/// the first request of a connection.
#[gtest]
#[tokio::test]
async fn unnamed_refusals_prove_nothing() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(precede_by_refusal).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    for (kind, refusal) in unnamed_refusals().into_iter().enumerate() {
        for number in 0..REQUESTS_PER_KIND {
            let id = format!("{kind}-first{number}");
            let status = send(gateway.front, &id).await?;
            expect_that!(status, eq(StatusCode::BAD_GATEWAY), "{}", refusal.head);
            expect_that!(ledger.runs(&id), eq(1), "{}", refusal.head);
            // The endpoint stays in use.
            wait_until_served(gateway.front).await?;
        }
    }
    Ok(())
}

/// Returns answers of endpoints that have run a request, which state nevertheless that it was not run.
fn contradictory_answers() -> Vec<RawAnswer> {
    let answers = [
        RawAnswer::status("500 Internal Server Error"),
        RawAnswer::status("504 Gateway Timeout"),
        RawAnswer::framed("text/plain", b"done"),
    ];
    answers.map(RawAnswer::contradicted).into()
}

/// Runs each request, and gives the contradictory answer by whose number its identifier begins.
fn contradict(ledger: &Ledger, request: &RawRequest) -> RawAnswer {
    let answer = ledger.record_run(&request.id);
    let Some((kind, _)) = request.id.split_once("-contradicted") else {
        return answer;
    };
    let kind: usize = kind.parse().expect("the number of an answer");
    contradictory_answers().swap_remove(kind)
}

/// Guards against a second run: a statement that the request was not run was believed beside a status that says that it was.
#[gtest]
#[tokio::test]
async fn contradicted_statements_prove_nothing() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let (endpoint, ledger) = start_endpoint(contradict).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    wait_until_served(gateway.front).await?;
    for (kind, answer) in contradictory_answers().into_iter().enumerate() {
        for number in 0..REQUESTS_PER_KIND {
            let id = format!("{kind}-contradicted{number}");
            let status = send(gateway.front, &id).await?;
            expect_that!(status, not(eq(StatusCode::OK)), "{}", answer.head);
            expect_that!(
                status,
                not(eq(StatusCode::SERVICE_UNAVAILABLE)),
                "{}",
                answer.head
            );
            expect_that!(ledger.runs(&id), eq(1), "{}", answer.head);
            wait_until_served(gateway.front).await?;
        }
    }
    Ok(())
}

/// Guards against a request that gets the second copy of an answer to an order or a report, and an order that counts as
/// carried out by the second copy of an answer to another one.
#[gtest]
#[tokio::test]
async fn calls_share_no_connection() -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let engine = Arc::<Loader>::default();
    let of_endpoint = Arc::clone(&engine);
    let answer = move |request: &RawRequest| of_endpoint.answer(request);
    let endpoint = RawEndpoint::start("i-lm", "lm", answer).await?;
    let mut entry = endpoint.entry();
    entry["models"] = json!([{"name": "base", "version": 1, "adapters": []}]);
    gateway.store.list(endpoint.id(), &entry);
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    // Its answer shows that the endpoint is listed, whether or not the adapter was loaded.
    while engine.ledger().sends(WARM) == 0 {
        gateway.stream(WARM, "/live/x", "a0").await?;
    }
    for number in 0..REQUESTS {
        let id = format!("r{number}");
        // More adapters than slots, so that they take turns.
        let adapter = format!("a{}", number % 5);
        let got = gateway.stream(&id, "/live/x", &adapter).await?;
        expect_that!(got.status, eq(StatusCode::OK), "{id}");
        expect_that!(got.body, eq("done"), "{id}");
        expect_that!(engine.ledger().runs(&id), eq(1), "{id}");
    }
    expect_that!(engine.mixed_exchanges(), eq(0));
    Ok(())
}
