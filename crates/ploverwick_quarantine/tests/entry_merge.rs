//! The crashes that instances count against requests. Instances converge whatever the order, repetition and delay of
//! updates, and requests that merely ran while an endpoint crashed are rarely refused.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_quarantine::{Change, Crash, Entry, Fingerprint, Quarantine, Status};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};

const START: Moment = Moment(0);

fn request(number: usize) -> Fingerprint {
    Fingerprint::of([&number.to_le_bytes()[..]])
}

fn crash(number: usize) -> Crash {
    Crash::of(&format!("i-{number}"))
}

fn after(seconds: u64) -> Moment {
    START + Duration::from_secs(seconds)
}

/// Returns the quarantine of an instance that observed these crashes under the first request.
fn observed(crashes: &[usize]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for number in crashes {
        quarantine.record_crash(request(0), crash(*number), START);
    }
    quarantine
}

fn all(quarantine: &Quarantine, now: Moment) -> Vec<Entry> {
    let other = quarantine.digests().map(|digest| !digest);
    quarantine.differing(&other, now)
}

#[gtest]
fn third_crash_refuses() {
    let mut quarantine = Quarantine::default();
    let status = |quarantine: &Quarantine| quarantine.status(&request(0), START);
    expect_that!(status(&quarantine), eq(Status::Clear));
    for (number, change) in [Change::Updated, Change::Updated, Change::Refused]
        .into_iter()
        .enumerate()
    {
        let (changed, _) = quarantine.record_crash(request(0), crash(number), START);
        expect_that!(changed, eq(change));
    }
    expect_that!(status(&quarantine), eq(Status::Refused));
    expect_that!(quarantine.refused(START), eq(1));
    let other = quarantine.status(&request(1), START);
    expect_that!(other, eq(Status::Clear));
}

/// Several instances may observe the same crash, or receive it twice.
#[gtest]
fn crash_counts_once() {
    let mut one = observed(&[0, 0, 1]);
    for entry in all(&observed(&[1, 0]), START) {
        one.merge(&entry, START);
        one.merge(&entry, START);
    }
    let status = one.status(&request(0), START);
    expect_that!(status, eq(Status::Suspected(2)));
    expect_that!(status.may_retry(), eq(false));
}

/// Each of three instances observed one of the crashes.
#[gtest]
fn crashes_add_up() {
    let mut one = observed(&[0]);
    for other in [observed(&[1]), observed(&[2])] {
        for entry in all(&other, START) {
            one.merge(&entry, START);
        }
    }
    expect_that!(one.status(&request(0), START), eq(Status::Refused));
}

/// A success shows that the request does not necessarily crash the endpoint, so earlier crashes no longer count.
#[gtest]
fn success_resets() {
    let mut one = observed(&[0, 1, 2]);
    let before = all(&one, START);
    let (change, _) = one
        .reset(&request(0), START)
        .expect("something was counted against it");
    expect_that!(change, eq(Change::Released));
    for entry in before {
        expect_that!(one.merge(&entry, START), eq(Change::Unchanged));
    }
    expect_that!(one.status(&request(0), START), eq(Status::Clear));
    expect_that!(one.reset(&request(0), START), none());
}

#[gtest]
fn entries_expire() {
    let mut one = observed(&[0, 1]);
    one.record_crash(request(1), crash(7), START);
    one.record_crash(request(0), crash(2), after(10));
    let day = 24 * 60 * 60;
    expect_that!(
        one.status(&request(1), after(3_599)),
        eq(Status::Suspected(1))
    );
    expect_that!(one.status(&request(1), after(3_600)), eq(Status::Clear));
    expect_that!(one.status(&request(0), after(day + 9)), eq(Status::Refused));
    expect_that!(
        one.remove_expired(after(day + 10)),
        elements_are![eq(&request(0))]
    );
    expect_that!(one.is_empty(), eq(true));
}

/// An instance that has just started receives entries of crashes that happened long before, with their age.
#[gtest]
fn age_is_preserved() {
    let one = observed(&[0, 1, 2]);
    let mut recent = Quarantine::default();
    for entry in all(&one, after(80_000)) {
        recent.merge(&entry, after(1));
    }
    expect_that!(
        recent.status(&request(0), after(6_000)),
        eq(Status::Refused)
    );
    expect_that!(recent.status(&request(0), after(6_401)), eq(Status::Clear));
    let mut old = Quarantine::default();
    for entry in all(&one, after(90_000)) {
        expect_that!(old.merge(&entry, after(1)), eq(Change::Unchanged));
    }
}

