//! What an instance holds for its clients stays within its memory limit.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, SlowReader};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// A body of the largest size that the configuration allows.
const BODY_BYTES: usize = 1_000;
const PIECE_BYTES: usize = 64 * 1_024;
const ANSWER_BYTES: usize = 256 * PIECE_BYTES;

fn request(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/once/").body(vec![b'x'; BODY_BYTES])
}

/// Guards against request bodies that take an instance beyond its memory limit.
#[tokio::test]
async fn bodies_are_refused_without_room() -> Result<()> {
    // There is room for four bodies.
    let memory = Some(4 * 4 * BODY_BYTES as u64);
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let store = Store::start().await?;
    let gateway = Gateway::with_settings(store, |settings| settings.memory = memory).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry("ready"));
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while endpoint.requests_received() == 0 {
        drop(gateway.request("warm", "/safe/warm").await);
    }
    endpoint.script(&[Action::Hang; 4]);
    let ids = ["r0", "r1", "r2", "r3"];
    let front = gateway.front;
    let held = ids.map(|id| tokio::spawn(async move { client::send(front, &request(id)).await }));
    while ids.iter().any(|id| count_runs(&[&endpoint], id) == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let got = client::send(front, &request("r4")).await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.code, some(eq("3018")));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(count_runs(&[&endpoint], "r4"), eq(0));
    held.iter().for_each(tokio::task::JoinHandle::abort);
    while client::send(front, &request("r5")).await?.status != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Starts a gateway with a memory limit, before an endpoint whose answers to `/once/` are long.
async fn start_with_long_answers() -> Result<(Gateway, RawEndpoint)> {
    let answer = |request: &RawRequest| {
        let is_long = request.path.starts_with("/once/");
        let body = vec![b'x'; if is_long { ANSWER_BYTES } else { 1 }];
        let answer = RawAnswer::unframed("text/plain", &body, PIECE_BYTES, Ending::Keep);
        let answer = answer.header("Content-Length", &body.len().to_string());
        answer.cut_off_after(Duration::from_millis(500))
    };
    let endpoint = RawEndpoint::start("i-a", "app", answer).await?;
    let store = Store::start().await?;
    let memory = Some(ANSWER_BYTES as u64);
    let gateway = Gateway::with_settings(store, |settings| settings.memory = memory).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while gateway.request("warm", "/safe/warm").await?.status != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Ok((gateway, endpoint))
}

/// Guards against a plain answer that is held as a whole for a client that does not read it.
#[tokio::test]
async fn unread_answer_is_not_held() -> Result<()> {
    let (gateway, endpoint) = start_with_long_answers().await?;
    let request = ClientRequest::new("r1", HOST, "/once/");
    let reader = SlowReader::open(gateway.front, &request).await?;
    while endpoint.cut_offs() == 0 {
        // An endpoint that has sent all of it is done.
        assert_that!(endpoint.completions("r1"), eq(0));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_that!(reader.read_rest().await.len(), lt(ANSWER_BYTES));
    Ok(())
}

#[tokio::test]
async fn long_answer_reaches_its_reader() -> Result<()> {
    let (gateway, _endpoint) = start_with_long_answers().await?;
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.is_whole, eq(true));
    assert_that!(got.body.len(), eq(ANSWER_BYTES));
    Ok(())
}
