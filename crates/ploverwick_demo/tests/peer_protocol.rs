//! Daemons of another protocol are refused clearly, and nothing is run for them.

mod common;

use common::{plan, ready, runs};
use googletest::prelude::*;
use ploverwick_codes::Code;
use ploverwick_operator::Fleet as Reader;
use ploverwick_wire::{ClaimAsk, Order, PROTOCOL, PeerClient, Probe, frame};
use tonic::transport::Channel;

const LATER: u32 = PROTOCOL + 1;

async fn peer(fleet: &ploverwick_demo::fleet::Fleet) -> PeerClient<Channel> {
    let reader = Reader::read(fleet.roster_address())
        .await
        .expect("the list answers");
    let address = reader.listing().instances[0].peers;
    PeerClient::connect(format!("http://{address}"))
        .await
        .expect("it connects")
}

#[tokio::test]
async fn later_probe() {
    let fleet = ready(plan(1, 1)).await;
    let probe = Probe {
        protocol: LATER,
        ..Probe::default()
    };
    let refused = peer(&fleet)
        .await
        .beat(probe)
        .await
        .expect_err("it is refused");
    assert_that!(refused.code(), eq(tonic::Code::FailedPrecondition));
}

#[tokio::test]
async fn later_order() {
    let fleet = ready(plan(1, 1)).await;
    let body = common::completion("base:school-000@v1", "later");
    let order = Order {
        request: "r1".to_owned(),
        endpoint: "engine-1".to_owned(),
        model: "base:school-000@v1".to_owned(),
        path: "/v1/completions".to_owned(),
        body: body.into_bytes().into(),
        deadline_ms: 5000,
        protocol: LATER,
        ..Order::default()
    };
    let mut frames = peer(&fleet)
        .await
        .run(order)
        .await
        .expect("it is answered")
        .into_inner();
    let first = frames
        .message()
        .await
        .expect("it is read")
        .expect("there is a frame");
    let Some(frame::Part::End(end)) = first.part else {
        panic!("a refusal has no head: {first:?}");
    };
    assert_that!(end.code, eq(u32::from(Code::NotOwner.number())));
    assert_that!(end.message, contains_substring("protocol"));
    assert_that!(runs(&fleet, "later").await, eq(0));
}

#[tokio::test]
async fn garbled_claim() {
    let fleet = ready(plan(1, 1)).await;
    let garbled = ClaimAsk {
        partition: 99,
        key: vec![1, 2, 3].into(),
        ..ClaimAsk::default()
    };
    let refused = peer(&fleet)
        .await
        .claim(garbled)
        .await
        .expect_err("it is refused");
    assert_that!(refused.code(), eq(tonic::Code::InvalidArgument));
}
