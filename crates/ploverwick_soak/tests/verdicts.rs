//! Which broken promises a verdict finds.

use std::collections::HashMap;

use googletest::prelude::*;
use ploverwick_soak::verdict::{Attempt, Ending, Verdict, Violation};

fn judge(runs_once: bool, ending: Ending, runs: usize) -> Vec<Violation> {
    let attempt = Attempt {
        id: "a".to_owned(),
        runs_once,
        ending,
    };
    let runs = HashMap::from([("a".to_owned(), runs)]);
    let violations = Verdict::of(&[attempt], &runs).violations;
    violations.into_iter().map(|(_, _, kind)| kind).collect()
}

#[googletest::test]
fn broken_promises_are_found() {
    for status in [408, 421, 429, 503] {
        let found = judge(true, Ending::Status(status), 1);
        expect_that!(found, eq(&[Violation::RefusedButRun]));
    }
    expect_that!(
        judge(true, Ending::Served, 2),
        eq(&[Violation::Repeated(2)])
    );
    expect_that!(
        judge(true, Ending::Closed, 2),
        eq(&[Violation::Repeated(2)])
    );
    expect_that!(
        judge(false, Ending::Wrong, 1),
        eq(&[Violation::WrongAnswer])
    );
}

#[googletest::test]
fn allowed_endings_pass() {
    expect_that!(judge(true, Ending::Served, 1), elements_are![]);
    expect_that!(judge(true, Ending::Status(503), 0), elements_are![]);
    expect_that!(judge(true, Ending::Status(502), 1), elements_are![]);
    expect_that!(judge(true, Ending::Abandoned, 1), elements_are![]);
    expect_that!(judge(false, Ending::Status(503), 2), elements_are![]);
}
