//! Tests when an endpoint that is missing from the list is treated as removed.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::Absences;
use ploverwick_names::Moment;

#[googletest::test]
fn missing_endpoint_is_removed_immediately() {
    let mut absences = Absences::default();
    absences.record_store_read(Moment(0));
    expect_that!(
        absences.record_missing(&Arc::from("a"), Moment(0)),
        eq(true)
    );
}

#[googletest::test]
fn endpoint_may_return_after_outage() {
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
fn endpoint_is_removed_after_timeout() {
    let mut absences = Absences::default();
    absences.record_store_failure();
    absences.record_store_read(Moment(1_000));
    absences.record_missing(&Arc::from("a"), Moment(1_000));
    expect_that!(absences.remove_expired(Moment(2_900)), len(eq(1)));
}

/// Guards against waiting for an endpoint that left after the store had already been read again. An endpoint
/// that left 1.8 s after the store recovered received requests until 5 s after the recovery.
#[googletest::test]
fn departure_after_second_read_is_immediate() {
    let mut absences = Absences::default();
    absences.record_store_failure();
    absences.record_store_read(Moment(12_120));
    absences.record_store_read(Moment(12_700));
    expect_that!(
        absences.record_missing(&Arc::from("a"), Moment(13_980)),
        eq(true)
    );
}
