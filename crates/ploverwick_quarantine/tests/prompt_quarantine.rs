//! Which part of the prompts is blamed when endpoints crash under several requests, and what clears it.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_names::Moment;
use ploverwick_quarantine::prompt::{
    Caller, Entry, Knowledge, Observed, Part, Quarantine, Verdict,
};
use ploverwick_quarantine::{Change, Crash, Evidence, Status};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

const START: Moment = Moment(0);

fn part(id: &str) -> Part {
    Part::of(id)
}

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(|id| part(id)).collect()
}

fn crash(number: usize) -> Crash {
    Crash::of(&format!("i-{number}"))
}

fn caller(name: &str) -> Caller {
    Caller::of([name.as_bytes()])
}

/// One instance.
#[derive(Default)]
struct Instance(Quarantine);

impl Instance {
    /// Crashes an endpoint under a request of a caller that begins now.
    fn crash_as(&mut self, number: usize, ids: &[&str], by: &str) {
        let known = self.0.known(&parts(ids), START);
        self.crash_with(number, ids, by, &known);
    }

    fn crash(&mut self, number: usize, ids: &[&str]) {
        self.crash_as(number, ids, "a");
    }

    fn crash_with(&mut self, number: usize, ids: &[&str], by: &str, known: &Knowledge) {
        for part in parts(ids) {
            self.0
                .record_crash(part, known, crash(number), caller(by), START);
        }
    }

    fn succeed(&mut self, ids: &[&str]) {
        for part in parts(ids) {
            self.0.reset(&part, START);
        }
    }

    fn verdict(&self, ids: &[&str]) -> Verdict {
        self.verdict_for(ids, "a")
    }

    fn verdict_for(&self, ids: &[&str], by: &str) -> Verdict {
        self.0.verdict(&parts(ids), caller(by), START)
    }
}

#[gtest]
fn third_round_refuses() {
    let mut one = Instance::default();
    expect_that!(one.verdict(&["f", "x"]), eq(Verdict::Clear));
    for (number, expected) in [Verdict::Suspected(1), Verdict::Suspected(2)]
        .into_iter()
        .enumerate()
    {
        one.crash(number, &["f", &format!("a{number}")]);
        expect_that!(one.verdict(&["f", "x"]), eq(expected));
    }
    one.crash(2, &["f", "a2"]);
    expect_that!(one.verdict(&["x", "f"]), eq(Verdict::Refused(part("f"))));
    expect_that!(one.verdict(&["x", "a2"]), eq(Verdict::Suspected(1)));
    expect_that!(one.verdict(&["x"]), eq(Verdict::Clear));
}

/// Guards against blaming a common part when many endpoints are lost at once, whoever reports it and in whatever order.
#[gtest]
fn crashes_at_once_are_one_round() {
    let mut one = Instance::default();
    let known = Knowledge::default();
    for number in 0..30 {
        one.crash_with(number, &["f"], "a", &known);
    }
    expect_that!(one.verdict(&["f"]), eq(Verdict::Suspected(1)));
    let mut other = Instance::default();
    for number in 30..60 {
        other.crash_with(number, &["f"], "a", &known);
    }
    let entry = other.0.entry(&part("f"), START);
    expect_that!(one.0.merge(&entry, START), eq(Change::Updated));
    expect_that!(one.verdict(&["f"]), eq(Verdict::Suspected(1)));
}

/// A crash that several instances observed is one of them.
#[gtest]
fn crash_counts_once() {
    let mut one = Instance::default();
    let mut other = Instance::default();
    for instance in [&mut one, &mut other] {
        instance.crash(1, &["f"]);
    }
    let entry = other.0.entry(&part("f"), START);
    one.0.merge(&entry, START);
    expect_that!(one.verdict(&["f"]), eq(Verdict::Suspected(1)));
}

/// A success shows that the part is sound. What began before it does not count, also at instances that learn of it late.
#[gtest]
fn success_clears() {
    let mut one = Instance::default();
    one.crash(0, &["f"]);
    one.crash(1, &["f"]);
    let before = one.0.entry(&part("f"), START);
    let known = one.0.known(&parts(&["f"]), START);
    one.succeed(&["f"]);
    expect_that!(one.verdict(&["f"]), eq(Verdict::Clear));
    one.crash_with(2, &["f"], "a", &known);
    expect_that!(one.verdict(&["f"]), eq(Verdict::Suspected(1)));
    expect_that!(one.0.merge(&before, START), eq(Change::Unchanged));
    expect_that!(one.verdict(&["f"]), eq(Verdict::Suspected(1)));
}

/// Guards against refusing all requests that share a common part with the fatal one, if no sound one was served meanwhile.
#[gtest]
fn common_part_is_explained() {
    let mut one = Instance::default();
    for number in 0..3 {
        one.crash(number, &["first", "fatal"]);
    }
    let refused = one.verdict(&["first", "fatal"]);
    expect_that!(refused.status(), eq(Status::Refused));
    expect_that!(one.verdict(&["first", "x"]), eq(Verdict::Suspected(2)));
    one.succeed(&["first", "x"]);
    expect_that!(one.verdict(&["first", "x"]), eq(Verdict::Clear));
    let refused = one.verdict(&["other", "fatal"]);
    expect_that!(refused, eq(Verdict::Refused(part("fatal"))));
}

