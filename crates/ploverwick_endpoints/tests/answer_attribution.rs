//! Which answers belong to the request that was sent last on a connection.

use googletest::prelude::*;
use ploverwick_endpoints::{Echo, Exchanges};

/// Returns a connection after answers that named these attempts, on which another request was sent.
fn after(answers: &[Echo]) -> Exchanges {
    let mut exchanges = Exchanges::default();
    for echo in answers {
        exchanges.begin();
        exchanges.record_answer(*echo);
    }
    exchanges.begin();
    exchanges
}

#[googletest::test]
fn named_answers_belong_to_attempt() {
    for earlier in [&[] as &[Echo], &[Echo::Own], &[Echo::Own, Echo::Own]] {
        expect_that!(after(earlier).owns(Echo::Own, true), eq(true));
        expect_that!(after(earlier).owns(Echo::Other, true), eq(false));
        expect_that!(after(earlier).owns(Echo::Other, false), eq(false));
    }
}

/// Guards against an answer that names no attempt and belongs to an earlier request, or to none.
#[googletest::test]
fn unnamed_answers_belong_to_unnamed() {
    expect_that!(after(&[]).owns(Echo::Absent, true), eq(false));
    expect_that!(after(&[Echo::Own]).owns(Echo::Absent, true), eq(false));
    expect_that!(after(&[]).owns(Echo::Absent, false), eq(true));
    expect_that!(after(&[Echo::Own]).owns(Echo::Absent, false), eq(false));
}

#[googletest::test]
fn unnamed_answers_end_connection() {
    expect_that!(after(&[]).may_continue(), eq(true));
    expect_that!(after(&[Echo::Own]).may_continue(), eq(true));
    expect_that!(after(&[Echo::Absent]).may_continue(), eq(false));
}
