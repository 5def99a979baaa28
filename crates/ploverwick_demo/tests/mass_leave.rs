//! Callers that leave in the middle of their streams do not cut off those who stay.

mod common;

use std::net::SocketAddr;

use common::{act, plan, ready, stream, uninterrupted, work};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use ploverwick_demo::caller::Got;
use ploverwick_demo::fleet::Plan;
use ploverwick_ports::client::Client;
use ploverwick_standin::engine;

const LEAVING: usize = 100;
const ROUNDS: usize = 24;

/// Starts a stream, reads its first part and leaves.
async fn leave(entry: SocketAddr, name: String) {
    let body = serde_json::json!({
        "model": "base:school-000@v1", "max_tokens": 5000, "stream": true, "user": name,
    });
    let request = Request::post(format!("http://{entry}/v1/completions"))
        .body(Full::from(body.to_string()))
        .expect("the request is well formed");
    let response = Client::new()
        .send(entry, request)
        .await
        .expect("there is a reply");
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        let why = body.collect().await.expect("it is read").to_bytes();
        panic!("{status}: {}", String::from_utf8_lossy(&why));
    }
    body.frame()
        .await
        .expect("there is a part")
        .expect("it is read");
}

#[tokio::test(flavor = "multi_thread")]
async fn others_stay() {
    let fleet = ready(Plan {
        engine: engine::Config {
            batch: 4096,
            ..Plan::default().engine
        },
        settings: "[limits]\nqueue_per_endpoint = 4096\n".to_owned(),
        ..plan(2, 1)
    })
    .await;
    let warm = act(&fleet, 0, &work("warm", "school-000", 2), None).await;
    assert_that!(matches!(warm.got, Got::Whole(_)), eq(true));
    let entries = fleet.callers();
    // One of the two comes through the link between the daemons.
    let staying = [
        stream(entries[0], "stays-1", "school-000", 1500),
        stream(entries[1], "stays-2", "school-000", 1500),
    ];
    for round in 0..ROUNDS {
        let leaving = (0..LEAVING).map(|index| {
            let entry = entries[index % entries.len()];
            leave(entry, format!("leaves-{round}-{index}"))
        });
        join_all(leaving).await;
    }
    for stream in staying {
        uninterrupted(stream).await;
    }
}
