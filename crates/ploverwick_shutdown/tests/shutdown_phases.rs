//! The phases of a shutdown.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_shutdown::{Policy, Shutdown};

const SIGNAL: Moment = Moment(10_000);
const LEASE: Duration = Duration::from_secs(3);

fn shutdown(grace_ms: u64) -> Shutdown {
    let policy = Policy {
        grace: Duration::from_millis(grace_ms),
        lease: LEASE,
    };
    Shutdown::new(policy, SIGNAL)
}

fn after(ms: u64) -> Moment {
    SIGNAL + Duration::from_millis(ms)
}

#[gtest]
fn long_grace() {
    let shutdown = shutdown(8_000);
    expect_that!(shutdown.intake_end(), eq(after(2_600)));
    expect_that!(shutdown.departure(), eq(after(3_000)));
    expect_that!(shutdown.deadline(), eq(after(7_600)));
}

/// Guards against constants that add up to more than the grace period.
#[gtest]
fn any_grace() {
    for grace_ms in [0, 1, 2, 5, 100, 600, 1_000, 2_000, 3_000, 4_000, 30_000] {
        let shutdown = shutdown(grace_ms);
        let (intake_end, deadline) = (shutdown.intake_end(), shutdown.deadline());
        expect_that!(shutdown.departure(), ge(intake_end), "{grace_ms}");
        expect_that!(deadline, ge(intake_end), "{grace_ms}");
        expect_that!(deadline, le(after(grace_ms)), "{grace_ms}");
        // Twice as much time is left for the answers as was given to requests.
        let intake = intake_end.since(SIGNAL);
        expect_that!(
            intake * 3,
            le(Duration::from_millis(grace_ms)),
            "{grace_ms}"
        );
    }
}

/// Guards against leaving the list before a lease has passed: the next process takes that for proof that it may send orders.
#[gtest]
fn departure_waits_for_the_lease() {
    for grace_ms in [100, 2_000, 3_000, 3_500, 8_000] {
        let departure = shutdown(grace_ms).departure();
        expect_that!(departure, ge(SIGNAL + LEASE), "{grace_ms}");
    }
}
