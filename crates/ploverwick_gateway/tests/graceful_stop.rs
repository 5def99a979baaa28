//! Which requests a gateway still takes once it has been asked to stop.

mod common;

use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Ends a test that would hang.
const HANG_LIMIT: Duration = Duration::from_secs(12);
/// How long after the signal a connection is opened. The gateway still takes requests for longer.
const LATE: Duration = Duration::from_millis(800);
/// Long enough for connections that are closed at the same time to be closed.
const SETTLE: Duration = Duration::from_millis(200);
/// The time limit of requests that outlast the process.
const TIMEOUT: Duration = Duration::from_secs(20);
/// The result code for a request that an instance refuses because it stops.
const DRAINING: &str = "3000";

/// A gateway before an endpoint of each service, and a connection by which a test notices that it takes no more requests.
struct Stopping {
    gateway: Gateway,
    app: Endpoint,
    engine: Endpoint,
    silent: TcpStream,
}

impl Stopping {
    /// Starts a gateway whose process ends `grace` after the signal at the latest.
    async fn start(grace: Duration) -> Result<Self> {
        let app = Endpoint::start("i-a", "app", None, "d1").await?;
        let engine = Endpoint::start("i-l", "lm", Some("base"), "d1").await?;
        let store = Store::start().await?;
        for endpoint in [&app, &engine] {
            store.list(endpoint.id(), &endpoint.entry("ready"));
        }
        let mut config = settings::config(1);
        for path in ["/once/", "/live/", "/resume/"] {
            settings::set_timeout(&mut config, path, TIMEOUT);
        }
        store.configure(&config);
        let gateway = Gateway::with_settings(store, |settings| settings.grace = grace).await?;
        gateway.wait_until_ready(true).await?;
        for (path, endpoint) in [("/safe/", &app), ("/live/", &engine)] {
            while endpoint.requests_received() == 0 {
                drop(gateway.request("warm", path).await);
            }
        }
        let silent = TcpStream::connect(gateway.front).await?;
        Ok(Self {
            gateway,
            app,
            engine,
            silent,
        })
    }

    async fn connect(&self) -> Result<TcpStream> {
        Ok(TcpStream::connect(self.gateway.front).await?)
    }

    fn stop(&mut self) {
        self.gateway.stop();
    }

    /// Waits until the connection that was silent since before the signal is closed.
    async fn wait_until_closed(&mut self) -> Result<()> {
        let mut byte = [0];
        tokio::time::timeout(HANG_LIMIT, self.silent.read(&mut byte)).await??;
        tokio::time::sleep(SETTLE).await;
        Ok(())
    }
}

fn request(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/once/").timeout(TIMEOUT)
}

