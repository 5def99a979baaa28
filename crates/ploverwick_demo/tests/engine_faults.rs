//! Engines that break off, restart, answer for another adapter, or cannot load.

mod common;

use std::time::Duration;

use common::{
    act, completion, key, once, plan, ready, runs, send, slow_engine, unloaded_in_use, work,
};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Method;
use ploverwick_codes::Code;
use ploverwick_demo::caller::Got;
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
async fn cut_stream() {
    let fleet = ready(plan(2, 2)).await;
    for address in fleet.engines() {
        let faults = engine::Faults {
            cut_streams: 1,
            ..engine::Faults::default()
        };
        fleet
            .faults(address, &faults)
            .await
            .expect("the engine answers");
    }
    let outcome = act(&fleet, 0, &streamed("cut", "school-005", 12), None).await;
    assert_that!(matches!(outcome.got, Got::Whole(_)), eq(true));
    assert_that!(outcome.tries.len(), eq(1));
    assert_that!(runs(&fleet, "cut").await, eq(1));
}

#[tokio::test]
async fn cut_head() {
    let fleet = ready(plan(2, 2)).await;
    for address in fleet.engines() {
        let faults = engine::Faults {
            cut_heads: 1,
            ..engine::Faults::default()
        };
        fleet
            .faults(address, &faults)
            .await
            .expect("the engine answers");
    }
    let key = key();
    let grade = act(&fleet, 0, &once("grade", "school-006"), Some(&key)).await;
    // Whether it ran is not known, and it is not run again.
    assert_that!(grade.got, eq(&Got::MayHaveRun(Code::Interrupted.number())));
    assert_that!(runs(&fleet, "grade").await, le(1));
    let hint = act(&fleet, 0, &work("hint", "school-006", 4), None).await;
    assert_that!(matches!(hint.got, Got::Whole(_)), eq(true));
}

#[tokio::test]
async fn cut_head_alone() {
    let fleet = ready(plan(1, 1)).await;
    let faults = engine::Faults {
        cut_heads: 1,
        ..engine::Faults::default()
    };
    let address = fleet.engines()[0];
    fleet
        .faults(address, &faults)
        .await
        .expect("the engine answers");
    let hint = act(&fleet, 0, &work("alone", "school-006", 4), None).await;
    assert_that!(matches!(hint.got, Got::Whole(_)), eq(true));
    assert_that!(hint.tries.len(), eq(1));
}

#[tokio::test]
async fn wrong_echo() {
    let fleet = ready(plan(2, 2)).await;
    for address in fleet.engines() {
        let faults = engine::Faults {
            echo_adapter: Some("neighbour".to_owned()),
            ..engine::Faults::default()
        };
        fleet
            .faults(address, &faults)
            .await
            .expect("the engine answers");
    }
    let body = completion("base:school-007@v1", "echo");
    let entry = fleet.callers()[0];
    let reply = send(entry, Method::POST, "/v1/completions", &[], &body).await;
    assert_that!(reply.code, eq(Code::WrongAdapter.number()));
    assert_that!(reply.body, not(contains_substring("school-007:0")));
}

#[tokio::test]
async fn restart_in_batch() {
    let fleet = ready(Plan {
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
        .map(|(index, work)| act(&fleet, index, work, None));
    let restarting = async {
        common::until("a run has begun", || async {
            runs(&fleet, "batch-0").await > 0
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
    let whole = outcomes
        .iter()
        .filter(|outcome| matches!(outcome.got, Got::Whole(_)));
    assert_that!(whole.count(), eq(12));
    assert_that!(unloaded_in_use(&fleet).await, eq(0));
}

#[tokio::test]
async fn store_down() {
    let fleet = ready(plan(1, 1)).await;
    let warm = act(&fleet, 0, &work("warm", "school-000", 4), None).await;
    assert_that!(matches!(warm.got, Got::Whole(_)), eq(true));
    let outage = store::Faults {
        outage: true,
        ..store::Faults::default()
    };
    fleet
        .faults(fleet.store_address(), &outage)
        .await
        .expect("the store answers");
    let entry = fleet.callers()[0];
    let cold = completion("base:school-001@v1", "cold");
    let refused = send(entry, Method::POST, "/v1/completions", &[], &cold).await;
    assert_that!(refused.code, eq(Code::LoadFailed.number()));
    let loaded = act(&fleet, 0, &work("loaded", "school-000", 4), None).await;
    assert_that!(matches!(loaded.got, Got::Whole(_)), eq(true));
    fleet
        .faults(fleet.store_address(), &store::Faults::default())
        .await
        .expect("the store answers");
    let later = act(&fleet, 0, &work("cold", "school-001", 4), None).await;
    assert_that!(matches!(later.got, Got::Whole(_)), eq(true));
    assert_that!(runs(&fleet, "cold").await, eq(1));
}

#[tokio::test]
async fn lost_order_answers() {
    let fleet = ready(Plan {
        engine: engine::Config {
            slots: 1,
            ..Plan::default().engine
        },
        settings: "[ownership]\norder_lag_ms = 300\nreport_lag_ms = 300\nreport_ms = 100\n"
            .to_owned(),
        ..plan(1, 2)
    })
    .await;
    for address in fleet.engines() {
        let faults = engine::Faults {
            lose_order_answers: 3,
            ..engine::Faults::default()
        };
        fleet
            .faults(address, &faults)
            .await
            .expect("the engine answers");
    }
    for index in 0..6 {
        let work = work(&format!("lost-{index}"), &format!("school-{index:03}"), 4);
        let outcome = act(&fleet, 0, &work, None).await;
        assert_that!(
            matches!(outcome.got, Got::Whole(_)),
            eq(true),
            "{:?}",
            outcome.got
        );
    }
    assert_that!(unloaded_in_use(&fleet).await, eq(0));
}

#[tokio::test]
async fn caller_leaves() {
    let fleet = ready(Plan {
        engine: slow_engine(20),
        ..plan(2, 1)
    })
    .await;
    let long = streamed("left", "school-000", 2000);
    let leaving = act(&fleet, 1, &long, None);
    let left = tokio::time::timeout(Duration::from_millis(600), leaving).await;
    assert_that!(left.is_err(), eq(true));
    common::until("the run is cancelled", || async {
        let records = fleet.records().await.expect("the engines answer");
        let runs = records.iter().flat_map(|records| &records.runs);
        let mut ours = runs.filter(|run| run.tag == "left");
        ours.all(|run| run.outcome == engine::Outcome::Cancelled)
    })
    .await;
}
