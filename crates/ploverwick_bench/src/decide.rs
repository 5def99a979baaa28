//! The cost of the gateway's decisions for one request, without I/O.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use ploverwick_endpoints::{Entry, Fleet, Load, Query, State};
use ploverwick_names::Moment;
use ploverwick_quota::{Allocation, GrantRequest, Lease, Pool};
use ploverwick_routes::{Declaration, KeyDigest, Organisation, Organisations, Quota, Unit};

/// The numbers of endpoints and of reporting peers in a current fleet and in the largest one.
const FLEET_SIZES: [(usize, usize); 2] = [(90, 26), (3_000, 100)];
/// The numbers of organisations in a current configuration and in the largest one.
const ORGANISATION_COUNTS: [usize; 2] = [16, 10_000];
/// The number of endpoints that hold the adapter.
const HOLDERS: usize = 3;
const NOW: Moment = Moment(10_000);

/// Measures each decision and prints its mean time in nanoseconds.
pub(crate) fn run(iterations: u32) {
    for count in ORGANISATION_COUNTS {
        let organisations = organisations(count);
        measure(
            &format!("key of {count} organisations found"),
            iterations,
            || {
                let key = KeyDigest::of(black_box(b"asnmgkcuyj8pjbvk9m68"));
                black_box(organisations.find_by_key(&key));
            },
        );
    }
    let name: Arc<str> = Arc::from("o0");
    let mut allocation = allocation(&name);
    measure("quota, granted ahead", iterations, || {
        black_box(allocation.acquire(&name, &quota(), 1, NOW));
        allocation.refund(&name, 1, NOW);
    });
    let mut pool = pool();
    let grant_request = grant_request(&name, 1);
    measure("quota, asked of a pool of 74 parts", iterations, || {
        black_box(pool.grant(&grant_request, &quota(), NOW));
    });
    for (endpoints, peers) in FLEET_SIZES {
        let fleet = fleet(endpoints, peers);
        let holders: Vec<Arc<str>> = (0..HOLDERS).map(|n| id(n * endpoints / HOLDERS)).collect();
        let label = format!("endpoint of {HOLDERS} holders chosen, {endpoints} endpoints");
        measure(&label, iterations, || {
            black_box(fleet.best(&QUERY, holders.iter(), NOW));
        });
        measure(
            &format!("{endpoints} endpoints ranked"),
            iterations / 100,
            || {
                black_box(fleet.rank(&QUERY, NOW));
            },
        );
    }
}

fn measure(label: &str, iterations: u32, mut step: impl FnMut()) {
    let started = Instant::now();
    for _ in 0..iterations {
        step();
    }
    let nanos = started.elapsed().as_nanos() / u128::from(iterations.max(1));
    println!("{label:48} {nanos:>10} ns");
}

fn organisations(count: usize) -> Organisations {
    let declarations = (0..count).map(|number| Declaration {
        organisation: Organisation {
            name: Arc::from(format!("o{number}")),
            priority: None,
            quota: Some(quota()),
        },
        keys: vec![KeyDigest::of(format!("key-{number}").as_bytes())],
    });
    Organisations::new(declarations.collect(), Vec::new())
}

fn quota() -> Quota {
    Quota {
        rate: 1e9,
        burst: 1e9,
        unit: Unit::Tokens { plain: 200 },
    }
}

fn grant_request(name: &Arc<str>, cost: u32) -> GrantRequest {
    GrantRequest {
        organisation: Arc::clone(name),
        costs: vec![cost],
        prefetch: 0,
    }
}

fn ip(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0001 + number))
}

/// Returns a pool to which 74 instances have leased their quota shares for longer than one window.
fn pool() -> Pool {
    let mut pool = Pool::new(Duration::from_secs(8));
    let lease = Lease {
        instance_count: 74,
        lease_ms: 60_000,
        grant_requests: Vec::new(),
    };
    for number in 0..74 {
        pool.apply_lease(ip(number), &lease, Moment(0));
    }
    pool
}

/// Returns an allocation with enough quota for the measured request.
fn allocation(name: &Arc<str>) -> Allocation {
    let mut allocation = Allocation::new(ip(0), Moment(0));
    allocation.acquire(name, &quota(), 1_000, NOW);
    allocation.refund(name, 1_000, NOW);
    allocation
}

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number}"))
}

const QUERY: Query<'static> = Query {
    service: "lm",
    domain: "d1",
    key: "a1",
    id: "r1",
    peers: 26,
    bytes: 900,
    prompt: 700,
    pacing: None,
    build: None,
    avoided_builds: &[],
    max_fill: 2.5,
    except: &[],
};

fn fleet(endpoints: usize, peers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..endpoints {
        fleet.put(Entry {
            id: id(number),
            service: Arc::from("lm"),
            address: "127.0.0.1:80".parse().expect("invalid address"),
            domain: Arc::from(format!("d{}", number % 3)),
            software: Arc::from("v1"),
            slots: 12,
            state: State::Ready,
            held: Vec::new(),
            born: 0,
            beat: 0,
        });
    }
    for peer in 0..peers {
        let loads = (0..10).map(|n| {
            let load = Load {
                requests: 1,
                unread_tokens: 700,
                held_tokens: 0,
            };
            (id((peer * 10 + n) % endpoints), load)
        });
        let loads: HashMap<_, _> = loads.collect();
        fleet.record_peer_loads(Arc::from(format!("p{peer}")), loads, NOW);
    }
    fleet
}
