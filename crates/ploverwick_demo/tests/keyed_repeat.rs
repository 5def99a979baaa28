//! A non-idempotent request runs at most once, and every repeat gets its answer.

mod common;

use common::{act, completion, key, once, plan, ready, runs, send};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::Got;
use ploverwick_demo::fleet::Plan;

fn whole(got: &Got) -> bool {
    matches!(got, Got::Whole(_))
}

#[tokio::test]
async fn repeat_elsewhere() {
    let fleet = ready(plan(3, 2)).await;
    let key = key();
    let work = once("repeat", "school-001");
    let (a, b, c) = tokio::join!(
        act(&fleet, 0, &work, Some(&key)),
        act(&fleet, 1, &work, Some(&key)),
        act(&fleet, 2, &work, Some(&key)),
    );
    let late = act(&fleet, 1, &work, Some(&key)).await;
    assert_that!(
        [&a.got, &b.got, &c.got, &late.got].map(whole),
        each(eq(true))
    );
    assert_that!(runs(&fleet, "repeat").await, eq(1));
}

#[tokio::test]
async fn stream_repeat() {
    let fleet = ready(plan(2, 2)).await;
    let key = key();
    let mut work = once("stream", "school-002");
    work.stream = true;
    let first = act(&fleet, 0, &work, Some(&key)).await;
    let again = act(&fleet, 1, &work, Some(&key)).await;
    assert_that!([&first.got, &again.got].map(whole), each(eq(true)));
    assert_that!(runs(&fleet, "stream").await, eq(1));
}

#[tokio::test]
async fn resume_position() {
    let fleet = ready(plan(1, 1)).await;
    let key = key();
    let entry = fleet.callers()[0];
    let body = serde_json::json!({
        "model": "base:school-000@v1", "max_tokens": 5, "stream": true, "user": "position",
    });
    let body = body.to_string();
    let headers = [("idempotency-key", key.as_str())];
    let all = send(entry, Method::POST, "/v1/completions", &headers, &body).await;
    let headers = [("idempotency-key", key.as_str()), ("last-event-id", "3")];
    let rest = send(entry, Method::POST, "/v1/completions", &headers, &body).await;
    let expected = all
        .body
        .split_once("id: 4\n")
        .map(|(_, rest)| format!("id: 4\n{rest}"));
    assert_that!(Some(rest.body), eq(&expected));
    assert_that!(runs(&fleet, "position").await, eq(1));
}

#[tokio::test]
async fn other_caller() {
    let settings = "[access]\nanonymous = false\n[[access.caller]]\nname = \"exams\"\n\
                    token = \"one\"\n[[access.caller]]\nname = \"rosters\"\ntoken = \"two\"\n";
    let fleet = ready(Plan {
        settings: settings.to_owned(),
        ..plan(1, 1)
    })
    .await;
    let key = key();
    let entry = fleet.callers()[0];
    let ask = async |token: &str, tag: &str| {
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
            ("ploverwick-non-idempotent", "true"),
        ];
        let body = completion("base:school-000@v1", tag);
        send(entry, Method::POST, "/v1/completions", &headers, &body).await
    };
    let mine = ask("one", "mine").await;
    let theirs = ask("two", "theirs").await;
    assert_that!([mine.status, theirs.status], each(eq(200)));
    // The same key of another caller is another request: it runs, and gets its own answer.
    assert_that!(runs(&fleet, "mine").await, eq(1));
    assert_that!(runs(&fleet, "theirs").await, eq(1));
}

#[tokio::test]
async fn answer_dropped() {
    let fleet = ready(Plan {
        settings: "[limits]\nkept_answers_bytes = 1\n".to_owned(),
        ..plan(2, 1)
    })
    .await;
    let key = key();
    let work = once("dropped", "school-000");
    let first = act(&fleet, 0, &work, Some(&key)).await;
    assert_that!(whole(&first.got), eq(true));
    // It ran, its answer made room, and it is not run again for a repeat, here or elsewhere.
    for entry in 0..2 {
        let again = act(&fleet, entry, &work, Some(&key)).await;
        assert_that!(again.got, eq(&Got::MayHaveRun(Code::AnswerLost.number())));
    }
    assert_that!(runs(&fleet, "dropped").await, eq(1));
}
