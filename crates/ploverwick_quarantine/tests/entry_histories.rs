//! The crashes that instances count against requests: in whatever order, however often and late news comes,
//! all come to the same, and few requests are refused that only ran where an endpoint crashed.

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

/// An instance that saw endpoints crash under the first request.
fn seen(crashes: &[usize]) -> Quarantine {
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
    expect_that!(quarantine.refused(), eq(1));
    let other = quarantine.status(&request(1), START);
    expect_that!(other, eq(Status::Clear));
}

/// Several instances have the request under way at the endpoint that ends, or hear of it twice.
#[gtest]
fn crash_counts_once() {
    let mut one = seen(&[0, 0, 1]);
    for entry in all(&seen(&[1, 0]), START) {
        one.merge(&entry, START);
        one.merge(&entry, START);
    }
    let status = one.status(&request(0), START);
    expect_that!(status, eq(Status::Suspected(2)));
    expect_that!(status.may_repeat(), eq(false));
}

/// Each of three instances saw one of the crashes.
#[gtest]
fn crashes_add_up() {
    let mut one = seen(&[0]);
    for other in [seen(&[1]), seen(&[2])] {
        for entry in all(&other, START) {
            one.merge(&entry, START);
        }
    }
    expect_that!(one.status(&request(0), START), eq(Status::Refused));
}

/// A success proves that the request need not crash what runs it; what was seen before says nothing then.
#[gtest]
fn success_resets() {
    let mut one = seen(&[0, 1, 2]);
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
fn entries_lapse() {
    let mut one = seen(&[0, 1]);
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

/// An instance that has just started hears of what happened long before it did.
#[gtest]
fn age_is_told() {
    let one = seen(&[0, 1, 2]);
    let mut young = Quarantine::default();
    for entry in all(&one, after(80_000)) {
        young.merge(&entry, after(1));
    }
    expect_that!(young.status(&request(0), after(6_000)), eq(Status::Refused));
    expect_that!(young.status(&request(0), after(6_401)), eq(Status::Clear));
    let mut old = Quarantine::default();
    for entry in all(&one, after(90_000)) {
        expect_that!(old.merge(&entry, after(1)), eq(Change::Unchanged));
    }
}

/// Two instances compare what they hold and tell each other what differs.
#[gtest]
fn differences_are_told() {
    let mut one = Quarantine::default();
    let mut other = Quarantine::default();
    for number in 0..200 {
        let keeper = if number % 3 == 0 {
            &mut other
        } else {
            &mut one
        };
        keeper.record_crash(request(number), crash(number), START);
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

/// A caller who has thousands of requests under way where endpoints end pushes out no diagnosis.
#[gtest]
fn room_is_bounded() {
    let mut one = seen(&[0, 1, 2]);
    for number in 1..6_000 {
        one.record_crash(request(number), crash(number), START);
    }
    expect_that!(all(&one, START).len(), eq(4_096));
    expect_that!(one.status(&request(0), START), eq(Status::Refused));
}

/// What a message of another build may hold.
#[gtest]
fn odd_entries_are_put_right() {
    let mut crashes: Vec<Crash> = (0..9).map(crash).collect();
    crashes.push(crash(0));
    let odd = Entry {
        fingerprint: request(0),
        resets: 2,
        crashes,
        age_s: 0,
    };
    let mut one = Quarantine::default();
    one.merge(&odd, START);
    let kept = all(&one, START);
    expect_that!(kept[0].crashes.len(), eq(3));
    expect_that!(kept[0].crashes.is_sorted(), eq(true));
}

#[derive(Debug, Clone, Copy)]
enum Seen {
    Crash { request: usize, crash: usize },
    Success { request: usize },
}

fn history() -> impl Strategy<Value = Vec<(usize, Seen)>> {
    let seen = prop_oneof![
        4 => (0..3_usize, 0..6_usize).prop_map(|(request, crash)| Seen::Crash { request, crash }),
        1 => (0..3_usize).prop_map(|request| Seen::Success { request }),
    ];
    prop::collection::vec((0..4_usize, seen), 0..40)
}

/// Each piece of news reaches the others in an order of its own, some of it twice, some much later.
#[gtest]
fn all_agree() {
    let mut runner = TestRunner::new(Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&(history(), any::<u64>()), |(history, seed)| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut instances: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        let mut news = Vec::new();
        for (at, seen) in history {
            let instance = &mut instances[at];
            match seen {
                Seen::Crash {
                    request: number,
                    crash: end,
                } => {
                    news.push(instance.record_crash(request(number), crash(end), START).1);
                }
                Seen::Success { request: number } => {
                    news.extend(
                        instance
                            .reset(&request(number), START)
                            .map(|(_, entry)| entry),
                    );
                }
            }
            if let Some(entry) = news.get(random.random_range(0..news.len().max(1))).cloned() {
                instances[random.random_range(0..4)].merge(&entry, START);
            }
        }
        for instance in &mut instances {
            let mut late = news.clone();
            late.extend(news.iter().take(5).cloned());
            late.shuffle(&mut random);
            for entry in &late {
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

/// The share of requests that are refused though they end nothing, where their endpoint ends for another
/// cause in one of `odds` runs and callers try three times: computed, one in the third power of it.
#[gtest]
fn few_bystanders_are_refused() {
    for (odds, most) in [(10, 1.4e-3), (40, 4.0e-5)] {
        let mut random = SmallRng::seed_from_u64(odds);
        let (requests, mut refused) = (200_000, 0);
        for number in 0..requests {
            let mut quarantine = Quarantine::default();
            for run in 0..3 {
                if random.random_range(0..odds) == 0 {
                    quarantine.record_crash(request(number), crash(run), START);
                } else {
                    // A success, after which the caller does not ask again.
                    quarantine.reset(&request(number), START);
                    break;
                }
            }
            refused += quarantine.refused();
        }
        expect_that!(refused as f64 / requests as f64, le(most), "one in {odds}");
    }
}
