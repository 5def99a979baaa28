//! Another writer's records, in each topic that is read, stop nothing: the others hold.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{World, two_plain};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::{INSTANCE_TOPIC, OPERATOR_TOPIC, ROSTER_TOPIC, TABLE_TOPIC};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::json;

/// Longer than two reads of the list with their pauses.
const HEARD: Duration = Duration::from_millis(2_400);

/// Writes what cannot be read into each topic.
fn spoil(store: &Store) {
    let huge = vec![b'['; 200_000];
    let values: [&[u8]; 6] = [
        b"\xff\xfe\x00",
        b"null",
        b"[]",
        b"{\"state\":7}",
        b"{",
        &huge,
    ];
    for (number, value) in values.iter().enumerate() {
        for topic in [ROSTER_TOPIC, INSTANCE_TOPIC, TABLE_TOPIC] {
            store.write(topic, &format!("other-{number}"), value);
        }
        store.write(OPERATOR_TOPIC, &format!("version/other-{number}"), value);
        store.write(OPERATOR_TOPIC, &format!("other-{number}"), value);
    }
}

/// Entries that read well but for one word.
fn list_strangers(store: &Store, endpoint: &Endpoint) {
    let strangers = [
        ("state", json!("starting")),
        ("service", json!("elsewhere")),
        ("slots", json!("many")),
        ("seq", json!(null)),
        ("born", json!("today")),
    ];
    for (field, value) in strangers {
        let mut entry = endpoint.entry("ready");
        entry[field] = value;
        store.list(&format!("stranger-{field}"), &entry);
    }
}

#[tokio::test]
async fn starts_beside_them() -> Result<()> {
    let (a, b) = two_plain().await?;
    let stranger = Endpoint::start("i-c", "app", None, "d1").await?;
    let store = Store::start().await?;
    spoil(&store);
    list_strangers(&store, &stranger);
    store.list(a.id(), &a.entry("ready"));
    store.list(b.id(), &b.entry("ready"));
    store.configure(&settings::config(1));
    let world = World::of(store, false).await?;
    world.until_ready(true).await?;
    tokio::time::sleep(HEARD).await;
    for number in 0..20 {
        let got = world.ask(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(stranger.requests_received(), eq(0));
    assert_that!(a.requests_received() + b.requests_received(), ge(20));
    Ok(())
}

#[tokio::test]
async fn runs_beside_them() -> Result<()> {
    let (a, b) = two_plain().await?;
    let stranger = Endpoint::start("i-c", "app", None, "d1").await?;
    let world = World::with(&[&a, &b]).await?;
    spoil(&world.store);
    list_strangers(&world.store, &stranger);
    // An entry under the name of a sound endpoint names none, and what the endpoint said holds.
    world.store.write(ROSTER_TOPIC, a.id(), b"{\"service\":[]}");
    world.store.write(ROSTER_TOPIC, b.id(), b"null");
    tokio::time::sleep(HEARD).await;
    world.store.configure(&settings::config(2));
    for number in 0..20 {
        let got = world.ask(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(stranger.requests_received(), eq(0));
    assert_that!(a.requests_received(), gt(0));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}
