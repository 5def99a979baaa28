//! Endpoints that crash if they have to turn many requests away, and say so.

mod brittle;
mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use anyhow::Result;
use brittle::{FULL, LIGHT, Workload};
use common::{HOST, Instance, free_port};
use googletest::prelude::*;
use http::StatusCode;
use ploverwick_platform_standin::brittle::Behaviour;
use ploverwick_platform_standin::client::{self, ClientRequest};
use ploverwick_platform_standin::endpoint::{Action, DELAY, Endpoint};
use ploverwick_platform_standin::settings;
use ploverwick_platform_standin::store::Store;

/// The refusals in a second that an endpoint bears.
const MAX_REFUSALS: u32 = 3;
/// The slots of an endpoint in its entry in the list; brittle endpoints let no request wait.
const SLOTS: usize = 4;
/// The clients of each instance, together more than there are slots.
const CLIENTS: usize = 16;
/// More than the requests that a test sends.
const RUNS: usize = 1_000;
/// How long clients send; the first second is for the instances to learn that the endpoints are brittle.
const LOAD_TIME: Duration = Duration::from_secs(4);
const LEARNING: Duration = Duration::from_secs(1);

/// The result code of requests that count as the cause of crashes.
const CRASHES_ENDPOINTS: &str = "2014";

