//! Tests of the messages with the load of all instances at a domain's endpoints.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::{Load, Numbering, totals};
use ploverwick_names::Moment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The control traffic that an instance may cause, in bytes per second; totals may take half of it.
const CONTROL_BUDGET: usize = 6_000;
/// The size of the fleet for which the budget holds.
const ENDPOINTS: usize = 870;
const DOMAINS: usize = 4;
const REQUESTS_PER_S: f64 = 2_900.0;
/// The time for which an endpoint processes a request, in seconds.
const REQUEST_S: f64 = 1.5;
const LOCAL_INTERVAL: Duration = Duration::from_millis(300);
const REMOTE_INTERVAL: Duration = Duration::from_millis(600);
/// The age after which receivers drop a load.
const MAX_AGE: Duration = Duration::from_secs(4);

fn id(number: usize) -> Arc<str> {
    Arc::from(format!("i-{number:010x}"))
}

fn numbering(count: usize) -> Numbering {
    Numbering::of((0..count).map(id))
}

/// Loads that change as requests begin and end.
struct Loads {
    random: StdRng,
    by_endpoint: HashMap<Arc<str>, Load>,
}

impl Loads {
    fn new(count: usize, rate: f64) -> Self {
        let load = Load {
            requests: (rate * REQUEST_S) as u32,
            ..Load::default()
        };
        Self {
            random: StdRng::seed_from_u64(7),
            by_endpoint: (0..count).map(|number| (id(number), load)).collect(),
        }
    }

    /// Lets `rate` requests a second begin and end at each endpoint for a while.
    fn advance(&mut self, rate: f64, elapsed: Duration) {
        let probability = rate * elapsed.as_secs_f64() / 4.0;
        let mut ids: Vec<Arc<str>> = self.by_endpoint.keys().cloned().collect();
        ids.sort_unstable();
        for id in ids {
            let load = self.by_endpoint.get_mut(&id).expect("the endpoint exists");
            for _ in 0..4 {
                load.requests += u32::from(self.random.random_bool(probability.min(1.0)));
                let ends = self.random.random_bool(probability.min(1.0));
                load.requests = load.requests.saturating_sub(u32::from(ends));
            }
            let is_reading = self.random.random_bool(0.15);
            load.unread_tokens = if is_reading { 900 } else { 0 };
        }
    }

    fn of(&self, endpoint: &str) -> Load {
        self.by_endpoint[endpoint]
    }
}

fn bytes(messages: &[totals::Message]) -> usize {
    let sizes = messages.iter().map(|message| {
        let encoded = postcard::to_stdvec(message).expect("a message is encodable");
        assert!(encoded.len() < 1_300, "a message exceeds a datagram");
        encoded.len()
    });
    sizes.sum()
}

/// Returns the bytes that one sender sends to one receiver in a second.
fn bytes_per_second(interval: Duration) -> usize {
    let count = ENDPOINTS / DOMAINS;
    let rate = REQUESTS_PER_S / ENDPOINTS as f64;
    let numbering = numbering(count);
    let mut loads = Loads::new(count, rate);
    let mut sender = totals::Sender::default();
    let domain = Arc::from("domain-a");
    let mut now = Moment(0);
    let mut sum = 0;
    let seconds = 12;
    while now < Moment(seconds * 1_000) {
        loads.advance(rate, interval);
        let messages = sender.next_messages(&domain, &numbering, |id| loads.of(id), now);
        sum += bytes(&messages);
        now = now + interval;
    }
    sum / seconds as usize
}

/// Guards against totals that take up the control budget of an instance in a fleet of the design size.
#[googletest::test]
fn totals_fit_budget() {
    let local = bytes_per_second(LOCAL_INTERVAL);
    let remote = bytes_per_second(REMOTE_INTERVAL) * (DOMAINS - 1);
    expect_that!(local + remote, le(CONTROL_BUDGET / 2));
}

/// Guards against receivers that lose a load because it did not change, or because one message was lost.
#[googletest::test]
fn constant_load_is_refreshed() {
    let numbering = numbering(5);
    let mut sender = totals::Sender::default();
    let load = Load {
        requests: 3,
        unread_tokens: 256,
        held_tokens: 0,
    };
    let domain = Arc::from("domain-a");
    let mut last_received = Moment(0);
    for round in 0..40_u64 {
        let now = Moment(round * 600);
        let messages = sender.next_messages(&domain, &numbering, |_| load, now);
        let is_lost = round % 3 == 1;
        if !messages.is_empty() && !is_lost {
            expect_that!(messages[0].loads(&numbering).len(), eq(5));
            expect_that!(now.since(last_received), le(MAX_AGE));
            last_received = now;
        }
    }
    expect_that!(Moment(40 * 600).since(last_received), le(MAX_AGE));
}

/// Guards against loads that are attributed to other endpoints while two instances know different lists.
#[googletest::test]
fn other_list_is_ignored() {
    let sent_by = numbering(5);
    let mut sender = totals::Sender::default();
    let load = Load {
        requests: 3,
        unread_tokens: 0,
        held_tokens: 0,
    };
    let messages = sender.next_messages(&Arc::from("domain-a"), &sent_by, |_| load, Moment(0));
    expect_that!(messages[0].loads(&numbering(4)), is_empty());
    expect_that!(messages[0].loads(&sent_by).len(), eq(5));
}

/// Guards against an endpoint that keeps its last load at receivers after it has become idle.
#[googletest::test]
fn end_of_load_is_sent() {
    let numbering = numbering(3);
    let mut sender = totals::Sender::default();
    let domain = Arc::from("domain-a");
    let busy = Load {
        requests: 1,
        unread_tokens: 0,
        held_tokens: 0,
    };
    sender.next_messages(&domain, &numbering, |_| busy, Moment(0));
    let idle = sender.next_messages(&domain, &numbering, |_| Load::default(), Moment(300));
    let loads = idle[0].loads(&numbering);
    let loads: Vec<Load> = loads.into_iter().map(|(_, load)| load).collect();
    expect_that!(loads, eq(&vec![Load::default(); 3]));
    let later = sender.next_messages(&domain, &numbering, |_| Load::default(), Moment(9_000));
    expect_that!(later, is_empty());
}
