//! One request ended eighteen endpoints of a service, one after the other.
//!
//! Seen: endpoints of one service ended every second, each in the middle of answers to up to thirteen
//! callers. How it came about: a caller's request ended the endpoint that ran it, after the head of its
//! answer, and came again with another identifier at another instance. Cause: what became of a request was
//! known to one attempt at one instance, so that nobody saw that it was the same request each time. Proof:
//! its content is the one thing that was under way at all endpoints that ended.

mod common;

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use common::HOST;
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_gateway::Daemon;
use ploverwick_platform_standin::client::{self, Ask, Got};
use ploverwick_platform_standin::fragile::{FATAL, Fragile};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The instances, by name and failure domain.
const INSTANCES: [(&str, &str); 3] = [("a", "d1"), ("b", "d1"), ("c", "d2")];
/// The endpoints: more than may end.
const ENDPOINTS: usize = 8;
/// The ends that prove what a request does, and those that news of it may still come too late for.
const MOST_ENDED: u64 = 3 + 3;
/// Longer than it takes until all instances have heard each other, and an endpoint that came back.
const SETTLED: Duration = Duration::from_millis(2_500);
/// The pause between two attempts of a caller; an endpoint ends well within it.
const PAUSE: Duration = Duration::from_millis(150);

/// Starts an instance and returns where it listens; it runs as long as the test.
async fn start(name: &str, domain: &str, host: u8, port: u16, store: &Store) -> Result<SocketAddr> {
    let ip = Ipv4Addr::new(127, 0, 0, host);
    let mut settings = settings::of(name, ip, port, store.address());
    settings.domain = Arc::from(domain);
    let daemon = Daemon::open(settings).await?;
    let (front, ready) = (daemon.front()?, daemon.ready()?);
    tokio::spawn(daemon.serve(std::future::pending()));
    while !client::is_ready(ready).await? {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(front)
}

fn free_port() -> Result<u16> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(socket.local_addr()?.port())
}

/// Starts endpoints of a service and instances in two failure domains before them.
async fn world(service: &str) -> Result<(Vec<Fragile>, Vec<SocketAddr>)> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let domain = if number % 2 == 0 { "d1" } else { "d2" };
        let name = format!("i-{number}");
        endpoints.push(Fragile::start(&name, service, domain, &store).await?);
    }
    let port = free_port()?;
    let mut fronts = Vec::new();
    for (host, (name, domain)) in (1..).zip(INSTANCES) {
        fronts.push(start(name, domain, host, port, &store).await?);
    }
    tokio::time::sleep(SETTLED).await;
    Ok((endpoints, fronts))
}

async fn send(front: SocketAddr, id: &str, path: &str, body: &str) -> Result<Got> {
    let ask = Ask::new(id, HOST, path).body(body.to_owned());
    client::send(front, &ask).await
}

/// Sends the same request again and again, each time by the next instance, and returns the last status.
async fn again_and_again(fronts: &[SocketAddr], path: &str, body: &str) -> Result<StatusCode> {
    let mut last = StatusCode::OK;
    for (number, front) in fronts.iter().cycle().take(24).enumerate() {
        last = send(*front, &format!("again-{number}"), path, body)
            .await?
            .status;
        tokio::time::sleep(PAUSE).await;
    }
    Ok(last)
}

fn ended(endpoints: &[Fragile]) -> u64 {
    endpoints.iter().map(Fragile::ended).sum()
}

#[tokio::test]
async fn few_endpoints_end() -> Result<()> {
    let (endpoints, fronts) = world("lm").await?;
    again_and_again(&fronts, "/live/", FATAL).await?;
    assert_that!(ended(&endpoints), all![ge(3), le(MOST_ENDED)]);
    Ok(())
}
