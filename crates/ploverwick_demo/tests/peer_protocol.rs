//! Calls from daemons with another protocol version and malformed calls are refused with an error,
//! and nothing runs.

mod common;

use common::{count_runs, plan, ready_fleet};
use googletest::prelude::*;
use ploverwick_codes::Code;
use ploverwick_operator::Fleet as Reader;
use ploverwick_wire::{ClaimAsk, Order, PROTOCOL, PeerClient, Probe, frame};
use tonic::transport::Channel;

const NEWER_PROTOCOL: u32 = PROTOCOL + 1;

async fn peer(fleet: &ploverwick_demo::fleet::Fleet) -> PeerClient<Channel> {
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the roster responds");
    let address = reader.listing().instances[0].peers;
    PeerClient::connect(format!("http://{address}"))
        .await
        .expect("the daemon accepts the connection")
}

#[tokio::test]
async fn refuses_newer_probe() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let probe = Probe {
        protocol: NEWER_PROTOCOL,
        ..Probe::default()
    };
    let refused = peer(&fleet)
        .await
        .beat(probe)
        .await
        .expect_err("the daemon refuses the call");
    assert_that!(refused.code(), eq(tonic::Code::FailedPrecondition));
}

#[tokio::test]
async fn refuses_newer_order() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let body = common::completion("base:school-000@v1", "later");
    let order = Order {
        request: "r1".to_owned(),
        endpoint: "engine-1".to_owned(),
        model: "base:school-000@v1".to_owned(),
        path: "/v1/completions".to_owned(),
        body: body.into_bytes().into(),
        deadline_ms: 5000,
        protocol: NEWER_PROTOCOL,
        ..Order::default()
    };
    let mut frames = peer(&fleet)
        .await
        .run(order)
        .await
        .expect("the daemon responds")
        .into_inner();
    let first = frames
        .message()
        .await
        .expect("the frame is read")
        .expect("the stream has a frame");
    let Some(frame::Part::End(end)) = first.part else {
        panic!("expected a refusal without a head: {first:?}");
    };
    assert_that!(end.code, eq(u32::from(Code::NotOwner.number())));
    assert_that!(end.message, contains_substring("protocol"));
    assert_that!(count_runs(&fleet, "later").await, eq(0));
}

#[tokio::test]
async fn refuses_malformed_claim() {
    let fleet = ready_fleet(plan(1, 1)).await;
    let malformed = ClaimAsk {
        partition: 99,
        key: vec![1, 2, 3].into(),
        ..ClaimAsk::default()
    };
    let refused = peer(&fleet)
        .await
        .claim(malformed)
        .await
        .expect_err("the daemon refuses the call");
    assert_that!(refused.code(), eq(tonic::Code::InvalidArgument));
}
