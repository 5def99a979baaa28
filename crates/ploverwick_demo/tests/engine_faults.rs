//! Engines that abort responses, restart, respond for another adapter, fail to load or lose order
//! responses, and callers that disconnect.

mod common;

use std::time::Duration;

use common::{
    at_most_once, completion, count_runs, key, plan, ready_fleet, send, send_work, slow_engine,
    unloaded_in_use, work,
};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::CallResult;
use ploverwick_demo::fleet::Plan;
use ploverwick_demo::work::Work;
use ploverwick_standin::{engine, store};

fn streamed(tag: &str, adapter: &str, tokens: usize) -> Work {
    Work {
        stream: true,
        ..work(tag, adapter, tokens)
    }
}

#[tokio::test]
async fn aborted_stream_is_resumed() {
    let fleet = ready_fleet(plan(2, 2)).await;
    for address in fleet.engine_addresses() {
        let faults = engine::Faults {
            cut_streams: 1,
            ..engine::Faults::default()
        };
        fleet
            .inject_faults(address, &faults)
            .await
            .expect("the engine responds");
    }
    let outcome = send_work(&fleet, 0, &streamed("cut", "school-005", 12), None).await;
    assert_that!(matches!(outcome.result, CallResult::Complete(_)), eq(true));
    assert_that!(outcome.attempts.len(), eq(1));
    assert_that!(count_runs(&fleet, "cut").await, eq(1));
}

#[tokio::test]
async fn non_idempotent_request_is_not_rerun() {
    let fleet = ready_fleet(plan(2, 2)).await;
    for address in fleet.engine_addresses() {
        let faults = engine::Faults {
            cut_heads: 1,
            ..engine::Faults::default()
        };
        fleet
            .inject_faults(address, &faults)
            .await
            .expect("the engine responds");
    }
    let key = key();
    let grade = send_work(&fleet, 0, &at_most_once("grade", "school-006"), Some(&key)).await;
    // It is unknown whether the request ran, so it must not run again.
    assert_that!(
        grade.result,
        eq(&CallResult::MayHaveRun(Code::Interrupted.number()))
    );
    assert_that!(count_runs(&fleet, "grade").await, le(1));
    let hint = send_work(&fleet, 0, &work("hint", "school-006", 4), None).await;
    assert_that!(matches!(hint.result, CallResult::Complete(_)), eq(true));
}

#[tokio::test]
async fn retries_on_the_only_engine() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let faults = engine::Faults {
        cut_heads: 1,
        ..engine::Faults::default()
    };
    let address = fleet.engine_addresses()[0];
    fleet
        .inject_faults(address, &faults)
        .await
        .expect("the engine responds");
    let hint = send_work(&fleet, 0, &work("alone", "school-006", 4), None).await;
    assert_that!(matches!(hint.result, CallResult::Complete(_)), eq(true));
    assert_that!(hint.attempts.len(), eq(1));
}

#[tokio::test]
async fn rejects_response_of_other_adapter() {
    let fleet = ready_fleet(plan(2, 2)).await;
    for address in fleet.engine_addresses() {
        let faults = engine::Faults {
            echo_adapter: Some("neighbour".to_owned()),
            ..engine::Faults::default()
        };
        fleet
            .inject_faults(address, &faults)
            .await
            .expect("the engine responds");
    }
    let body = completion("base:school-007@v1", "echo");
    let address = fleet.caller_addresses()[0];
    let reply = send(address, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::WrongAdapter.number()));
    assert_that!(reply.body, not(contains_substring("school-007:0")));
}

#[tokio::test]
async fn batch_completes_despite_engine_restarts() {
    let fleet = ready_fleet(Plan {
        engine: slow_engine(15),
        ..plan(2, 2)
    })
    .await;
    let work: Vec<Work> = (0..12)
        .map(|index| {
            work(
                &format!("batch-{index}"),
                &format!("school-{:03}", index % 3),
                20,
            )
        })
        .collect();
    let running = work
        .iter()
        .enumerate()
        .map(|(index, work)| send_work(&fleet, index, work, None));
    let restarting = async {
        common::wait_until("a run has started", || async {
            count_runs(&fleet, "batch-0").await > 0
        })
        .await;
        for index in 0..2 {
            fleet
                .restart_engine(index)
                .await
                .expect("the engine restarts");
        }
    };
    let (outcomes, ()) = tokio::join!(join_all(running), restarting);
    let complete = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.result, CallResult::Complete(_)));
    assert_that!(complete.count(), eq(12));
    assert_that!(unloaded_in_use(&fleet).await, eq(0));
}

#[tokio::test]
async fn store_outage_fails_only_new_loads() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let warm = send_work(&fleet, 0, &work("warm", "school-000", 4), None).await;
    assert_that!(matches!(warm.result, CallResult::Complete(_)), eq(true));
    let outage = store::Faults {
        outage: true,
        ..store::Faults::default()
    };
    fleet
        .inject_faults(fleet.store_address(), &outage)
        .await
        .expect("the store responds");
    let address = fleet.caller_addresses()[0];
    let cold = completion("base:school-001@v1", "cold");
    let refused = send(address, Method::POST, "/v1/completions", &[], &cold).await;
    assert_that!(refused.code, eq(Code::LoadFailed.number()));
    let loaded = send_work(&fleet, 0, &work("loaded", "school-000", 4), None).await;
    assert_that!(matches!(loaded.result, CallResult::Complete(_)), eq(true));
    fleet
        .inject_faults(fleet.store_address(), &store::Faults::default())
        .await
        .expect("the store responds");
    let later = send_work(&fleet, 0, &work("cold", "school-001", 4), None).await;
    assert_that!(matches!(later.result, CallResult::Complete(_)), eq(true));
    assert_that!(count_runs(&fleet, "cold").await, eq(1));
}

#[tokio::test]
async fn requests_complete_despite_lost_order_responses() {
    let fleet = ready_fleet(Plan {
        engine: engine::Config {
            slots: 1,
            ..Plan::default().engine
        },
        settings: "[ownership]\norder_lag_ms = 300\nreport_lag_ms = 300\nreport_ms = 100\n"
            .to_owned(),
        ..plan(1, 2)
    })
    .await;
    for address in fleet.engine_addresses() {
        let faults = engine::Faults {
            lose_order_answers: 3,
            ..engine::Faults::default()
        };
        fleet
            .inject_faults(address, &faults)
            .await
            .expect("the engine responds");
    }
    for index in 0..6 {
        let work = work(&format!("lost-{index}"), &format!("school-{index:03}"), 4);
        let outcome = send_work(&fleet, 0, &work, None).await;
        assert_that!(
            matches!(outcome.result, CallResult::Complete(_)),
            eq(true),
            "{:?}",
            outcome.result
        );
    }
    assert_that!(unloaded_in_use(&fleet).await, eq(0));
}

#[tokio::test]
async fn caller_disconnect_cancels_run() {
    let fleet = ready_fleet(Plan {
        engine: slow_engine(20),
        ..plan(2, 1)
    })
    .await;
    let long = streamed("left", "school-000", 2000);
    let leaving = send_work(&fleet, 1, &long, None);
    let left = tokio::time::timeout(Duration::from_millis(600), leaving).await;
    assert_that!(left.is_err(), eq(true));
    common::wait_until("the run is cancelled", || async {
        let records = fleet.records().await.expect("the engines respond");
        let runs = records.iter().flat_map(|records| &records.runs);
        let mut ours = runs.filter(|run| run.tag == "left");
        ours.all(|run| run.outcome == engine::Outcome::Cancelled)
    })
    .await;
}
