//! An instance that can accept no more connections reports that it is not ready, so that clients use other instances.

mod common;

use anyhow::Result;
use common::Gateway;
use googletest::prelude::*;
use ploverwick_platform_standin::client::Connection;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The maximum number of open file descriptors of the gateway; half of them are for client connections.
const DESCRIPTORS: usize = 16;

#[tokio::test]
async fn full_instance_is_not_ready() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let gateway =
        Gateway::with_settings(store, |settings| settings.descriptors = DESCRIPTORS).await?;
    gateway.wait_until_ready(true).await?;
    let mut held = Vec::new();
    for _ in 0..DESCRIPTORS / 2 {
        held.push(Connection::open(gateway.front).await?);
    }
    gateway.wait_until_ready(false).await?;
    held.pop();
    gateway.wait_until_ready(true).await?;
    assert_that!(held.len(), eq(DESCRIPTORS / 2 - 1));
    Ok(())
}
