//! The simulated engine enforces fencing tokens, slot limits and loaded adapters, and its cache
//! events have gaps.

use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use ploverwick_names::{Adapter, Token, Variant, Version};
use ploverwick_ports::client::{CallError, Client};
use ploverwick_ports::engine::{Engine, Order, Run};
use ploverwick_standin::engine::{CacheEvent, Config, start};

const TIMEOUT: Duration = Duration::from_secs(5);

fn order(adapter: &str, token: u64) -> Order {
    Order {
        variant: Some(Variant {
            adapter: Adapter::new(adapter).expect("valid name"),
            version: Version::new("v1").expect("valid name"),
        }),
        token: Token(token),
    }
}

fn run(request: &str, adapter: &str, prompt: &str) -> Run {
    let model = format!("base:{adapter}@v1");
    let body = serde_json::json!({"model": model, "prompt": prompt, "max_tokens": 2});
    Run {
        path: "/v1/completions".to_owned(),
        request: request.to_owned(),
        model,
        body: body.to_string().into(),
        priority: 5,
        resume_after: 0,
        token: Token(1),
        stamp: 0,
    }
}

async fn engine(config: Config) -> (ploverwick_standin::Handle, Engine) {
    let running = start(config).await.expect("the engine starts");
    let engine = Engine::new(Client::new(), running.address(), TIMEOUT);
    (running, engine)
}

#[tokio::test]
async fn refuses_old_token() {
    let (_running, engine) = engine(Config::default()).await;
    engine
        .fence(Token(7))
        .await
        .expect("the engine carries out the order");
    let refused = engine.load(&order("a", 6), TIMEOUT).await;
    assert_that!(
        matches!(refused, Err(CallError::Refused { status: 409, .. })),
        eq(true)
    );
    engine
        .load(&order("a", 8), TIMEOUT)
        .await
        .expect("the engine carries out the order");
}

#[tokio::test]
async fn refuses_load_without_free_slot() {
    let (_running, engine) = engine(Config {
        slots: 1,
        ..Config::default()
    })
    .await;
    engine
        .load(&order("a", 1), TIMEOUT)
        .await
        .expect("the engine carries out the order");
    let refused = engine.load(&order("b", 1), TIMEOUT).await;
    assert_that!(matches!(refused, Err(CallError::Refused { .. })), eq(true));
    engine
        .unload(&order("a", 1))
        .await
        .expect("the engine carries out the order");
    engine
        .load(&order("b", 1), TIMEOUT)
        .await
        .expect("the engine carries out the order");
}

#[tokio::test]
async fn refuses_run_without_adapter() {
    let (_running, engine) = engine(Config::default()).await;
    let response = engine
        .run(&run("r1", "a", "p"))
        .await
        .expect("the engine responds");
    assert_that!(response.status().as_u16(), eq(409));
    assert_that!(
        response.headers()["ploverwick-not-run"].as_bytes(),
        eq(b"true")
    );
}

#[tokio::test]
async fn cache_events_have_gaps() {
    let (running, engine) = engine(Config {
        report_lag: Duration::ZERO,
        ..Config::default()
    })
    .await;
    engine
        .load(&order("a", 1), TIMEOUT)
        .await
        .expect("the engine carries out the order");
    for number in 0..10 {
        let prompt = format!("prompt {number}");
        let response = engine.run(&run(&format!("r{number}"), "a", &prompt)).await;
        assert_that!(
            response.expect("the engine responds").status().as_u16(),
            eq(200)
        );
    }
    let events: Vec<CacheEvent> = Client::new()
        .call::<(), _>(
            Method::GET,
            running.address(),
            "/cache/events?after=2",
            None,
            TIMEOUT,
        )
        .await
        .expect("the engine responds");
    let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
    // Event 7 falls into a gap.
    assert_that!(numbers, eq(&vec![3, 4, 5, 6, 8, 9, 10]));
}
