//! Forwarding of requests to endpoints and of their responses to clients.

mod common;

use anyhow::Result;
use common::{Gateway, HOST, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::settings;

#[tokio::test]
async fn forwards_unchanged() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let request = ClientRequest::new("r1", HOST, "/once/x/y?z=1&z=2").body("some bytes");
    let got = client::send(gateway.front, &request).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    assert_that!(got.body, eq("the endpoint's bytes"));
    assert_that!(got.is_signed, eq(true));
    let all = [a.runs(), b.runs()].concat();
    let run = all
        .iter()
        .find(|run| run.id == "r1")
        .expect("the request ran");
    assert_that!(run.path, eq("/once/x/y?z=1&z=2"));
    assert_that!(&run.body[..], eq(b"some bytes"));
    assert_that!(run.remaining_ms, some(le(2_000)));
    Ok(())
}

#[tokio::test]
async fn unknown_path_is_404() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    assert_that!(
        gateway.request("r1", "/nothing/").await?.status,
        eq(StatusCode::NOT_FOUND)
    );
    let request = ClientRequest::new("r2", "other.example", "/safe/");
    let got = client::send(gateway.front, &request).await?;
    assert_that!(got.status, eq(StatusCode::NOT_FOUND));
    Ok(())
}

#[tokio::test]
async fn long_body_is_413() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let request = ClientRequest::new("r1", HOST, "/once/").body(vec![b'x'; 1_001]);
    let got = client::send(gateway.front, &request).await?;
    assert_that!(got.status, eq(StatusCode::PAYLOAD_TOO_LARGE));
    assert_that!(common::count_runs(&[&a, &b], "r1"), eq(0));
    Ok(())
}

#[tokio::test]
async fn no_configuration_is_503() -> Result<()> {
    let gateway = Gateway::unconfigured().await?;
    let got = gateway.request("r1", "/safe/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    assert_that!(client::is_ready(gateway.ready).await?, eq(false));
    Ok(())
}

#[tokio::test]
async fn no_endpoint_is_503() -> Result<()> {
    let gateway = Gateway::with_endpoints(&[]).await?;
    let got = gateway.request("r1", "/once/").await?;
    assert_that!(got.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    assert_that!(got.retry_after, some(anything()));
    Ok(())
}

#[tokio::test]
async fn connection_is_reused() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let mut connection = client::Connection::open(gateway.front).await?;
    for number in 0..5 {
        let request = ClientRequest::new(&format!("r{number}"), HOST, "/safe/");
        assert_that!(connection.send(&request).await?.status, eq(StatusCode::OK));
    }
    Ok(())
}

#[tokio::test]
async fn newer_configuration_applies() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    let mut config = settings::config(5);
    settings::move_route(&mut config, 0, "/moved/");
    gateway.store.configure(&config);
    while gateway.request("r1", "/moved/").await?.status != StatusCode::OK {
        tokio::task::yield_now().await;
    }
    // An older version that arrives later is ignored.
    gateway.store.configure(&settings::config(4));
    gateway.store.compact();
    config["version"] = 6.into();
    settings::move_route(&mut config, 1, "/last/");
    gateway.store.configure(&config);
    while gateway.request("r2", "/last/").await?.status != StatusCode::OK {
        tokio::task::yield_now().await;
    }
    assert_that!(
        gateway.request("r3", "/moved/").await?.status,
        eq(StatusCode::OK)
    );
    assert_that!(
        gateway.request("r4", "/safe/").await?.status,
        eq(StatusCode::NOT_FOUND)
    );
    Ok(())
}