/// Starts two instances of a failure domain that know the endpoints.
async fn start(endpoints: &[&Endpoint], warm_up: &ClientRequest) -> Result<Vec<Instance>> {
    let store = Store::start().await?;
    store.configure(&settings::config(1));
    for endpoint in endpoints {
        store.list(endpoint.id(), &endpoint.entry("ready"));
    }
    let port = free_port()?;
    let mut instances = Vec::new();
    for (number, name) in [(1, "a"), (2, "b")] {
        let ip = Ipv4Addr::new(127, 0, 0, number);
        let mut settings = settings::of(name, ip, port, store.address());
        settings.repeat_ratio = 1.0;
        instances.push(Instance::start(settings).await?);
    }
    for instance in &instances {
        for endpoint in endpoints {
            let before = endpoint.requests_received();
            let mut number = 0;
            while endpoint.requests_received() == before {
                number += 1;
                let request = ClientRequest {
                    id: format!("warm-{}-{number}", endpoint.id()),
                    ..warm_up.clone()
                };
                client::send(instance.front, &request).await?;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
    Ok(instances)
}

/// Returns the most events in any second, from `start` on.
fn most_in_a_second(events: &[Instant], start: Instant) -> usize {
    let events: Vec<Instant> = events.iter().copied().filter(|at| *at >= start).collect();
    let windows = events.iter().enumerate().map(|(first, begin)| {
        let within = |at: &&Instant| at.duration_since(*begin) < Duration::from_secs(1);
        events[first..].iter().take_while(within).count()
    });
    windows.max().unwrap_or(0)
}

/// Sends requests like `request` one after the other until `end`; returns how many were served.
async fn send_until(
    front: SocketAddr,
    client: usize,
    request: ClientRequest,
    end: Instant,
) -> Result<usize> {
    let mut served = 0;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let request = ClientRequest {
            id: format!("r{client}-{number}"),
            ..request.clone()
        };
        let got = client::send(front, &request).await?;
        if got.status == StatusCode::OK {
            served += 1;
        } else {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(served)
}

/// Sends more requests than the endpoints have slots, and checks that they refuse rarely and are used.
async fn check_full(
    endpoints: [&Endpoint; 2],
    instances: &[Instance],
    request: &ClientRequest,
) -> Result<()> {
    for endpoint in endpoints {
        endpoint.set_brittle(MAX_REFUSALS);
        endpoint.set_room(SLOTS);
        endpoint.script(&[Action::Delay; RUNS]);
    }
    let start = Instant::now();
    let clients = (0..2 * CLIENTS).map(|client| {
        let front = instances[client % instances.len()].front;
        tokio::spawn(send_until(
            front,
            client,
            request.clone(),
            start + LOAD_TIME,
        ))
    });
    let clients: Vec<_> = clients.collect();
    let mut served = 0;
    for client in clients {
        served += client.await??;
    }
    for endpoint in endpoints {
        let most = most_in_a_second(&endpoint.refusals(), start + LEARNING);
        assert_that!(most, le(MAX_REFUSALS as usize));
    }
    // Half of what the slots could serve.
    let rounds = LOAD_TIME.as_millis() / DELAY.as_millis();
    assert_that!(served, ge(SLOTS * endpoints.len() * rounds as usize / 2));
    Ok(())
}

/// Guards against endpoints that crash because all of them are full and instances keep offering them requests.
#[tokio::test]
async fn full_endpoints_refuse_rarely() -> Result<()> {
    let one = Endpoint::start("i-a", "app", None, "d1").await?;
    let other = Endpoint::start("i-b", "app", None, "d1").await?;
    let endpoints = [&one, &other];
    let instances = start(&endpoints, &ClientRequest::new("", HOST, "/safe/warm")).await?;
    let request = ClientRequest::new("", HOST, "/safe/");
    check_full(endpoints, &instances, &request).await
}

/// Guards against engines that crash because instances keep offering them requests for the adapters that they hold.
#[tokio::test]
async fn full_engines_refuse_rarely() -> Result<()> {
    let one = Endpoint::start("i-a", "lm", Some("base"), "d1").await?;
    let other = Endpoint::start("i-b", "lm", Some("base"), "d1").await?;
    let endpoints = [&one, &other];
    let request = ClientRequest::new("", HOST, "/live/").model("base/a1");
    let instances = start(
        &endpoints,
        &ClientRequest::new("", HOST, "/live/").model("base"),
    )
    .await?;
    check_full(endpoints, &instances, &request).await
}

/// Guards against endpoints that crash, and requests that are refused, although there is room for all.
#[tokio::test(flavor = "multi_thread")]
async fn room_for_all_is_used() -> Result<()> {
    let got = brittle::run(LIGHT).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    assert_that!(got.served as f64, ge(0.98 * got.tries as f64), "{got:?}");
    Ok(())
}

/// Guards against endpoints that bear a single refusal and crash one after the other under more clients than they have slots.
#[tokio::test(flavor = "multi_thread")]
async fn full_endpoints_rarely_crash() -> Result<()> {
    let workload = Workload {
        behaviour: Behaviour {
            max_refusals: 1,
            ..FULL.behaviour
        },
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    assert_that!(got.slot_use, ge(0.9), "{got:?}");
    Ok(())
}

/// Guards against slots that stay free while requests wait, as instances have ejected endpoints whose answers were late under load.
#[tokio::test(flavor = "multi_thread")]
async fn slots_are_used_from_the_start() -> Result<()> {
    // Before the endpoints become brittle, so many requests queue there that answers are late.
    let workload = Workload {
        clients: 144,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    assert_that!(got.early_slot_use, ge(0.9), "{got:?}");
    Ok(())
}

/// Guards against free slots that an instance keeps although it has ejected their endpoint, while others need them.
#[tokio::test(flavor = "multi_thread")]
async fn ejected_endpoint_serves_other_instances() -> Result<()> {
    let workload = Workload {
        instances: 2,
        endpoints: 2,
        clients: 32,
        failing: 1,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    assert_that!(got.slot_use, ge(0.9), "{got:?}");
    Ok(())
}

/// Guards against instances that reach few others and fill endpoints together with those that have taken over their slots.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_instances_crash_no_endpoints() -> Result<()> {
    let workload = Workload {
        partitioned: 2,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    Ok(())
}

/// Guards against halves of the instances that do not reach each other and take over each other's slots.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_halves_crash_no_endpoints() -> Result<()> {
    let workload = Workload {
        partitioned: 3,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    Ok(())
}

/// Guards against answers that take longer than the route's objective, are given up, and leave their slots unused.
#[tokio::test(flavor = "multi_thread")]
async fn slow_answers_waste_no_slots() -> Result<()> {
    let workload = Workload {
        behaviour: Behaviour {
            run_time: Duration::from_millis(300),
            ..FULL.behaviour
        },
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    assert_that!(got.slot_use, ge(0.9), "{got:?}");
    Ok(())
}

/// Guards against instances that start, know nothing of the requests in progress, and fill endpoints that are in use.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_instances_crash_no_endpoints() -> Result<()> {
    let workload = Workload {
        behaviour: Behaviour {
            max_refusals: 3,
            ..FULL.behaviour
        },
        clients: 72,
        restarts: 4,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, le(got.max_crashes), "{got:?}");
    Ok(())
}

/// Guards against sound requests that are refused because they ran at endpoints that crashed under refusals.
#[tokio::test(flavor = "multi_thread")]
async fn crash_under_refusals_blames_no_request() -> Result<()> {
    let workload = Workload {
        instances: 2,
        endpoints: 8,
        behaviour: Behaviour {
            slots: 1,
            listed_slots: 8,
            max_refusals: 1,
            ..FULL.behaviour
        },
        clients: 64,
        are_alike: true,
        ..FULL
    };
    let got = brittle::run(workload).await?;
    assert_that!(got.crashes, ge(3), "{got:?}");
    assert_that!(got.failures.get(CRASHES_ENDPOINTS), none(), "{got:?}");
    Ok(())
}
