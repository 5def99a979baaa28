//! Endpoints that refuse a request and ask for a pause get nothing from that instance until it is over.

mod common;

use std::time::{Duration, Instant};

use anyhow::Result;
use common::{HOST, World, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{self, Ask, Got};
use ploverwick_platform_standin::endpoint::{Act, Endpoint};

/// The pause that endpoints ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// The time after a refusal in which requests that were under way may still arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// The requests that may reach an endpoint in the rest of its pause.
const MOST: usize = 2;
/// More refusals than requests are sent in a test.
const ALL: usize = 1_000;

fn refuse_all(endpoint: &Endpoint) {
    let ms = u64::try_from(PAUSE.as_millis()).expect("a few seconds");
    endpoint.script(&[Act::Pause(ms); ALL]);
}

/// Asks again and again for some time; returns what clients got.
async fn ask_for(
    world: &World,
    time: Duration,
    path: &str,
    model: Option<&str>,
) -> Result<Vec<Got>> {
    let begun = Instant::now();
    let mut got = Vec::new();
    while begun.elapsed() < time {
        let mut ask = Ask::new(&format!("r{}-{path}", got.len()), HOST, path);
        ask.model = model.map(str::to_owned);
        got.push(client::send(world.front, &ask).await?);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    Ok(got)
}

/// Returns the requests that reached an endpoint within the pause that its first refusal asked for, without
/// those that were under way. `before` is the number of requests that reached it before.
fn within_pause(endpoint: &Endpoint, before: usize) -> usize {
    let arrivals = endpoint.arrivals();
    let Some(first) = arrivals.get(before) else {
        return 0;
    };
    let within = arrivals.iter().filter(|at| {
        let since = at.saturating_duration_since(*first);
        since > UNDER_WAY && since < PAUSE
    });
    within.count()
}

/// Guards against requests that are held or sent in vain where all endpoints asked for a pause.
#[tokio::test]
async fn all_pause() -> Result<()> {
    let (a, b) = two_plain().await?;
    let world = World::with(&[&a, &b]).await?;
    let before = [&a, &b].map(|endpoint| {
        refuse_all(endpoint);
        endpoint.asked()
    });
    let got = ask_for(&world, PAUSE, "/once/", None).await?;
    let promised = got.iter().filter(|got| {
        matches!(
            got.status,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
        )
    });
    let hints = promised.filter(|got| got.retry_after.is_some());
    assert_that!(hints.count(), eq(got.len()));
    for (endpoint, before) in [&a, &b].into_iter().zip(before) {
        assert_that!(within_pause(endpoint, before), le(MOST));
    }
    Ok(())
}