/// Two instances that compare their digests and exchange the differing entries end up with the same entries.
#[gtest]
fn differing_entries_are_exchanged() {
    let mut one = Quarantine::default();
    let mut other = Quarantine::default();
    for number in 0..200 {
        let observer = if number % 3 == 0 {
            &mut other
        } else {
            &mut one
        };
        observer.record_crash(request(number), crash(number), START);
    }
    let (of_one, of_other) = (one.digests(), other.digests());
    let to_other = one.differing(&of_other, START);
    for entry in other.differing(&of_one, START) {
        one.merge(&entry, START);
    }
    for entry in to_other {
        other.merge(&entry, START);
    }
    expect_that!(one.digests(), eq(other.digests()));
    expect_that!(one.differing(&other.digests(), START), is_empty());
}

/// A caller with thousands of requests in flight at crashing endpoints does not evict refused requests.
#[gtest]
fn entry_count_is_bounded() {
    let mut one = observed(&[0, 1, 2]);
    for number in 1..6_000 {
        one.record_crash(request(number), crash(number), START);
    }
    expect_that!(all(&one, START).len(), eq(4_096));
    expect_that!(one.status(&request(0), START), eq(Status::Refused));
}

/// Another build may send an entry with too many, unsorted or duplicate crashes.
#[gtest]
fn malformed_entries_are_normalised() {
    let mut crashes: Vec<Crash> = (0..9).map(crash).collect();
    crashes.push(crash(0));
    let malformed = Entry {
        fingerprint: request(0),
        resets: 2,
        crashes,
        age_s: 0,
    };
    let mut one = Quarantine::default();
    one.merge(&malformed, START);
    let entries = all(&one, START);
    expect_that!(entries[0].crashes.len(), eq(3));
    expect_that!(entries[0].crashes.is_sorted(), eq(true));
}

#[derive(Debug, Clone, Copy)]
enum Observation {
    Crash { request: usize, crash: usize },
    Success { request: usize },
}

fn history() -> impl Strategy<Value = Vec<(usize, Observation)>> {
    let observed = prop_oneof![
        4 => (0..3_usize, 0..6_usize).prop_map(|(request, crash)| Observation::Crash { request, crash }),
        1 => (0..3_usize).prop_map(|request| Observation::Success { request }),
    ];
    prop::collection::vec((0..4_usize, observed), 0..40)
}

/// Updates reach each instance in a different order, some twice and some much later.
#[gtest]
fn instances_converge() {
    let mut runner = TestRunner::new(Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&(history(), any::<u64>()), |(history, seed)| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut instances: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        let mut updates = Vec::new();
        for (at, observed) in history {
            let instance = &mut instances[at];
            match observed {
                Observation::Crash {
                    request: number,
                    crash: crash_number,
                } => {
                    updates.push(
                        instance
                            .record_crash(request(number), crash(crash_number), START)
                            .1,
                    );
                }
                Observation::Success { request: number } => {
                    updates.extend(
                        instance
                            .reset(&request(number), START)
                            .map(|(_, entry)| entry),
                    );
                }
            }
            if let Some(entry) = updates
                .get(random.random_range(0..updates.len().max(1)))
                .cloned()
            {
                instances[random.random_range(0..4)].merge(&entry, START);
            }
        }
        for instance in &mut instances {
            let mut shuffled = updates.clone();
            shuffled.extend(updates.iter().take(5).cloned());
            shuffled.shuffle(&mut random);
            for entry in &shuffled {
                instance.merge(entry, START);
            }
        }
        for instance in &instances {
            prop_assert_eq!(instance.digests(), instances[0].digests());
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

/// The fraction of requests that are refused although they crash nothing, when endpoints crash for another reason in
/// one of `crash_odds` runs and callers try three times. The expected value is one in the third power of `crash_odds`.
#[gtest]
fn innocent_requests_are_rarely_refused() {
    for (crash_odds, max_ratio) in [(10, 1.4e-3), (40, 4.0e-5)] {
        let mut random = SmallRng::seed_from_u64(crash_odds);
        let (requests, mut refused) = (200_000, 0);
        for number in 0..requests {
            let mut quarantine = Quarantine::default();
            for run in 0..3 {
                if random.random_range(0..crash_odds) == 0 {
                    quarantine.record_crash(request(number), crash(run), START);
                } else {
                    // The request succeeded, so the caller does not retry.
                    quarantine.reset(&request(number), START);
                    break;
                }
            }
            refused += quarantine.refused(START);
        }
        expect_that!(
            refused as f64 / requests as f64,
            le(max_ratio),
            "one in {crash_odds}"
        );
    }
}
