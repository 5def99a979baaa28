//! A non-idempotent request runs at most once, and every repeat gets the response of that run.

mod common;

use common::{at_most_once, completion, count_runs, key, plan, ready_fleet, send, send_work};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::CallResult;
use ploverwick_demo::fleet::Plan;

fn is_complete(result: &CallResult) -> bool {
    matches!(result, CallResult::Complete(_))
}

#[tokio::test]
async fn repeat_on_other_daemons() {
    let fleet = ready_fleet(plan(3, 2)).await;
    let key = key();
    let work = at_most_once("repeat", "school-001");
    let (a, b, c) = tokio::join!(
        send_work(&fleet, 0, &work, Some(&key)),
        send_work(&fleet, 1, &work, Some(&key)),
        send_work(&fleet, 2, &work, Some(&key)),
    );
    let late = send_work(&fleet, 1, &work, Some(&key)).await;
    assert_that!(
        [&a.result, &b.result, &c.result, &late.result].map(is_complete),
        each(eq(true))
    );
    assert_that!(count_runs(&fleet, "repeat").await, eq(1));
}

#[tokio::test]
async fn repeated_stream() {
    let fleet = ready_fleet(plan(2, 2)).await;
    let key = key();
    let mut work = at_most_once("stream", "school-002");
    work.stream = true;
    let first = send_work(&fleet, 0, &work, Some(&key)).await;
    let again = send_work(&fleet, 1, &work, Some(&key)).await;
    assert_that!(
        [&first.result, &again.result].map(is_complete),
        each(eq(true))
    );
    assert_that!(count_runs(&fleet, "stream").await, eq(1));
}

#[tokio::test]
async fn resumes_after_last_event() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let key = key();
    let address = fleet.caller_addresses()[0];
    let body = serde_json::json!({
        "model": "base:school-000@v1", "max_tokens": 5, "stream": true, "user": "position",
    });
    let body = body.to_string();
    let headers = [("idempotency-key", key.as_str())];
    let all = send(address, Method::POST, "/v1/completions", &headers, &body).await;
    let headers = [("idempotency-key", key.as_str()), ("last-event-id", "3")];
    let rest = send(address, Method::POST, "/v1/completions", &headers, &body).await;
    let expected = all
        .body
        .split_once("id: 4\n")
        .map(|(_, rest)| format!("id: 4\n{rest}"));
    assert_that!(Some(rest.body), eq(&expected));
    assert_that!(count_runs(&fleet, "position").await, eq(1));
}

#[tokio::test]
async fn keys_are_scoped_to_caller() {
    let settings = "[access]\nanonymous = false\n[[access.caller]]\nname = \"exams\"\n\
                    token = \"one\"\n[[access.caller]]\nname = \"rosters\"\ntoken = \"two\"\n";
    let fleet = ready_fleet(Plan {
        settings: settings.to_owned(),
        ..plan(1, 1)
    })
    .await;
    let key = key();
    let address = fleet.caller_addresses()[0];
    let ask = async |token: &str, tag: &str| {
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("idempotency-key", key.as_str()),
            ("ploverwick-non-idempotent", "true"),
        ];
        let body = completion("base:school-000@v1", tag);
        send(address, Method::POST, "/v1/completions", &headers, &body).await
    };
    let mine = ask("one", "mine").await;
    let theirs = ask("two", "theirs").await;
    assert_that!([mine.status, theirs.status], each(eq(200)));
    // The same key from another caller is another request, with its own run and response.
    assert_that!(count_runs(&fleet, "mine").await, eq(1));
    assert_that!(count_runs(&fleet, "theirs").await, eq(1));
}

#[tokio::test]
async fn no_rerun_after_response_eviction() {
    let fleet = ready_fleet(Plan {
        settings: "[limits]\nkept_answers_bytes = 1\n".to_owned(),
        ..plan(2, 1)
    })
    .await;
    let key = key();
    let work = at_most_once("dropped", "school-000");
    let first = send_work(&fleet, 0, &work, Some(&key)).await;
    assert_that!(is_complete(&first.result), eq(true));
    // The stored response was evicted. A repeat must not run the request again, on either daemon.
    for index in 0..2 {
        let again = send_work(&fleet, index, &work, Some(&key)).await;
        assert_that!(
            again.result,
            eq(&CallResult::MayHaveRun(Code::AnswerLost.number()))
        );
    }
    assert_that!(count_runs(&fleet, "dropped").await, eq(1));
}
