//! An endpoint that sends bytes without end is cut off, and other requests are served meanwhile.

mod common;
#[expect(dead_code, reason = "each test file uses only some of the helpers")]
mod partitioned;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform::settings::Settings;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::{Value, json};

const REQUESTS: usize = 4;
/// More than the buffers of a connection hold.
const MAX_BYTES: usize = 16 * 1_024 * 1_024;
/// The place after a whole answer, before the next request on the connection.
const IDLE: &str = "idle";
const PLAIN: &str = "text/plain";
const EVENTS: &str = "text/event-stream";
/// The time limit of the routes.
const TIMEOUT: Duration = Duration::from_secs(2);

fn config() -> Value {
    let mut config = settings::config(1);
    settings::add_service(&mut config, "raw", &[("/raw/", "non_idempotent")]);
    settings::add_service(&mut config, "events", &[("/events/", "stream")]);
    let routes = config["routes"].as_array_mut().expect("a list of routes");
    let resumable = routes.last_mut().expect("the route of the events");
    resumable["resumable"] = json!(true);
    settings::set_attempts(&mut config, "/events/", 2);
    config
}

/// Answers what the identifier names, and other requests at once.
fn answer(request: &RawRequest) -> RawAnswer {
    let endless = |content_type: &str, bytes| {
        RawAnswer::unframed(content_type, b"", 1, Ending::Endless(bytes))
    };
    let place = request.id.split('-').next().unwrap_or_default();
    match place {
        // The value of the last header goes on.
        "head" => RawAnswer {
            head_end: "",
            ..endless(PLAIN, b"x")
        },
        "informational" => RawAnswer {
            head: "100 Continue".to_owned(),
            ..endless(PLAIN, b"HTTP/1.1 100 Continue\r\n\r\n")
        },
        "refusal" => endless(PLAIN, b"x").not_executed(),
        "chunks" => endless(PLAIN, b"1\r\nx\r\n")
            .header("Transfer-Encoding", "chunked")
            .not_executed(),
        "failure" => {
            let mut answer = endless(PLAIN, b"x");
            answer.head = answer
                .head
                .replacen("200 OK", "500 Internal Server Error", 1);
            answer
        }
        "unsigned" => endless(PLAIN, b"x").unsigned(),
        "foreign" => endless(PLAIN, b"x").names_other(),
        "event" => endless(EVENTS, b"data: x"),
        IDLE => RawAnswer {
            ending: Ending::Endless(b"x"),
            ..RawAnswer::framed(PLAIN, b"done")
        },
        _ => RawAnswer::framed(PLAIN, b"done"),
    }
}

fn allow_retries(settings: &mut Settings) {
    settings.repeat_ratio = 4.0;
}

async fn send(front: SocketAddr, id: &str, path: &str) -> Result<ClientResponse> {
    let request = ClientRequest::new(id, HOST, path).timeout(TIMEOUT);
    client::send(front, &request).await
}

/// Sends requests that the endpoint of a service answers without end at a place. Expects that each is answered with `status`,
/// that the endpoint is cut off, and that another request is served after each.
async fn expect_cut_off(
    front: SocketAddr,
    endpoint: &RawEndpoint,
    service: &str,
    place: &str,
    status: u16,
) -> Result<()> {
    let path = format!("/{service}/x");
    while send(front, "warm", &path).await?.status != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for number in 0..REQUESTS {
        let got = send(front, &format!("{place}-{number}"), &path).await?;
        expect_that!(got.status.as_u16(), eq(status), "{place}");
        if place == IDLE {
            // Excess bytes that arrive after the next request was sent look like the start of its response.
            while endpoint.disconnects() <= number {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        let sound = send(front, &format!("sound-{number}"), &path).await?;
        expect_that!(sound.status, eq(StatusCode::OK), "{place}");
    }
    expect_few_bytes(endpoint).await;
    Ok(())
}

/// Waits until the endpoint was cut off several times, and expects that little was read from it.
async fn expect_few_bytes(endpoint: &RawEndpoint) {
    // An endpoint notices the end of a connection as it sends.
    while endpoint.disconnects() < REQUESTS {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let bytes_per_connection = endpoint.endless_bytes() / endpoint.disconnects();
    expect_that!(bytes_per_connection, lt(MAX_BYTES));
}

async fn expect_direct_cut_off(service: &str, place: &str, status: u16) -> Result<()> {
    let gateway = Gateway::with_settings(Store::start().await?, allow_retries).await?;
    let endpoint = RawEndpoint::start("i-raw", service, answer).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    expect_cut_off(gateway.front, &endpoint, service, place, status).await
}

macro_rules! places {
    ($($name:ident: $service:literal, $place:expr, $status:literal;)*) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
            async fn $name() -> Result<()> {
                expect_direct_cut_off($service, $place, $status).await
            }
        )*
    };
}

places! {
    heads_are_cut_off: "raw", "head", 502;
    informational_heads_are_cut_off: "raw", "informational", 502;
    refusals_are_cut_off: "raw", "refusal", 503;
    refusals_in_chunks_are_cut_off: "raw", "chunks", 503;
    failures_are_cut_off: "raw", "failure", 502;
    unsigned_answers_are_cut_off: "raw", "unsigned", 502;
    foreign_answers_are_cut_off: "raw", "foreign", 502;
    events_are_cut_off: "events", "event", 200;
    idle_connections_are_cut_off: "raw", IDLE, 200;
}

/// Guards against a report that takes the memory of the placer's instance.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn reports_are_cut_off() -> Result<()> {
    let gateway = Gateway::unconfigured().await?;
    let report =
        |_: &RawRequest| RawAnswer::unframed("application/json", b"", 1, Ending::Endless(b" "));
    let endpoint = RawEndpoint::start("i-lm", "lm", report).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    expect_few_bytes(&endpoint).await;
    Ok(())
}

/// Guards against a relay that goes on reading what its requester no longer wants.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relayed_answers_are_cut_off() -> Result<()> {
    let deployment =
        Deployment::with_settings(config(), |_, settings| allow_retries(settings)).await?;
    let endpoint = RawEndpoint::start("i-raw", "raw", answer).await?;
    let (ip, front) = deployment.fronts[0];
    endpoint.cut(ip);
    deployment.store.list(endpoint.id(), &endpoint.entry());
    expect_cut_off(front, &endpoint, "raw", "refusal", 503).await
}
