//! Authentication of organisations by key. Endpoints receive the organisation's name and never the key, regardless of
//! the headers that the client sends.

mod common;

use anyhow::Result;
use common::{Gateway, HOST, count_runs};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use serde_json::{Value, json};

const KEY: &str = "the-key-of-one";

/// Returns a configuration with organisations, in which the route `/slow/` needs no key.
fn config(version: u64, organisations: &[(&str, &[&str], Value)]) -> Value {
    let mut config = settings::config(version);
    settings::add_organisations(&mut config, organisations);
    settings::exempt_route(&mut config, 2);
    config
}

/// Starts a gateway and waits until the configuration is in force.
async fn start_gateway(endpoints: &[&Endpoint], config: &Value) -> Result<Gateway> {
    let gateway = Gateway::with_endpoints(endpoints).await?;
    gateway.store.configure(config);
    // Requests without a key are refused once the configuration is in force.
    while gateway.request("before", "/safe/").await?.status != StatusCode::UNAUTHORIZED {}
    Ok(gateway)
}

/// Starts a gateway and one endpoint of the service `app`.
async fn start_with_endpoint(
    organisations: &[(&str, &[&str], Value)],
) -> Result<(Gateway, Endpoint)> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = start_gateway(&[&endpoint], &config(2, organisations)).await?;
    Ok((gateway, endpoint))
}

fn request(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/once/")
}

#[gtest]
#[tokio::test]
async fn endpoint_gets_organisation_name() -> Result<()> {
    let (gateway, endpoint) = start_with_endpoint(&[("one", &[KEY], json!({}))]).await?;
    let forged = request("r1")
        .key(KEY)
        .header("Ploverwick-Tenant", "other")
        .header("PLOVERWICK-TENANT", "another")
        .header("Connection", "Api-Key, Ploverwick-Tenant");
    let got = client::send(gateway.front, &forged).await?;
    assert_that!(got.status, eq(StatusCode::OK));
    let runs = endpoint.runs();
    let run = runs
        .iter()
        .find(|run| run.id == "r1")
        .expect("the request ran");
    expect_that!(run.organisation.as_deref(), some(eq("one")));
    expect_that!(run.key, none());
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unknown_keys_are_refused() -> Result<()> {
    let organisations: [(&str, &[&str], Value); 3] = [
        ("one", &[KEY, "shared", ""], json!({})),
        ("two", &["shared"], json!({})),
        ("\n", &["of-a-bad-name"], json!({})),
    ];
    let (gateway, endpoint) = start_with_endpoint(&organisations).await?;
    let wrong = [
        request("none"),
        request("empty").key(""),
        request("wrong").key("the-key-of-on"),
        request("long").key(&"k".repeat(4_000)),
        request("shared").key("shared"),
        request("nameless").key("of-a-bad-name"),
        request("two").key(KEY).key(KEY),
        request("bearer").caller(&format!("Bearer {KEY}")),
        request("name").header("Ploverwick-Tenant", "one"),
    ];
    for request in wrong {
        let got = client::send(gateway.front, &request).await?;
        expect_that!(got.status, eq(StatusCode::UNAUTHORIZED), "{}", request.id);
        expect_that!(got.body, starts_with("PW2015"));
        expect_that!(got.retry_after, none());
        expect_that!(count_runs(&[&endpoint], &request.id), eq(0));
    }
    Ok(())
}

/// Guards against an exempt route that rejects keys or forwards them to the endpoint.
#[gtest]
#[tokio::test]
async fn exempt_route_needs_no_key() -> Result<()> {
    let (gateway, endpoint) = start_with_endpoint(&[("one", &[KEY], json!({}))]).await?;
    let bare = ClientRequest::new("bare", HOST, "/slow/").header("Ploverwick-Tenant", "one");
    let wrong = ClientRequest::new("wrong", HOST, "/slow/").key("wrong");
    for request in [bare, wrong] {
        let got = client::send(gateway.front, &request).await?;
        expect_that!(got.status, eq(StatusCode::OK));
        let runs = endpoint.runs();
        let run = runs
            .iter()
            .find(|run| run.id == request.id)
            .expect("the request ran");
        expect_that!(run.organisation, none());
        expect_that!(run.key, none());
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn endpoint_gets_priority() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let organisations: [(&str, &[&str], Value); 2] = [
        ("one", &[KEY], json!({"priority": 4})),
        ("two", &["of-two"], json!({})),
    ];
    let gateway = start_gateway(&[&engine], &config(2, &organisations)).await?;
    for (id, key) in [("r1", KEY), ("r2", "of-two")] {
        let request = ClientRequest::new(id, HOST, "/live/")
            .model("base/a1")
            .key(key);
        let got = client::send(gateway.front, &request).await?;
        expect_that!(got.status, eq(StatusCode::OK));
    }
    let priorities: Vec<_> = engine.runs().iter().map(|run| run.priority).collect();
    expect_that!(priorities, elements_are![some(eq(&4)), some(eq(&1))]);
    Ok(())
}

/// Guards against changes of an organisation's keys that do not take effect.
#[gtest]
#[tokio::test]
async fn key_changes_apply() -> Result<()> {
    let (gateway, endpoint) = start_with_endpoint(&[("one", &[KEY], json!({}))]).await?;
    gateway
        .store
        .configure(&config(3, &[("one", &["new"], json!({}))]));
    let request_with = |id: String, key: &str| request(&id).key(key);
    for number in 0.. {
        let request = request_with(format!("n{number}"), "new");
        if client::send(gateway.front, &request).await?.status == StatusCode::OK {
            break;
        }
    }
    let got = client::send(gateway.front, &request_with("late".into(), KEY)).await?;
    expect_that!(got.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(count_runs(&[&endpoint], "late"), eq(0));
    Ok(())
}

/// Guards against sending a request whose key was removed while it waited for its adapter.
#[gtest]
#[tokio::test]
async fn waiting_request_is_refused() -> Result<()> {
    let engine = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let gateway = start_gateway(&[&engine], &config(2, &[("one", &[KEY], json!({}))])).await?;
    engine.set_busy(true);
    let request = ClientRequest::new("r1", HOST, "/live/")
        .model("base/a1")
        .key(KEY);
    let front = gateway.front;
    let waiting = tokio::spawn(async move { client::send(front, &request).await });
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    gateway
        .store
        .configure(&config(3, &[("one", &[], json!({}))]));
    let probe = || ClientRequest::new("probe", HOST, "/safe/").key(KEY);
    while client::send(gateway.front, &probe()).await?.status != StatusCode::UNAUTHORIZED {}
    engine.set_busy(false);
    let got = waiting.await??;
    expect_that!(got.status, eq(StatusCode::UNAUTHORIZED));
    expect_that!(count_runs(&[&engine], "r1"), eq(0));
    Ok(())
}
