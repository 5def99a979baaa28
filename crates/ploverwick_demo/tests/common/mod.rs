//! What the tests over loopback share. They wait for events and never assert on elapsed time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use ploverwick_demo::caller::{Got, Outcome, perform};
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_demo::run::{publish_table, table};
use ploverwick_demo::work::Work;
use ploverwick_names::Offset;
use ploverwick_ports::client::Client;
use ploverwick_standin::engine;
use tokio::task::JoinHandle;

/// How long anything may take before a test fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A reply as a test looks at it.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The result code's number, 0 without one.
    pub code: u16,
    /// The headers.
    pub headers: BTreeMap<String, String>,
    /// The body as text.
    pub body: String,
}

/// Starts a fleet with the demonstration's table in force and every engine owned.
pub async fn ready(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let table = table(1).expect("the table is good");
    publish_table(&fleet, Offset(0), &table)
        .await
        .expect("the table is accepted");
    fleet
        .wait_ready(PATIENCE)
        .await
        .expect("the fleet is ready");
    fleet
}

/// Returns a plan with some daemons and engines.
pub fn plan(daemons: usize, engines: usize) -> Plan {
    Plan {
        daemons,
        engines,
        roster_lag: Duration::from_millis(100),
        ..Plan::default()
    }
}

/// Returns an engine that makes a token in `millis`.
pub fn slow_engine(millis: u64) -> engine::Config {
    engine::Config {
        step: Duration::from_millis(millis),
        ..Plan::default().engine
    }
}

/// Makes a piece of work.
pub fn work(tag: &str, adapter: &str, tokens: usize) -> Work {
    Work {
        tag: tag.to_owned(),
        adapter: adapter.to_owned(),
        version: Some("v1".to_owned()),
        tokens,
        stream: false,
        non_idempotent: false,
        doubled: false,
    }
}

/// Makes a piece of work that may run at most once.
pub fn once(tag: &str, adapter: &str) -> Work {
    Work {
        non_idempotent: true,
        ..work(tag, adapter, 4)
    }
}

/// Does a piece of work at the fleet's entries, from the `first` one on.
pub async fn act(fleet: &Fleet, first: usize, work: &Work, key: Option<&str>) -> Outcome {
    perform(&Client::new(), &fleet.callers(), first, work, key).await
}

/// Makes a new key.
pub fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends one request and reads its reply.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::from(body.to_owned()))
        .expect("the request is well formed");
    let response = Client::new()
        .send(address, request)
        .await
        .expect("there is a reply");
    let status = response.status().as_u16();
    let headers: BTreeMap<String, String> = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = value.to_str().unwrap_or_default().to_owned();
            (name.to_string(), value)
        })
        .collect();
    let body = response.into_body().collect().await;
    let body = body
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let code = headers.get("ploverwick-code");
    Reply {
        status,
        code: code.and_then(|code| code.parse().ok()).unwrap_or_default(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Returns the body of a completion request.
pub fn completion(model: &str, tag: &str) -> String {
    serde_json::json!({"model": model, "prompt": "hint", "max_tokens": 4, "user": tag}).to_string()
}

/// Counts the runs of a tag over all engines.
pub async fn runs(fleet: &Fleet, tag: &str) -> usize {
    let records = fleet.records().await.expect("the engines answer");
    let runs = records.iter().flat_map(|records| &records.runs);
    runs.filter(|run| run.tag == tag).count()
}

/// Counts adapters that were unloaded under a running request.
pub async fn unloaded_in_use(fleet: &Fleet) -> u64 {
    let records = fleet.records().await.expect("the engines answer");
    records.iter().map(|records| records.unloaded_in_use).sum()
}

/// Waits until `holds` is true.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, waiting).await;
    assert!(waited.is_ok(), "it did not come about: {what}");
}

/// Starts a long stream at one entry.
pub fn stream(entry: SocketAddr, tag: &str, adapter: &str, tokens: usize) -> JoinHandle<Outcome> {
    let work = Work {
        stream: true,
        ..work(tag, adapter, tokens)
    };
    tokio::spawn(async move { perform(&Client::new(), &[entry], 0, &work, None).await })
}

/// Asserts that a stream's caller got the whole answer in its first try.
pub async fn uninterrupted(stream: JoinHandle<Outcome>) {
    let outcome = stream.await.expect("the caller ends");
    assert!(matches!(outcome.got, Got::Whole(_)), "{:?}", outcome.got);
    assert_eq!(outcome.tries.len(), 1);
}
