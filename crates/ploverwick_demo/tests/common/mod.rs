//! Helpers for tests over loopback. They wait for conditions and never assert on elapsed time.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use ploverwick_demo::caller::{CallResult, Outcome, perform};
use ploverwick_demo::fleet::{Fleet, Plan};
use ploverwick_demo::run::{publish_table, table};
use ploverwick_demo::work::Work;
use ploverwick_names::Offset;
use ploverwick_ports::client::Client;
use ploverwick_standin::engine;
use tokio::task::JoinHandle;

/// The time limit of each wait, after which a test fails.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status code.
    pub status: u16,
    /// The number of the result code; 0 if there is none.
    pub code: u16,
    /// The headers.
    pub headers: BTreeMap<String, String>,
    /// The body as text.
    pub body: String,
}

/// Starts a fleet with the demonstration's table in force and every engine owned.
pub async fn ready_fleet(plan: Plan) -> Fleet {
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    let table = table(1).expect("the table is valid");
    publish_table(&fleet, Offset(0), &table)
        .await
        .expect("the table is accepted");
    fleet.wait_ready(TIMEOUT).await.expect("the fleet is ready");
    fleet
}

/// Returns a plan with the given numbers of daemons and engines.
pub fn plan(daemons: usize, engines: usize) -> Plan {
    Plan {
        daemons,
        engines,
        roster_lag: Duration::from_millis(100),
        ..Plan::default()
    }
}

/// Returns the configuration of an engine with steps of `millis` milliseconds.
pub fn slow_engine(millis: u64) -> engine::Config {
    engine::Config {
        step: Duration::from_millis(millis),
        ..Plan::default().engine
    }
}

/// Creates a piece of work.
pub fn work(tag: &str, adapter: &str, tokens: usize) -> Work {
    Work {
        tag: tag.to_owned(),
        adapter: adapter.to_owned(),
        version: Some("v1".to_owned()),
        tokens,
        stream: false,
        non_idempotent: false,
        duplicated: false,
    }
}

/// Creates a piece of work that may run at most once.
pub fn at_most_once(tag: &str, adapter: &str) -> Work {
    Work {
        non_idempotent: true,
        ..work(tag, adapter, 4)
    }
}

/// Performs a piece of work. Attempts go to the daemons in turn, starting with index `first`.
pub async fn send_work(fleet: &Fleet, first: usize, work: &Work, key: Option<&str>) -> Outcome {
    perform(&Client::new(), &fleet.caller_addresses(), first, work, key).await
}

/// Returns a new idempotency key.
pub fn key() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Sends a request and returns the response.
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
        .expect("the request is valid");
    let response = Client::new()
        .send(address, request)
        .await
        .expect("the daemon responds");
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

/// Counts the runs with a tag on all engines.
pub async fn count_runs(fleet: &Fleet, tag: &str) -> usize {
    let records = fleet.records().await.expect("the engines respond");
    let runs = records.iter().flat_map(|records| &records.runs);
    runs.filter(|run| run.tag == tag).count()
}

/// Counts the unloads of adapters that had running requests.
pub async fn unloaded_in_use(fleet: &Fleet) -> u64 {
    let records = fleet.records().await.expect("the engines respond");
    records.iter().map(|records| records.unloaded_in_use).sum()
}

/// Waits until `condition` returns true.
pub async fn wait_until<F: Future<Output = bool>>(
    description: &str,
    mut condition: impl FnMut() -> F,
) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {description}");
}

/// Starts a streaming request to one daemon.
pub fn start_stream(
    address: SocketAddr,
    tag: &str,
    adapter: &str,
    tokens: usize,
) -> JoinHandle<Outcome> {
    let work = Work {
        stream: true,
        ..work(tag, adapter, tokens)
    };
    tokio::spawn(async move { perform(&Client::new(), &[address], 0, &work, None).await })
}

/// Asserts that the caller of a stream got the complete response in the first attempt.
pub async fn assert_uninterrupted(stream: JoinHandle<Outcome>) {
    let outcome = stream.await.expect("the caller does not panic");
    assert!(
        matches!(outcome.result, CallResult::Complete(_)),
        "{:?}",
        outcome.result
    );
    assert_eq!(outcome.attempts.len(), 1);
}
