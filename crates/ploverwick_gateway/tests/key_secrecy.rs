//! Keys must not appear in log lines, responses or debug output, regardless of the field in which an operator or client
//! puts them.

mod common;

use std::sync::Arc;

use anyhow::Result;
use common::{Gateway, HOST};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform::config;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::Endpoint;
use ploverwick_platform_standin::settings;
use serde_json::{Value, json};
use spdlog::sink::FileSink;
use spdlog::{LevelFilter, Logger};

/// The prefix of all keys in this test.
const SECRET: &str = "very-secret-key";

/// Returns declarations of organisations with keys in every field.
fn organisations() -> Value {
    let key = |number: u32| format!("{SECRET}-{number}");
    json!([
        {"name": "one", "api_keys": [key(1), key(2), 7, ""], "priority": key(3)},
        {"name": "two", "api_keys": [key(1)], "rate_per_s": key(4)},
        {"name": "three", "api_keys": key(5), "unit": key(6), "rate_per_s": 1},
        {"name": {"of": key(7)}, "api_keys": [key(8)]},
        {"name": format!("{}\n", key(9)), "api_keys": [key(10)]},
        key(11),
    ])
}

/// Writes all log lines to a file.
fn log_to(path: &std::path::Path) -> Result<()> {
    let sink = FileSink::builder().path(path).truncate(true).build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::All)
        .flush_level_filter(LevelFilter::All)
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

#[gtest]
#[tokio::test]
async fn keys_stay_secret() -> Result<()> {
    let log = std::env::temp_dir().join(format!("ploverwick-keys-{}.log", std::process::id()));
    log_to(&log)?;
    let endpoint = Endpoint::start("i-a", "app", None, "d1").await?;
    let gateway = Gateway::with_endpoints(&[&endpoint]).await?;
    let mut config = settings::config(2);
    config["tenants"] = organisations();
    gateway.store.configure(&config);
    while gateway.request("before", "/safe/").await?.status != StatusCode::UNAUTHORIZED {}
    for number in 0..12 {
        for path in ["/safe/", "/once/", "/nowhere/"] {
            let request = ClientRequest::new(&format!("r{number}"), HOST, path);
            let got =
                client::send(gateway.front, &request.key(&format!("{SECRET}-{number}"))).await?;
            expect_that!(got.body, not(contains_substring(SECRET)));
        }
    }
    let lines = std::fs::read_to_string(&log)?;
    std::fs::remove_file(&log)?;
    expect_that!(lines, contains_substring("organisation_malformed"));
    expect_that!(
        lines,
        contains_substring("code=PW2015").or(contains_substring("config_in_force"))
    );
    // The log identifies the refused request by its identifier, not by its key.
    expect_that!(lines, contains_substring("key_refused id=r0 "));
    expect_that!(lines, not(contains_substring(SECRET)));
    let text = serde_json::to_vec(&config)?;
    let read = config::decode(&text)?;
    expect_that!(format!("{read:?}"), not(contains_substring(SECRET)));
    Ok(())
}
