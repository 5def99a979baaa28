//! During a log outage, non-idempotent requests are refused as not run; other requests are served.

mod common;

use common::{at_most_once, completion, count_runs, key, plan, ready_fleet, send, send_work, work};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::CallResult;
use ploverwick_standin::log::Faults;

#[tokio::test]
async fn refused_then_runs() {
    let fleet = ready_fleet(plan(2, 2)).await;
    let warm = send_work(&fleet, 0, &work("warm", "school-003", 4), None).await;
    assert_that!(matches!(warm.result, CallResult::Complete(_)), eq(true));
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet
        .inject_faults(fleet.log_address(), &outage)
        .await
        .expect("the log responds");
    let key = key();
    let headers = [
        ("idempotency-key", key.as_str()),
        ("ploverwick-non-idempotent", "true"),
    ];
    let body = completion("base:school-003@v1", "outage");
    let address = fleet.caller_addresses()[0];
    let refused = send(address, Method::POST, "/v1/completions", &headers, &body).await;
    assert_that!(refused.code, eq(Code::LogUnavailable.number()));
    assert_that!(refused.headers.contains_key("retry-after"), eq(true));
    let other = send_work(&fleet, 1, &work("goes-on", "school-003", 4), None).await;
    assert_that!(matches!(other.result, CallResult::Complete(_)), eq(true));
    assert_that!(count_runs(&fleet, "outage").await, eq(0));
    fleet
        .inject_faults(fleet.log_address(), &Faults::default())
        .await
        .expect("the log responds");
    let work = at_most_once("outage", "school-003");
    let repeat = send_work(&fleet, 1, &work, Some(&key)).await;
    assert_that!(matches!(repeat.result, CallResult::Complete(_)), eq(true));
    assert_that!(count_runs(&fleet, "outage").await, eq(1));
}

#[tokio::test]
async fn lost_append_responses() {
    let fleet = ready_fleet(plan(2, 2)).await;
    let response_loss = Faults {
        lose_answers: 2,
        ..Faults::default()
    };
    fleet
        .inject_faults(fleet.log_address(), &response_loss)
        .await
        .expect("the log responds");
    let key = key();
    let work = at_most_once("lossy", "school-004");
    let (a, b) = tokio::join!(
        send_work(&fleet, 0, &work, Some(&key)),
        send_work(&fleet, 1, &work, Some(&key))
    );
    let complete = [a.result, b.result].map(|result| matches!(result, CallResult::Complete(_)));
    assert_that!(complete, each(eq(true)));
    assert_that!(count_runs(&fleet, "lossy").await, eq(1));
}
