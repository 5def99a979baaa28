//! No window sees more loads of base models start than the failure domain's share.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{LoadLimit, LoadLimiter};
use ploverwick_names::Moment;
use proptest::prelude::*;

const LIMIT: LoadLimit = LoadLimit {
    rate: 9.3,
    overshoot: 1.1,
    window: Duration::from_secs(5),
    domains: 3,
};

#[googletest::test]
fn share_is_floored_to_at_least_one() {
    expect_that!(LIMIT.share(), eq(18));
    let slow = LoadLimit {
        rate: 0.1,
        domains: 4,
        ..LIMIT
    };
    expect_that!(slow.share(), eq(1));
}

#[googletest::test]
fn waits_until_window_has_room() {
    let mut limiter = LoadLimiter::default();
    let limit = LoadLimit { rate: 0.6, ..LIMIT };
    assert_that!(limit.share(), eq(2));
    for at in [0, 1_000] {
        assert_that!(limiter.next_at(&limit, Moment(at)), none());
        limiter.record_load(Moment(at));
    }
    let next = limiter.next_at(&limit, Moment(2_000));
    expect_that!(next, some(eq(Moment(5_001))));
    expect_that!(limiter.next_at(&limit, Moment(5_001)), none());
}

/// Other instances may have used up the share just before counting started.
#[googletest::test]
fn assumes_window_spent_at_start() {
    let mut limiter = LoadLimiter::after_unknown_loads(Moment(1_000));
    expect_that!(
        limiter.next_at(&LIMIT, Moment(1_000)),
        some(eq(Moment(6_001)))
    );
    expect_that!(
        limiter.next_at(&LIMIT, Moment(6_000)),
        some(eq(Moment(6_001)))
    );
    expect_that!(limiter.next_at(&LIMIT, Moment(6_001)), none());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Checks any rate and any sequence of requested loads.
    #[test]
    fn no_window_exceeds_share(rate in 0.0..8.0_f64, pauses in prop::collection::vec(0_u64..700, 1..120)) {
        let limit = LoadLimit { rate, ..LIMIT };
        let mut limiter = LoadLimiter::default();
        let mut now = Moment(0);
        let mut started: Vec<Moment> = Vec::new();
        for pause in pauses {
            now = now + Duration::from_millis(pause);
            if limiter.next_at(&limit, now).is_none() {
                limiter.record_load(now);
                started.push(now);
            }
        }
        for first in &started {
            let inside = started.iter().filter(|at| **at >= *first && at.since(*first) <= limit.window);
            prop_assert!(inside.count() <= limit.share());
        }
    }
}
