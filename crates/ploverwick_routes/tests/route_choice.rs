//! Selects a route by host and path prefix, and a service by weight.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_routes::{Config, Kind, Limits, Route, Share};

fn route(host: &str, prefix: &str, shares: &[(&str, f64)]) -> Route {
    Route {
        name: Arc::from(prefix),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        event_timeout: None,
        max_pause: None,
        max_attempts: 1,
        priority: 0,
        needs_key: true,
        shares: shares
            .iter()
            .map(|(service, weight)| Share {
                service: Arc::from(*service),
                weight: *weight,
            })
            .collect(),
    }
}

fn config() -> Config {
    let routes = vec![
        route("a.example", "/x/", &[("one", 1.0)]),
        route("a.example", "/x/y/", &[("two", 1.0)]),
        route("b.example", "/x/", &[("three", 3.0), ("four", 1.0)]),
    ];
    Config::new(1, Limits::default(), routes, Vec::new())
}

#[googletest::test]
fn longest_prefix_wins() {
    let config = config();
    let name = |path| {
        config
            .route("a.example", path)
            .map(|r| r.prefix.to_string())
    };
    expect_that!(name("/x/1"), some(eq("/x/")));
    expect_that!(name("/x/y/1"), some(eq("/x/y/")));
    expect_that!(name("/x"), none());
    expect_that!(name("/z/1"), none());
}

#[googletest::test]
fn host_matches_without_case_or_port() {
    let config = config();
    expect_that!(config.route("c.example", "/x/1"), none());
    expect_that!(config.route("B.Example:8080", "/x/1"), some(anything()));
}

#[googletest::test]
fn shares_split_by_weight() {
    let config = config();
    let route = config
        .route("b.example", "/x/")
        .expect("the route is there");
    expect_that!(route.service(0.0).map(|s| &**s), some(eq("three")));
    expect_that!(route.service(0.74).map(|s| &**s), some(eq("three")));
    expect_that!(route.service(0.76).map(|s| &**s), some(eq("four")));
}
