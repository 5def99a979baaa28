//! Endpoints that say in their answers that they are leaving get no more requests, whatever the list says.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{World, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::endpoint::Endpoint;

/// The time after which an endpoint that is leaving gets no more requests.
const DRAIN: Duration = Duration::from_secs(2);

/// Asks until an endpoint has answered once more.
async fn until_answered(world: &World, endpoint: &Endpoint) -> Result<()> {
    let before = endpoint.asked();
    let mut number = 0;
    while endpoint.asked() == before {
        number += 1;
        world.ask(&format!("until-{number}"), "/safe/").await?;
    }
    Ok(())
}

/// Guards against requests to an endpoint whose departure the list cannot tell while the store is away.
#[tokio::test]
async fn store_away() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    world.store.away(true);
    a.leave();
    until_answered(&world, &a).await?;
    tokio::time::sleep(DRAIN).await;
    let before = a.asked();
    for number in 0..20 {
        let got = world.ask(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(a.asked(), eq(before));
    Ok(())
}
