//! Records of another writer that cannot be decoded must not affect other records, in any topic.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, two_app_endpoints};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::{ENDPOINT_TOPIC, INSTANCE_TOPIC, OPERATOR_TOPIC, TABLE_TOPIC};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;
use serde_json::json;

/// Longer than two polls of the list.
const LIST_DELAY: Duration = Duration::from_millis(2_400);

/// Writes undecodable records to each topic.
fn write_undecodable(store: &Store) {
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
        for topic in [ENDPOINT_TOPIC, INSTANCE_TOPIC, TABLE_TOPIC] {
            store.write(topic, &format!("other-{number}"), value);
        }
        store.write(OPERATOR_TOPIC, &format!("version/other-{number}"), value);
        store.write(OPERATOR_TOPIC, &format!("other-{number}"), value);
    }
}

/// Lists entries that are valid except for one field.
fn list_malformed(store: &Store, endpoint: &Endpoint) {
    let invalid_fields = [
        ("state", json!("starting")),
        ("service", json!("elsewhere")),
        ("slots", json!("many")),
        ("seq", json!(null)),
        ("born", json!("today")),
    ];
    for (field, value) in invalid_fields {
        let mut entry = endpoint.entry("ready");
        entry[field] = value;
        store.list(&format!("stranger-{field}"), &entry);
    }
}

#[tokio::test]
async fn starts_despite_malformed_records() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let malformed = Endpoint::start("i-c", "app", None, "d1").await?;
    let store = Store::start().await?;
    write_undecodable(&store);
    list_malformed(&store, &malformed);
    store.list(a.id(), &a.entry("ready"));
    store.list(b.id(), &b.entry("ready"));
    store.configure(&settings::config(1));
    let gateway = Gateway::start(store, false).await?;
    gateway.wait_until_ready(true).await?;
    tokio::time::sleep(LIST_DELAY).await;
    for number in 0..20 {
        let got = gateway.request(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(malformed.requests_received(), eq(0));
    assert_that!(a.requests_received() + b.requests_received(), ge(20));
    Ok(())
}

#[tokio::test]
async fn runs_despite_malformed_records() -> Result<()> {
    let (a, b) = two_app_endpoints().await?;
    let malformed = Endpoint::start("i-c", "app", None, "d1").await?;
    let gateway = Gateway::with_endpoints(&[&a, &b]).await?;
    write_undecodable(&gateway.store);
    list_malformed(&gateway.store, &malformed);
    // A malformed entry under the name of a valid endpoint is ignored, and the earlier entry of the endpoint stays.
    gateway
        .store
        .write(ENDPOINT_TOPIC, a.id(), b"{\"service\":[]}");
    gateway.store.write(ENDPOINT_TOPIC, b.id(), b"null");
    tokio::time::sleep(LIST_DELAY).await;
    gateway.store.configure(&settings::config(2));
    for number in 0..20 {
        let got = gateway.request(&format!("r{number}"), "/safe/").await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    assert_that!(malformed.requests_received(), eq(0));
    assert_that!(a.requests_received(), gt(0));
    assert_that!(b.requests_received(), gt(0));
    Ok(())
}