/// Of two parts that were always together, the one under which another endpoint crashes is blamed alone.
#[gtest]
fn crash_distinguishes_parts() {
    let mut one = Instance::default();
    for number in 0..3 {
        one.crash(number, &["first", "fatal"]);
    }
    one.crash(3, &["other", "fatal"]);
    let refused = one.verdict(&["third", "fatal"]);
    expect_that!(refused, eq(Verdict::Refused(part("fatal"))));
    expect_that!(one.verdict(&["first", "x"]), eq(Verdict::Suspected(2)));
}

/// The first part may be the fatal one, whatever comes after it.
#[gtest]
fn fatal_first_part() {
    let mut one = Instance::default();
    for (number, second) in ["x", "y", "x"].into_iter().enumerate() {
        one.crash(number, &["fatal", second]);
    }
    let refused = one.verdict(&["fatal", "z"]);
    expect_that!(refused, eq(Verdict::Refused(part("fatal"))));
    expect_that!(one.verdict(&["sound", "x"]), eq(Verdict::Suspected(2)));
}

/// Guards against a caller that has the requests of others refused by crashing endpoints with a part that they use.
#[gtest]
fn one_caller_is_no_evidence_against_others() {
    let mut one = Instance::default();
    for number in 0..3 {
        one.crash_as(number, &["f"], "hostile");
    }
    let refused = Verdict::Refused(part("f"));
    expect_that!(one.verdict_for(&["f"], "hostile"), eq(refused));
    expect_that!(one.verdict_for(&["f"], "b"), eq(Verdict::Suspected(2)));
    one.crash_as(3, &["f"], "b");
    for by in ["hostile", "b", "c"] {
        expect_that!(one.verdict_for(&["f"], by), eq(refused));
    }
}

/// Guards against evidence that no other instance gets because the part is refused already: a second caller, or a crash that
/// another part does not explain.
#[gtest]
fn further_crashes_are_updates() {
    let mut one = Instance::default();
    for number in 0..3 {
        one.crash(number, &["f"]);
    }
    let ids = parts(&["f"]);
    let known = one.0.known(&ids, START);
    let mut record = |number, by: &str| {
        let recorded = one
            .0
            .record_crash(ids[0], &known, crash(number), caller(by), START);
        recorded.0
    };
    expect_that!(record(2, "b"), eq(Change::Updated));
    expect_that!(record(3, "a"), eq(Change::Updated));
    expect_that!(record(3, "a"), eq(Change::Unchanged));
}

/// A part that was refused is let through after an hour, and the next crash refuses it again.
#[gtest]
fn refusal_lapses() {
    let mut one = Instance::default();
    for number in 0..3 {
        one.crash(number, &["f"]);
    }
    let hour = START + Duration::from_hours(1);
    let status = |now| one.0.status(&part("f"), now);
    expect_that!(
        status(START + Duration::from_secs(3_599)),
        eq(Status::Refused)
    );
    expect_that!(status(hour), eq(Status::Suspected(2)));
    expect_that!(status(START + Duration::from_hours(24)), eq(Status::Clear));
    let ids = parts(&["f"]);
    let known = one.0.known(&ids, hour);
    let (change, _) = one
        .0
        .record_crash(ids[0], &known, crash(3), caller("a"), hour);
    expect_that!(change, eq(Change::Refused));
    expect_that!(one.0.status(&ids[0], hour), eq(Status::Refused));
}

fn entries() -> impl Strategy<Value = Entry> {
    let observed = (0..24_usize, 0..3_u64, 1..5_u8).prop_map(|(number, by, round)| Observed {
        crash: crash(number),
        caller: caller(&by.to_string()),
        round,
    });
    let crashes = proptest::collection::vec(observed, 0..24);
    (0..3_u32, crashes).prop_map(|(resets, crashes)| {
        let mut entry = Entry::new(part("f"));
        entry.merge(&Entry {
            resets,
            crashes,
            ..Entry::new(part("f"))
        });
        entry
    })
}

fn merged(entries: &[&Entry]) -> Entry {
    let mut merged = Entry::new(part("f"));
    for entry in entries {
        merged.merge(entry);
    }
    merged
}

/// Instances converge whatever the order, grouping and repetition of updates.
#[gtest]
fn merges_converge() {
    let mut runner = TestRunner::new_with_rng(
        Config::with_cases(2_000),
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let result = runner.run(&(entries(), entries(), entries()), |(a, b, c)| {
        let in_order = merged(&[&a, &b, &c]);
        prop_assert_eq!(&merged(&[&c, &a, &b, &a]), &in_order);
        prop_assert_eq!(&merged(&[&a, &merged(&[&b, &c])]), &in_order);
        prop_assert_eq!(&merged(&[&merged(&[&c, &b]), &in_order]), &in_order);
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
