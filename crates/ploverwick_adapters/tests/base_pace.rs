//! In no window more loads of base models begin than the failure domain's part of the bound.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_adapters::{Ceiling, Pace};
use ploverwick_names::Moment;
use proptest::prelude::*;

const QALAM: Ceiling = Ceiling {
    rate: 9.3,
    overshoot: 1.1,
    window: Duration::from_secs(5),
    domains: 3,
};

#[googletest::test]
fn shares_stay_below() {
    expect_that!(QALAM.share(), eq(18));
    let slow = Ceiling {
        rate: 0.1,
        domains: 4,
        ..QALAM
    };
    expect_that!(slow.share(), eq(1));
}

#[googletest::test]
fn waits_for_the_window() {
    let mut pace = Pace::default();
    let ceiling = Ceiling { rate: 0.6, ..QALAM };
    assert_that!(ceiling.share(), eq(2));
    for at in [0, 1_000] {
        assert_that!(pace.next_at(&ceiling, Moment(at)), none());
        pace.begin(Moment(at));
    }
    let next = pace.next_at(&ceiling, Moment(2_000));
    expect_that!(next, some(eq(Moment(5_001))));
    expect_that!(pace.next_at(&ceiling, Moment(5_001)), none());
}

/// Others may have begun their whole share just before this count began.
#[googletest::test]
fn others_count() {
    let mut pace = Pace::after_others(Moment(1_000));
    expect_that!(pace.next_at(&QALAM, Moment(1_000)), some(eq(Moment(6_001))));
    expect_that!(pace.next_at(&QALAM, Moment(6_000)), some(eq(Moment(6_001))));
    expect_that!(pace.next_at(&QALAM, Moment(6_001)), none());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Whatever the rate and whenever loads are asked for.
    #[test]
    fn no_window_exceeds(rate in 0.0..8.0_f64, asked in prop::collection::vec(0_u64..700, 1..120)) {
        let ceiling = Ceiling { rate, ..QALAM };
        let mut pace = Pace::default();
        let mut now = Moment(0);
        let mut begun: Vec<Moment> = Vec::new();
        for pause in asked {
            now = now + Duration::from_millis(pause);
            if pace.next_at(&ceiling, now).is_none() {
                pace.begin(now);
                begun.push(now);
            }
        }
        for first in &begun {
            let inside = begun.iter().filter(|at| **at >= *first && at.since(*first) <= ceiling.window);
            prop_assert!(inside.count() <= ceiling.share());
        }
    }
}
