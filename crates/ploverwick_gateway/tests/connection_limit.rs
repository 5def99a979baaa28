//! An instance that can take no more connections sends clients elsewhere.

mod common;

use anyhow::Result;
use common::World;
use googletest::prelude::*;
use ploverwick_platform_standin::client::Connection;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The descriptors that the gateway may open; half of them are for clients.
const DESCRIPTORS: usize = 16;

#[tokio::test]
async fn full_is_not_ready() -> Result<()> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    let world = World::changed(store, |settings| settings.descriptors = DESCRIPTORS).await?;
    world.until_ready(true).await?;
    let mut held = Vec::new();
    for _ in 0..DESCRIPTORS / 2 {
        held.push(Connection::open(world.front).await?);
    }
    world.until_ready(false).await?;
    held.pop();
    world.until_ready(true).await?;
    assert_that!(held.len(), eq(DESCRIPTORS / 2 - 1));
    Ok(())
}
