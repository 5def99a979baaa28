//! Orders to endpoints whose connections break at once.

mod common;

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::proxy::{Cut, Proxy};
use ploverwick_platform_standin::settings;

/// How long orders are attempted.
const SPAN: Duration = Duration::from_secs(1);
/// The shortest time between two orders to an endpoint that leaves orders unanswered.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);

/// Guards against a loop without a pause: an order whose connection was reset at once was sent again at once, hundreds of
/// times a second.
#[tokio::test]
async fn broken_orders_are_paced() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let mut entry = engine.entry("ready");
    let proxy = Proxy::start(entry["address"].as_str().unwrap_or_default().parse()?).await?;
    entry["address"] = proxy.address().to_string().into();
    let gateway = Gateway::unconfigured().await?;
    gateway.store.list(engine.id(), &entry);
    gateway.store.configure(&settings::config(1));
    gateway.wait_until_ready(true).await?;
    while gateway.stream("warm", "/live/", "a1").await?.status != http::StatusCode::OK {}
    proxy.cut(IpAddr::V4(Ipv4Addr::LOCALHOST), Cut::Reset);
    let before = proxy.accepted();
    // The request waits for an adapter that has to be loaded, so that a load is ordered.
    let load = gateway.stream("r1", "/live/", "a2");
    drop(tokio::time::timeout(SPAN, load).await);
    // Each attempt opens one connection; as many again may be probes.
    let allowed = 2 * SPAN.div_duration_f64(ORDER_INTERVAL) as usize;
    assert_that!(proxy.accepted() - before, le(allowed));
    Ok(())
}
