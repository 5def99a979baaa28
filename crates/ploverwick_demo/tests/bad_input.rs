//! Invalid input gets an error response with a code, and the daemon continues to serve.

mod common;

use std::fmt::Write;

use common::{completion, plan, ready_fleet, send};
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::fleet::Plan;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";
const RUN: &str = "/v1/completions";

/// A test case: name, method, path, headers and body.
type Case = (
    &'static str,
    Method,
    &'static str,
    Vec<(&'static str, &'static str)>,
    String,
);

fn post(name: &'static str, headers: Vec<(&'static str, &'static str)>, body: String) -> Case {
    (name, Method::POST, RUN, headers, body)
}

fn bad_bodies() -> Vec<Case> {
    vec![
        post("no JSON", vec![], "hello".to_owned()),
        post("no model", vec![], "{}".to_owned()),
        post(
            "model twice",
            vec![],
            r#"{"model":"a","model":"b"}"#.to_owned(),
        ),
        post("model without adapter", vec![], completion("base", "bad")),
        post(
            "model with a bad name",
            vec![],
            completion("base:a b@v1", "bad"),
        ),
        post(
            "unknown base",
            vec![],
            completion("other:school-000@v1", "bad"),
        ),
        post(
            "version that does not exist",
            vec![],
            completion("base:school-000@missing", "bad"),
        ),
        post(
            "no version, none pinned",
            vec![],
            completion("base:unlisted", "bad"),
        ),
        post("body too large", vec![], "x".repeat(5000)),
    ]
}

fn bad_headers() -> Vec<Case> {
    let good = completion("base:school-000@v1", "bad");
    let once = ("ploverwick-non-idempotent", "true");
    vec![
        post(
            "deadline not a number",
            vec![("ploverwick-deadline-ms", "soon")],
            good.clone(),
        ),
        post(
            "deadline passed",
            vec![("ploverwick-deadline-ms", "0")],
            good.clone(),
        ),
        post(
            "priority too high",
            vec![("ploverwick-priority", "10")],
            good.clone(),
        ),
        post(
            "mark unclear",
            vec![("ploverwick-non-idempotent", "yes")],
            good.clone(),
        ),
        post("mark without key", vec![once], good.clone()),
        post(
            "key without time",
            vec![once, ("idempotency-key", "grade-17")],
            good.clone(),
        ),
        post(
            "key too old",
            vec![
                once,
                ("idempotency-key", "grade-17"),
                ("ploverwick-key-time", "1000"),
            ],
            good.clone(),
        ),
        post(
            "hall unclear",
            vec![("ploverwick-hall", "room 1")],
            good.clone(),
        ),
        post(
            "unknown token",
            vec![("authorization", "Bearer guess")],
            good.clone(),
        ),
        post(
            "resume of nothing",
            vec![
                ("last-event-id", "3"),
                ("idempotency-key", "s"),
                ("ploverwick-key-time", "1000"),
            ],
            good.clone(),
        ),
    ]
}

fn bad_paths() -> Vec<Case> {
    vec![
        (
            "unknown path",
            Method::GET,
            "/v2/models",
            vec![],
            String::new(),
        ),
        ("wrong method", Method::GET, CHAT, vec![], String::new()),
        (
            "climbing path",
            Method::GET,
            "/apps/transcripts/%2e%2e/x",
            vec![],
            String::new(),
        ),
    ]
}

fn cases() -> Vec<Case> {
    let parts = [bad_bodies(), bad_headers(), bad_paths()];
    parts.into_iter().flatten().collect()
}

fn plan_with_small_limits() -> Plan {
    Plan {
        settings: "[limits]\nbody_bytes = 4096\nbody_timeout_ms = 200\n".to_owned(),
        ..plan(1, 1)
    }
}

#[tokio::test]
async fn coded_refusals() {
    let fleet = ready_fleet(plan_with_small_limits()).await;
    let address = fleet.caller_addresses()[0];
    let mut shown = String::new();
    for (name, method, path, headers, body) in cases() {
        let reply = send(address, method, path, &headers, &body).await;
        let code = Code::from_number(reply.code).map(Code::name);
        let _ = writeln!(
            shown,
            "{name}: {} {:?}",
            reply.status,
            code.unwrap_or("none")
        );
    }
    insta::assert_snapshot!(shown);
}

#[tokio::test]
async fn slow_client_times_out() {
    let fleet = ready_fleet(plan_with_small_limits()).await;
    let mut stream = TcpStream::connect(fleet.caller_addresses()[0])
        .await
        .expect("the daemon accepts the connection");
    let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"mod";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("the daemon reads the request");
    let mut response = [0; 4096];
    let read = stream
        .read(&mut response)
        .await
        .expect("the daemon responds");
    let response = String::from_utf8_lossy(&response[..read]);
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("ploverwick-code: 2013"), "{response}");
}

#[tokio::test]
async fn client_may_disconnect_mid_request() {
    let fleet = ready_fleet(plan_with_small_limits()).await;
    let address = fleet.caller_addresses()[0];
    for cut in [1, 20, 60] {
        let text = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"mod";
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the daemon accepts the connection");
        stream
            .write_all(&text.as_bytes()[..cut])
            .await
            .expect("the daemon reads the request");
        drop(stream);
    }
    let body = completion("base:school-000@v1", "after");
    let reply = send(address, Method::POST, RUN, &[], &body).await;
    assert_eq!(reply.status, 200, "{}", reply.body);
}

#[tokio::test]
async fn not_ready_without_table() {
    let fleet = ploverwick_demo::fleet::Fleet::start(plan(1, 1))
        .await
        .expect("the fleet starts");
    let address = fleet.caller_addresses()[0];
    assert_eq!(
        send(address, Method::GET, "/healthz", &[], "").await.status,
        200
    );
    assert_eq!(
        send(address, Method::GET, "/readyz", &[], "").await.status,
        503
    );
    let body = completion("base:school-000@v1", "early");
    let reply = send(address, Method::POST, RUN, &[], &body).await;
    assert_eq!(reply.code, Code::NoTable.number());
    assert!(reply.headers.contains_key("retry-after"));
}
