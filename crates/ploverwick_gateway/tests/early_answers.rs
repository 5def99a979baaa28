//! An answer that is sent and followed by a close before the whole request body was read reaches the client.

mod common;
#[expect(dead_code, reason = "each test file uses only some of the helpers")]
mod partitioned;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint, RawRequest};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More than the buffers of a connection hold whose peer does not read.
const BODY_BYTES: usize = 8 * 1_024 * 1_024;
/// Long enough for such a body on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS: usize = 20;
const LONG_ANSWER_BYTES: usize = 4 * 1_024 * 1_024;
const SHORT_ANSWER_BYTES: usize = 100;

fn config() -> Value {
    let mut config = settings::config(1);
    config["limits"]["max_body_bytes"] = (2 * BODY_BYTES).into();
    settings::add_service(&mut config, "raw", &[("/raw/", "non_idempotent")]);
    settings::set_timeout(&mut config, "/raw/", TIMEOUT);
    config
}

/// Answers with what the path names. An endpoint that closes at once only has time for a short answer.
fn answer(request: &RawRequest) -> RawAnswer {
    let path = request.path.as_str();
    if path.ends_with("reset") {
        return RawAnswer::unframed("text/plain", b"cut off", 3, Ending::Reset);
    }
    let (ending, length) = if path.ends_with("drain") {
        (Ending::Drain, LONG_ANSWER_BYTES)
    } else {
        (Ending::Close, SHORT_ANSWER_BYTES)
    };
    let mut answer = RawAnswer::unframed("text/plain", &vec![b'x'; length], 16 * 1_024, ending)
        .header("Content-Length", &length.to_string())
        .header("Connection", "close");
    if path.contains("failure") {
        answer.head = answer
            .head
            .replacen("200 OK", "500 Internal Server Error", 1);
    }
    if path.contains("refusal") {
        answer = answer.not_executed();
    }
    answer
}

async fn send(front: SocketAddr, id: &str, path: &str, bytes: usize) -> Result<ClientResponse> {
    let request = ClientRequest::new(id, HOST, path).body(Bytes::from(vec![b'x'; bytes]));
    client::send(front, &request.timeout(TIMEOUT)).await
}

/// Sends requests that the endpoint answers early. Expects that all answers arrive, and that none that was cut off looks
/// whole.
async fn expect_answers(front: SocketAddr) -> Result<()> {
    while send(front, "warm", "/raw/warm", 1).await?.status != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let failure = (StatusCode::INTERNAL_SERVER_ERROR, None);
    let refusal = (StatusCode::SERVICE_UNAVAILABLE, Some("3008"));
    let cut_off = (StatusCode::OK, None);
    for (path, (status, code), expected) in [
        ("/raw/failure-drain", failure, REQUESTS),
        ("/raw/failure-close", failure, REQUESTS),
        ("/raw/refusal-close", refusal, REQUESTS),
        ("/raw/reset", cut_off, 0),
    ] {
        let mut count = 0;
        for number in 0..REQUESTS {
            let got = send(front, &format!("{path}{number}"), path, BODY_BYTES).await?;
            let is_expected = got.status == status && got.code.as_deref() == code;
            count += usize::from(is_expected && got.is_whole);
        }
        expect_that!(count, eq(expected), "{path}");
    }
    Ok(())
}

/// Guards against losing an answer because the rest of its request can no longer be written.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn direct_answers_arrive() -> Result<()> {
    let gateway = Gateway::start(Store::start().await?, true).await?;
    let endpoint = RawEndpoint::start_early("i-raw", "raw", answer).await?;
    gateway.store.list(endpoint.id(), &endpoint.entry());
    gateway.store.configure(&config());
    gateway.wait_until_ready(true).await?;
    expect_answers(gateway.front).await
}

/// Guards against a relay that closes a connection while the requester still sends, or before it has read the answer.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn relayed_answers_arrive() -> Result<()> {
    let deployment = Deployment::with_settings(config(), |_, _| {}).await?;
    let endpoint = RawEndpoint::start_early("i-raw", "raw", answer).await?;
    let (ip, front) = deployment.fronts[0];
    endpoint.cut(ip);
    deployment.store.list(endpoint.id(), &endpoint.entry());
    expect_answers(front).await
}

/// Sends a request whose body is too large, whole, before it reads the reply.
async fn send_whole(front: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(front).await?;
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; BODY_BYTES]).await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    Ok(reply)
}

/// Guards against a connection that is closed on a client that still sends a refused request, which then sees a reset.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_reach_clients() -> Result<()> {
    let gateway = Gateway::with_endpoints(&[]).await?;
    for (path, status) in [("/safe/x", "HTTP/1.1 413"), ("/unknown/x", "HTTP/1.1 404")] {
        let mut count = 0;
        for _ in 0..REQUESTS {
            let reply = send_whole(gateway.front, path).await;
            count += usize::from(reply.is_ok_and(|reply| reply.starts_with(status)));
        }
        expect_that!(count, eq(REQUESTS), "{path}");
    }
    Ok(())
}

/// Guards against an instance that lingers for a client whose request it has read to the end, as long as that client keeps
/// its connection.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections_close_at_once() -> Result<()> {
    let mut gateway = Gateway::with_endpoints(&[]).await?;
    let mut stream = TcpStream::connect(gateway.front).await?;
    let request = format!("POST /unknown/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n\r\nx");
    for _ in 0..2 {
        // The second request shows that the connection is kept.
        stream.write_all(request.as_bytes()).await?;
        let mut reply = [0; 1_024];
        assert_that!(stream.read(&mut reply).await?, gt(0));
    }
    gateway.stop();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await?;
    let mut is_closed = false;
    for _ in 0..20 {
        is_closed |= stream.write_all(b"x").await.is_err();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_that!(is_closed, eq(true));
    Ok(())
}
