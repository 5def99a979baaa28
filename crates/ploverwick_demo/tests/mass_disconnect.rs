//! Many callers that disconnect mid-stream do not interrupt the streams of other callers.

mod common;

use std::net::SocketAddr;

use common::{assert_uninterrupted, plan, ready_fleet, send_work, start_stream, work};
use futures_util::future::join_all;
use googletest::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Full};
use ploverwick_demo::caller::CallResult;
use ploverwick_demo::fleet::Plan;
use ploverwick_ports::client::Client;
use ploverwick_standin::engine;

const CALLERS_PER_ROUND: usize = 100;
const ROUNDS: usize = 24;

/// Starts a stream, reads its first frame and disconnects.
async fn disconnect(address: SocketAddr, name: String) {
    let body = serde_json::json!({
        "model": "base:school-000@v1", "max_tokens": 5000, "stream": true, "user": name,
    });
    let request = Request::post(format!("http://{address}/v1/completions"))
        .body(Full::from(body.to_string()))
        .expect("the request is valid");
    let response = Client::new()
        .send(address, request)
        .await
        .expect("the daemon responds");
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        let reason = body.collect().await.expect("the body is read").to_bytes();
        panic!("{status}: {}", String::from_utf8_lossy(&reason));
    }
    body.frame()
        .await
        .expect("the stream has a frame")
        .expect("the frame is read");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_streams_continue() {
    let fleet = ready_fleet(Plan {
        engine: engine::Config {
            batch: 4096,
            ..Plan::default().engine
        },
        settings: "[limits]\nqueue_per_endpoint = 4096\n".to_owned(),
        ..plan(2, 1)
    })
    .await;
    let warm = send_work(&fleet, 0, &work("warm", "school-000", 2), None).await;
    assert_that!(matches!(warm.result, CallResult::Complete(_)), eq(true));
    let addresses = fleet.caller_addresses();
    // One of the two streams is relayed between the daemons.
    let continuing = [
        start_stream(addresses[0], "stays-1", "school-000", 1500),
        start_stream(addresses[1], "stays-2", "school-000", 1500),
    ];
    for round in 0..ROUNDS {
        let disconnecting = (0..CALLERS_PER_ROUND).map(|index| {
            let address = addresses[index % addresses.len()];
            disconnect(address, format!("leaves-{round}-{index}"))
        });
        join_all(disconnecting).await;
    }
    for stream in continuing {
        assert_uninterrupted(stream).await;
    }
}
