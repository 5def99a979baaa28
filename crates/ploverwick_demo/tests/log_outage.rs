//! While the log is out, non-idempotent requests are refused as not run and the rest goes on.

mod common;

use common::{act, completion, key, once, plan, ready, runs, send, work};
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::Got;
use ploverwick_standin::log::Faults;

#[tokio::test]
async fn refused_then_runs() {
    let fleet = ready(plan(2, 2)).await;
    let warm = act(&fleet, 0, &work("warm", "school-003", 4), None).await;
    assert_that!(matches!(warm.got, Got::Whole(_)), eq(true));
    let outage = Faults {
        outage: true,
        ..Faults::default()
    };
    fleet
        .faults(fleet.log_address(), &outage)
        .await
        .expect("the log answers");
    let key = key();
    let headers = [
        ("idempotency-key", key.as_str()),
        ("ploverwick-non-idempotent", "true"),
    ];
    let body = completion("base:school-003@v1", "outage");
    let entry = fleet.callers()[0];
    let refused = send(entry, Method::POST, "/v1/completions", &headers, &body).await;
    assert_that!(refused.code, eq(Code::LogUnavailable.number()));
    assert_that!(refused.headers.contains_key("retry-after"), eq(true));
    let goes_on = act(&fleet, 1, &work("goes-on", "school-003", 4), None).await;
    assert_that!(matches!(goes_on.got, Got::Whole(_)), eq(true));
    assert_that!(runs(&fleet, "outage").await, eq(0));
    fleet
        .faults(fleet.log_address(), &Faults::default())
        .await
        .expect("the log answers");
    let work = once("outage", "school-003");
    let repeat = act(&fleet, 1, &work, Some(&key)).await;
    assert_that!(matches!(repeat.got, Got::Whole(_)), eq(true));
    assert_that!(runs(&fleet, "outage").await, eq(1));
}

#[tokio::test]
async fn lost_append_answers() {
    let fleet = ready(plan(2, 2)).await;
    let lossy = Faults {
        lose_answers: 2,
        ..Faults::default()
    };
    fleet
        .faults(fleet.log_address(), &lossy)
        .await
        .expect("the log answers");
    let key = key();
    let work = once("lossy", "school-004");
    let (a, b) = tokio::join!(
        act(&fleet, 0, &work, Some(&key)),
        act(&fleet, 1, &work, Some(&key))
    );
    let whole = [a.got, b.got].map(|got| matches!(got, Got::Whole(_)));
    assert_that!(whole, each(eq(true)));
    assert_that!(runs(&fleet, "lossy").await, eq(1));
}
