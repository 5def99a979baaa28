//! A stream whose endpoint pauses or breaks off is not given up while it can still be completed.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, EVENTS, Endpoint};
use ploverwick_platform_standin::settings;

/// A pause of over half of the shortest time that clients wait for an event.
const PAUSE_MS: u32 = 1_400;

/// Two endpoints and a gateway after a first request for the adapter.
struct Fleet {
    gateway: Gateway,
    /// The endpoint that holds the adapter.
    holder: Endpoint,
    /// The other endpoint, which rejects orders.
    other: Endpoint,
}

impl Fleet {
    async fn start(retry_ratio: f64) -> Result<Self> {
        let a = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
        let b = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
        let gateway = Gateway::with_retry_ratio(&[&a, &b], retry_ratio).await?;
        gateway.stream("warm", "/resume/", "a1").await?;
        let (holder, other) = if a.runs().is_empty() { (b, a) } else { (a, b) };
        other.set_busy(true);
        Ok(Self {
            gateway,
            holder,
            other,
        })
    }

    /// Allows three attempts on the route `/resume/`.
    async fn allow_three_attempts(&self) -> Result<()> {
        let mut config = settings::config(2);
        settings::set_attempts(&mut config, "/resume/", 3);
        settings::add_route(&mut config, "/new/");
        self.gateway.store.configure(&config);
        while self.gateway.request("warm", "/new/").await?.status == StatusCode::NOT_FOUND {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn stream(&self) -> Result<ClientResponse> {
        let request = ClientRequest::new("r1", HOST, "/resume/").model("base/a1");
        let request = request.timeout(Duration::from_secs(3));
        client::send(self.gateway.front, &request).await
    }

    fn runs(&self) -> usize {
        count_runs(&[&self.holder, &self.other], "r1")
    }
}

fn assert_complete(got: &ClientResponse) {
    assert_that!(got.is_whole, eq(true));
    let ids = got
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    assert_that!(ids, eq(&(0..EVENTS).collect::<Vec<_>>()));
}

async fn wait_for_request(endpoint: &Endpoint) {
    while endpoint.requests_received() == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a paused endpoint that is closed before the retry budget refuses another send.
#[tokio::test]
async fn paused_stream_without_budget() -> Result<()> {
    let fleet = Fleet::start(0.0).await?;
    fleet.other.set_busy(false);
    fleet.holder.script(&[Action::Pause(1, PAUSE_MS)]);
    assert_complete(&fleet.stream().await?);
    assert_that!(fleet.runs(), eq(1));
    Ok(())
}

/// Guards against a paused endpoint that is closed though no other endpoint can load the adapter.
#[tokio::test]
async fn paused_stream_without_other_holder() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    fleet.holder.script(&[Action::Pause(1, PAUSE_MS)]);
    assert_complete(&fleet.stream().await?);
    assert_that!(fleet.runs(), eq(1));
    Ok(())
}

/// Guards against a paused endpoint that is closed before another one accepts the request.
#[tokio::test]
async fn paused_stream_refused_elsewhere() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    fleet.other.set_busy(false);
    fleet.other.script(&[Action::Refuse]);
    fleet.holder.script(&[Action::Pause(1, PAUSE_MS)]);
    assert_complete(&fleet.stream().await?);
    assert_that!(fleet.other.requests_received(), eq(1));
    assert_that!(fleet.runs(), eq(1));
    Ok(())
}

#[tokio::test]
async fn stalled_stream_resumes() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    fleet.other.set_busy(false);
    fleet.holder.script(&[Action::Stall(1)]);
    assert_complete(&fleet.stream().await?);
    assert_that!(fleet.runs(), eq(2));
    Ok(())
}

/// Guards against a third endpoint that is sought while the second one reads the prompt.
#[tokio::test]
async fn resumed_stream_is_kept() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    fleet.allow_three_attempts().await?;
    fleet.other.set_busy(false);
    fleet.holder.script(&[Action::Stall(1)]);
    fleet.other.script(&[Action::Pause(1, 600)]);
    let third = Endpoint::start("i-c", "lm", Some("base"), "d1").await?;
    let list_third = async {
        wait_for_request(&fleet.other).await;
        let store = &fleet.gateway.store;
        store.list(third.id(), &third.entry("ready"));
    };
    let (got, ()) = tokio::join!(fleet.stream(), list_third);
    assert_complete(&got?);
    assert_that!(third.requests_received(), eq(0));
    Ok(())
}

/// Guards against a stream that ends after one refusal because the refusal counted as a run.
#[tokio::test]
async fn broken_stream_refused_elsewhere() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    let refusing = &fleet.other;
    refusing.set_busy(false);
    refusing.script(&[Action::Refuse]);
    fleet.holder.script(&[Action::Truncate(1)]);
    let accepting = Endpoint::start("i-c", "lm", Some("base"), "d1").await?;
    let accept_later = async {
        wait_for_request(refusing).await;
        let store = &fleet.gateway.store;
        store.list(accepting.id(), &accepting.entry("ready"));
    };
    let (got, ()) = tokio::join!(fleet.stream(), accept_later);
    assert_complete(&got?);
    assert_that!(count_runs(&[&accepting], "r1"), eq(1));
    Ok(())
}

/// Guards against a stream that ends because no other endpoint held its adapter within the time that a new request
/// would wait for it.
#[tokio::test]
async fn broken_stream_waits_for_adapter() -> Result<()> {
    let fleet = Fleet::start(4.0).await?;
    fleet.holder.script(&[Action::Truncate(1)]);
    let accept_later = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.other.set_busy(false);
    };
    let (got, ()) = tokio::join!(fleet.stream(), accept_later);
    assert_complete(&got?);
    assert_that!(fleet.runs(), eq(2));
    Ok(())
}
