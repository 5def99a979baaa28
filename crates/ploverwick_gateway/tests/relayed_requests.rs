//! What holds for requests that reach endpoints through another instance.

mod common;
mod partitioned;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Result;
use common::{HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use partitioned::Deployment;
use ploverwick_platform_standin::client::{self, ClientRequest, ClientResponse};
use ploverwick_platform_standin::endpoint::{Action, Endpoint};
use ploverwick_platform_standin::proxy::{Cut, Proxy};
use ploverwick_platform_standin::raw::{Ending, RawAnswer, RawEndpoint};
use ploverwick_platform_standin::settings;
use serde_json::json;
use tokio::net::TcpListener;

/// The instance that is cut off in most tests.
const ONE: usize = 0;
/// The number of instances of the first failure domain.
const DOMAIN_SIZE: usize = 3;

async fn send(front: SocketAddr, id: &str, path: &str) -> Result<ClientResponse> {
    client::send(front, &ClientRequest::new(id, HOST, path)).await
}

/// Starts a deployment in which the first instance is cut off and uses relays.
async fn one_cut_off() -> Result<Deployment> {
    let deployment = Deployment::start().await?;
    deployment.cut(ONE..ONE + 1, Cut::Reset);
    deployment.wait_until_served(ONE).await;
    Ok(deployment)
}

fn script_apps(deployment: &Deployment, action: Action) {
    for endpoint in &deployment.endpoints[..3] {
        endpoint.script(&[action]);
    }
}

fn runs(deployment: &Deployment, id: &str) -> usize {
    let endpoints: Vec<&Endpoint> = deployment.endpoints.iter().collect();
    count_runs(&endpoints, id)
}

/// Guards against claiming that a request did not run, or running it again, if the longer way breaks in the middle.
#[gtest]
#[tokio::test]
async fn broken_relay_runs_request_once() -> Result<()> {
    let deployment = one_cut_off().await?;
    script_apps(&deployment, Action::Hang);
    let front = deployment.fronts[ONE].1;
    let pending = tokio::spawn(async move { send(front, "r1", "/once/x").await });
    while runs(&deployment, "r1") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    deployment.cut(ONE..deployment.fronts.len(), Cut::Reset);
    let got = pending.await??;
    expect_that!(got.status, eq(StatusCode::BAD_GATEWAY));
    expect_that!(runs(&deployment, "r1"), eq(1));
    Ok(())
}

/// Guards against a relayed request that goes on at the endpoint after its client has left.
#[tokio::test]
async fn disconnected_client_ends_run() -> Result<()> {
    let deployment = one_cut_off().await?;
    script_apps(&deployment, Action::Hang);
    let front = deployment.fronts[ONE].1;
    let pending = tokio::spawn(async move { send(front, "r1", "/once/x").await });
    while runs(&deployment, "r1") == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    pending.abort();
    let abandoned = || {
        deployment
            .endpoints
            .iter()
            .map(Endpoint::abandoned)
            .sum::<usize>()
    };
    while abandoned() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Guards against passing a stream that breaks off behind the relay as complete, or cutting one that pauses.
#[gtest]
#[tokio::test]
async fn streams_are_whole_or_broken() -> Result<()> {
    let deployment = one_cut_off().await?;
    let front = deployment.fronts[ONE].1;
    let stream = |id: &str| ClientRequest::new(id, HOST, "/live/").model("base/a1");
    while client::send(front, &stream("warm")).await?.status != StatusCode::OK {}
    for engine in &deployment.endpoints[3..] {
        engine.script(&[Action::Pause(0, 700)]);
    }
    expect_that!(client::send(front, &stream("r1")).await?.is_whole, eq(true));
    for engine in &deployment.endpoints[3..] {
        engine.script(&[Action::Truncate(1)]);
    }
    expect_that!(
        client::send(front, &stream("r2")).await?.is_whole,
        eq(false)
    );
    Ok(())
}

/// Guards against a detour that outlasts the cut: once the links are back, the instance serves by itself, and relays for
/// those that are cut off next.
#[gtest]
#[tokio::test]
async fn direct_way_is_used_again() -> Result<()> {
    let deployment = one_cut_off().await?;
    deployment.heal();
    // The probes find out within half a second.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.cut(ONE + 1..deployment.fronts.len(), Cut::Reset);
    for number in 0..20 {
        let got = send(deployment.fronts[ONE].1, &format!("r{number}"), "/once/x").await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    for instance in ONE + 1..deployment.fronts.len() {
        deployment.wait_until_served(instance).await;
    }
    Ok(())
}

/// Guards against requests that go round between instances when no instance reaches an endpoint, and against a state that
/// outlasts it.
#[gtest]
#[tokio::test]
async fn all_cut_off_refuse_and_recover() -> Result<()> {
    let deployment = Deployment::start().await?;
    deployment.cut(ONE..deployment.fronts.len(), Cut::Reset);
    for (number, (_, front)) in deployment.fronts.iter().cycle().take(20).enumerate() {
        let got = send(*front, &format!("r{number}"), "/once/x").await?;
        expect_that!(got.status, not(eq(StatusCode::OK)));
        expect_that!(runs(&deployment, &format!("r{number}")), eq(0));
    }
    deployment.heal();
    for instance in 0..deployment.fronts.len() {
        deployment.wait_until_served(instance).await;
    }
    Ok(())
}

/// Guards against depending on instances of the own failure domain, all of which may be cut off, and on those that do not
/// relay, as in the version before.
#[gtest]
#[tokio::test]
async fn whole_domain_is_relayed_by_other() -> Result<()> {
    let deployment = Deployment::with_settings(settings::config(1), |name, settings| {
        if name == "five" {
            settings.relay_port = None;
        }
    })
    .await?;
    deployment.cut(ONE..DOMAIN_SIZE, Cut::Reset);
    for instance in ONE..DOMAIN_SIZE {
        deployment.wait_until_served(instance).await;
    }
    for number in 0..60 {
        let front = deployment.fronts[number % DOMAIN_SIZE].1;
        let got = send(front, &format!("r{number}"), "/once/x").await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    Ok(())
}

/// Guards against losing requests when the instance that relays them is stopped: those under way end, and the others go
/// through another instance.
#[gtest]
#[tokio::test]
async fn stopped_relay_loses_no_request() -> Result<()> {
    let mut deployment = one_cut_off().await?;
    let front = deployment.fronts[ONE].1;
    let mut served = Vec::new();
    for number in 0..200 {
        if number == 50 {
            let stopped: Vec<_> = deployment.instances[1..DOMAIN_SIZE]
                .iter_mut()
                .filter_map(Option::take)
                .map(common::Instance::stop)
                .collect();
            served.extend(stopped);
        }
        let got = send(front, &format!("r{number}"), "/once/x").await?;
        expect_that!(got.status, eq(StatusCode::OK), "request {number}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for task in served {
        task.await?;
    }
    Ok(())
}

/// Guards against a key that reaches an endpoint or a relay, and a quota that is charged twice or not at all.
#[gtest]
#[tokio::test]
async fn keys_and_quotas_hold() -> Result<()> {
    let quota = json!({"rate_per_s": 500.0, "burst": 500.0, "unit": "tokens", "plain_tokens": 100});
    let mut config = settings::config(1);
    settings::add_organisations(&mut config, &[("org", &["the-key"], quota)]);
    let deployment = Deployment::with_settings(config, |_, _| {}).await?;
    deployment.cut(ONE..ONE + 1, Cut::Reset);
    let front = deployment.fronts[ONE].1;
    let request = |id: &str| {
        let request = ClientRequest::new(id, HOST, "/once/x");
        request.key("the-key").tokens(100, 0)
    };
    let mut ran = 0;
    let mut refused = 0;
    for number in 0..100 {
        let got = client::send(front, &request(&format!("r{number}"))).await?;
        ran += usize::from(got.status == StatusCode::OK);
        refused += usize::from(got.status == StatusCode::TOO_MANY_REQUESTS);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(ran, gt(0));
    expect_that!(refused, gt(0));
    let runs: Vec<_> = deployment
        .endpoints
        .iter()
        .flat_map(Endpoint::runs)
        .collect();
    expect_that!(runs.len(), eq(ran));
    for run in runs {
        expect_that!(run.organisation.as_deref(), some(eq("org")));
        expect_that!(run.key, none());
    }
    let unknown = ClientRequest::new("r-unknown", HOST, "/once/x").key("another");
    expect_that!(
        client::send(front, &unknown).await?.status,
        eq(StatusCode::UNAUTHORIZED)
    );
    Ok(())
}

/// Guards against sending more requests to an endpoint that reports in a relayed answer that it is leaving.
#[gtest]
#[tokio::test]
async fn leaving_endpoint_gets_nothing() -> Result<()> {
    let deployment = one_cut_off().await?;
    let front = deployment.fronts[ONE].1;
    let leaving = &deployment.endpoints[0];
    leaving.set_leaving();
    let mut number = 0;
    let before = leaving.requests_received();
    while leaving.requests_received() == before {
        send(front, &format!("w{number}"), "/once/x").await?;
        number += 1;
    }
    let reported = leaving.requests_received();
    for number in 0..30 {
        let got = send(front, &format!("r{number}"), "/once/x").await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    expect_that!(leaving.requests_received(), eq(reported));
    Ok(())
}

/// Guards against a cut that reaches only part of the endpoints: the others of the service answer, so that the links are
/// not suspected as a whole.
#[gtest]
#[tokio::test]
async fn single_endpoints_are_relayed() -> Result<()> {
    let deployment = Deployment::start().await?;
    let (ip, front): (IpAddr, SocketAddr) = deployment.fronts[ONE];
    let stream = |id: &str| ClientRequest::new(id, HOST, "/live/").model("base/a1");
    while client::send(front, &stream("warm")).await?.status != StatusCode::OK {}
    for proxy in &deployment.proxies[..2] {
        proxy.cut(ip, Cut::Reset);
    }
    let mut served = 0;
    for number in 0..40 {
        let got = send(front, &format!("r{number}"), "/safe/x").await?;
        served += usize::from(got.status == StatusCode::OK);
    }
    expect_that!(served, ge(38));
    Ok(())
}

/// Guards against an answer that ends with its connection and looks whole after a reset, because a relay passes the reset
/// on as an end.
#[gtest]
#[tokio::test]
async fn relayed_reset_is_an_error() -> Result<()> {
    let mut config = settings::config(1);
    let routes = [("/raw/", "idempotent"), ("/rawlive/", "stream")];
    settings::add_service(&mut config, "raw", &routes);
    let deployment = Deployment::with_settings(config, |_, _| {}).await?;
    let endpoint = RawEndpoint::start("i-raw", "raw", |request| {
        let ending = if request.path.ends_with("reset") {
            Ending::Reset
        } else {
            Ending::Close
        };
        RawAnswer::unframed("text/event-stream", b"id: 0\ndata: x\n\n", 4, ending)
    })
    .await?;
    let mut entry = endpoint.entry();
    let address = entry["address"].as_str().unwrap_or_default().parse()?;
    let proxy = Proxy::start(address).await?;
    entry["address"] = proxy.address().to_string().into();
    deployment.store.list(endpoint.id(), &entry);
    proxy.cut(deployment.fronts[ONE].0, Cut::Reset);
    deployment.cut(ONE..ONE + 1, Cut::Reset);
    deployment.wait_until_served(ONE).await;
    let front = deployment.fronts[ONE].1;
    for path in ["/raw/", "/rawlive/"] {
        while send(front, &format!("{path}w"), path).await?.status != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let whole = send(front, &format!("{path}1"), path).await?;
        expect_that!(whole.body, eq("id: 0\ndata: x\n\n"), "{path}");
        expect_that!(whole.is_whole, eq(true), "{path}");
        let reset = send(front, &format!("{path}2"), &format!("{path}reset")).await;
        let looks_whole = reset.is_ok_and(|got| got.is_whole && got.status == StatusCode::OK);
        expect_that!(looks_whole, eq(false), "{path}");
    }
    Ok(())
}

/// Guards against relaying a sound endpoint because it reset single connections.
#[gtest]
#[tokio::test]
async fn single_resets_are_not_relayed() -> Result<()> {
    let deployment = Deployment::start().await?;
    let (ip, front): (IpAddr, SocketAddr) = deployment.fronts[ONE];
    let (endpoint, proxy) = (&deployment.endpoints[0], &deployment.proxies[0]);
    for round in 0..5 {
        proxy.cut(ip, Cut::Reset);
        let accepted = proxy.accepted_from(ip);
        let mut number = 0;
        while proxy.accepted_from(ip) == accepted {
            send(front, &format!("w{round}-{number}"), "/once/x").await?;
            number += 1;
        }
        proxy.heal();
        let received = endpoint.requests_received();
        let mut number = 0;
        while endpoint.requests_received() == received {
            let got = send(front, &format!("r{round}-{number}"), "/once/x").await?;
            expect_that!(got.status, eq(StatusCode::OK));
            number += 1;
        }
    }
    for (other, _) in &deployment.fronts[ONE + 1..] {
        expect_that!(proxy.accepted_from(*other), eq(0));
    }
    Ok(())
}

/// Accepts connections and holds them open, and counts them.
async fn hold_connections(listener: TcpListener, accepted: Arc<AtomicUsize>) {
    let mut held = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        accepted.fetch_add(1, Ordering::Relaxed);
        held.push(stream);
    }
}

/// Guards against asking one relay after the other, none of which replies, when the deadline of the request has passed.
#[gtest]
#[tokio::test]
async fn silent_relays_end_at_deadline() -> Result<()> {
    let accepted = Arc::new(AtomicUsize::new(0));
    let deployment = Deployment::with_settings(settings::config(1), |name, settings| {
        if name == "one" {
            return;
        }
        let port = settings.relay_port.take().expect("a relay port is set");
        let listener = std::net::TcpListener::bind((settings.ip, port)).expect("it is free");
        listener.set_nonblocking(true).expect("it is a socket");
        let listener = TcpListener::from_std(listener).expect("it is nonblocking");
        tokio::spawn(hold_connections(listener, Arc::clone(&accepted)));
    })
    .await?;
    // Nothing listens at the address of this endpoint.
    let unused = TcpListener::bind("127.0.0.1:0").await?.local_addr()?;
    let mut entry = deployment.endpoints[0].entry("ready");
    entry["address"] = unused.to_string().into();
    deployment.store.list("i-x", &entry);
    let front = deployment.fronts[ONE].1;
    let mut number = 0;
    while accepted.load(Ordering::Relaxed) == 0 {
        send(front, &format!("r{number}"), "/slow/x").await?;
        number += 1;
    }
    expect_that!(accepted.load(Ordering::Relaxed), eq(1));
    Ok(())
}
