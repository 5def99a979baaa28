//! Most new connections of a region may come to one instance for some seconds.

mod common;

use std::time::Duration;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::client::{ClientRequest, Connection};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The maximum number of open file descriptors of the gateway; half of them are for client connections.
const DESCRIPTORS: usize = 64;
/// The connections that clients keep open after a request, and those that they open after them: together more than fit.
const KEPT: usize = 28;
const NEW: usize = 20;
/// Well below the time after which idle connections are closed where there is room.
const HANG_LIMIT: Duration = Duration::from_secs(8);

async fn gateway(endpoint: &Endpoint) -> Result<Gateway> {
    let store = Store::start().await?;
    store.list(endpoint.id(), &endpoint.entry("ready"));
    store.configure(&settings::config(1));
    let gateway =
        Gateway::with_settings(store, |settings| settings.descriptors = DESCRIPTORS).await?;
    gateway.wait_until_ready(true).await?;
    Ok(gateway)
}

fn request(id: &str) -> ClientRequest {
    ClientRequest::new(id, HOST, "/safe/")
}

/// Opens a connection and sends a request on it, on a new connection each time that it is closed unread.
async fn open_and_send(gateway: &Gateway, id: &str) -> Result<Connection> {
    loop {
        let mut connection = Connection::open(gateway.front).await?;
        if let Ok(got) = connection.send(&request(id)).await
            && got.status == StatusCode::OK
        {
            return Ok(connection);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an instance whose idle connections keep it from accepting new ones.
#[tokio::test]
async fn idle_connections_make_room() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = gateway(&endpoint).await?;
    let mut kept = Vec::new();
    for number in 0..KEPT {
        kept.push(open_and_send(&gateway, &format!("kept-{number}")).await?);
    }
    let opened = async {
        let mut opened = Vec::new();
        for number in 0..NEW {
            opened.push(open_and_send(&gateway, &format!("new-{number}")).await?);
        }
        Ok::<_, anyhow::Error>(opened)
    };
    let opened = tokio::time::timeout(HANG_LIMIT, opened).await??;
    assert_that!(opened.len(), eq(NEW));
    Ok(())
}

/// Guards against closing idle connections that clients may use again while there is room.
#[tokio::test]
async fn idle_connections_are_kept() -> Result<()> {
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = gateway(&endpoint).await?;
    let mut kept = Vec::new();
    for number in 0..KEPT / 2 {
        kept.push(open_and_send(&gateway, &format!("kept-{number}")).await?);
    }
    // Longer than a crowded instance keeps them.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (number, connection) in kept.iter_mut().enumerate() {
        let got = connection
            .send(&request(&format!("again-{number}")))
            .await?;
        assert_that!(got.status, eq(StatusCode::OK));
    }
    Ok(())
}