/// Sends bytes and returns the response. It is empty if the connection is closed without one.
async fn exchange(stream: &mut TcpStream, bytes: &str) -> Result<String> {
    // A connection that is closed fails the write or the read.
    drop(stream.write_all(bytes.as_bytes()).await);
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    drop(tokio::time::timeout(HANG_LIMIT, read).await?);
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Guards against a first request that is taken and cut off, on a connection that was opened after the signal and is granted as
/// much time as one that was open before.
#[gtest]
#[tokio::test]
async fn late_connections() -> Result<()> {
    let mut stopping = Stopping::start(Duration::from_secs(8)).await?;
    stopping.stop();
    tokio::time::sleep(LATE).await;
    let mut late = stopping.connect().await?;
    stopping.wait_until_closed().await?;
    let head = format!("{}\r\n", request("late").partial_head());
    let response = exchange(&mut late, &head).await?;
    expect_that!(response, eq(""));
    expect_that!(count_runs(&[&stopping.app], "late"), eq(0));
    Ok(())
}

/// Guards against a first request that is taken because a part of its head had arrived when the gateway stopped to take requests.
#[gtest]
#[tokio::test]
async fn partial_heads() -> Result<()> {
    let mut stopping = Stopping::start(Duration::from_secs(8)).await?;
    let mut partial = stopping.connect().await?;
    let head = request("partial").partial_head();
    partial.write_all(head.as_bytes()).await?;
    tokio::time::sleep(SETTLE).await;
    stopping.stop();
    stopping.wait_until_closed().await?;
    let response = exchange(&mut partial, "\r\n").await?;
    expect_that!(response, eq(""));
    expect_that!(count_runs(&[&stopping.app], "partial"), eq(0));
    Ok(())
}

/// Guards against a request that is passed on and cut off because its body was still arriving when the gateway stopped to take
/// requests.
#[gtest]
#[tokio::test]
async fn slow_bodies() -> Result<()> {
    let mut stopping = Stopping::start(Duration::from_secs(8)).await?;
    let mut slow = stopping.connect().await?;
    let head = format!("{}\r\nab", request("slow").body("abcd").partial_head());
    slow.write_all(head.as_bytes()).await?;
    tokio::time::sleep(SETTLE).await;
    stopping.stop();
    stopping.wait_until_closed().await?;
    let response = exchange(&mut slow, "cd").await?;
    expect_that!(response, starts_with("HTTP/1.1 503"));
    expect_that!(response, contains_substring(DRAINING));
    expect_that!(count_runs(&[&stopping.app], "slow"), eq(0));
    Ok(())
}

/// Guards against a request that waits for its adapter until the process ends, and is then cut off though it never ran.
#[gtest]
#[tokio::test]
async fn waiting_requests() -> Result<()> {
    let mut stopping = Stopping::start(Duration::from_secs(2)).await?;
    stopping.engine.set_busy(true);
    let request = ClientRequest::new("waiting", HOST, "/live/").model("base/a1");
    let request = request.timeout(TIMEOUT);
    let front = stopping.gateway.front;
    let waiting = tokio::spawn(async move { client::send(front, &request).await });
    tokio::time::sleep(SETTLE).await;
    stopping.stop();
    let got = tokio::time::timeout(HANG_LIMIT, waiting).await???;
    expect_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(got.code.as_deref(), some(eq(DRAINING)));
    expect_that!(got.retry_after, some(anything()));
    expect_that!(count_runs(&[&stopping.engine], "waiting"), eq(0));
    Ok(())
}

/// Guards against cutting off what a request began, in a deployment whose processes get less time to stop than new connections
/// take to go elsewhere.
#[gtest]
#[tokio::test]
async fn short_grace() -> Result<()> {
    /// A third of the time that the process has to stop.
    const ANSWER_TIME_MS: u32 = 1_000;
    let mut stopping = Stopping::start(Duration::from_secs(3)).await?;
    stopping
        .engine
        .script(&[Action::Pause(0, ANSWER_TIME_MS); 1_000]);
    stopping.stop();
    let until = Instant::now() + HANG_LIMIT;
    let mut sent = Vec::new();
    for number in 0.. {
        // The gateway has stopped to listen.
        let Ok(open) = stopping.connect().await else {
            break;
        };
        drop(open);
        let front = stopping.gateway.front;
        let id: Arc<str> = format!("r{number}").into();
        let request = ClientRequest::new(&id, HOST, "/live/").timeout(TIMEOUT);
        let pending = tokio::spawn(async move { client::send(front, &request).await });
        sent.push((id, pending));
        assert_that!(Instant::now(), lt(until));
        tokio::time::sleep(SETTLE).await;
    }
    (&mut stopping.gateway.served).await?;
    // What the process has sent when it ends is on its way to the clients.
    tokio::time::sleep(SETTLE).await;
    let mut whole = 0;
    for (id, pending) in sent {
        expect_that!(pending.is_finished(), eq(true), "{id} is cut off");
        let got = tokio::time::timeout(HANG_LIMIT, pending).await??;
        let has_run = count_runs(&[&stopping.engine], &id) > 0;
        let is_whole = got.is_ok_and(|got| {
            got.is_whole && got.body.matches("id: ").count() == usize::try_from(EVENTS).unwrap_or(0)
        });
        expect_that!(is_whole, eq(has_run), "{id}");
        whole += usize::from(is_whole);
    }
    expect_that!(whole, gt(0));
    Ok(())
}
