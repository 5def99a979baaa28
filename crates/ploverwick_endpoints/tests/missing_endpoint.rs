//! When an endpoint that is missing from the list counts as gone.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::Absences;
use ploverwick_names::Moment;

#[googletest::test]
fn gone_at_once() {
    let mut absences = Absences::default();
    absences.record_store_read(Moment(0));
    expect_that!(
        absences.record_missing(&Arc::from("a"), Moment(0)),
        eq(true)
    );
}

#[googletest::test]
fn lapsed_is_awaited() {
    let mut absences = Absences::default();
    absences.record_store_failure();
    absences.record_store_read(Moment(1_000));
    expect_that!(
        absences.record_missing(&Arc::from("a"), Moment(1_000)),
        eq(false)
    );
    expect_that!(absences.remove_expired(Moment(2_000)), is_empty());
    absences.record_listed("a");
    expect_that!(absences.remove_expired(Moment(9_000)), is_empty());
}

#[googletest::test]
fn awaited_in_vain() {
    let mut absences = Absences::default();
    absences.record_store_failure();
    absences.record_store_read(Moment(1_000));
    absences.record_missing(&Arc::from("a"), Moment(1_000));
    expect_that!(absences.remove_expired(Moment(2_900)), len(eq(1)));
}

/// Found by hunt-5893-27 and hunt-5893-35: a leave 1.8 s after the store's return was waited for
/// until 5 s after it, and the endpoint got requests for too long.
#[googletest::test]
fn leave_after_return() {
    let mut absences = Absences::default();
    absences.record_store_failure();
    absences.record_store_read(Moment(12_120));
    absences.record_store_read(Moment(12_700));
    expect_that!(
        absences.record_missing(&Arc::from("a"), Moment(13_980)),
        eq(true)
    );
}
