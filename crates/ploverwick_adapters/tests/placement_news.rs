//! Instances learn of a placement before its load starts, so that an adapter is placed once.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_adapters::{Copy, Directory};
use ploverwick_names::Moment;

fn copy() -> Copy {
    Copy::of(&Arc::from("base"), Arc::from("a"), 1)
}

/// Instances that knew different pressures had one adapter loaded in several failure domains.
#[googletest::test]
fn placement_announced_once() {
    let (first, second): (Arc<str>, Arc<str>) = (Arc::from("i-0"), Arc::from("i-1"));
    let mut directory = Directory::default();
    expect_that!(directory.mark_loading(&first, copy(), Moment(0)), eq(true));
    // Its load starts: the others know already.
    expect_that!(
        directory.mark_loading(&first, copy(), Moment(300)),
        eq(false)
    );
    // It started late: they would soon ask elsewhere.
    expect_that!(
        directory.mark_loading(&first, copy(), Moment(700)),
        eq(true)
    );
    expect_that!(
        directory.mark_loading(&second, copy(), Moment(710)),
        eq(true)
    );
}

/// The placer was lost with the load: requests choose a failure domain again.
#[googletest::test]
fn announcement_lapses() {
    let endpoint: Arc<str> = Arc::from("i-0");
    let mut directory = Directory::default();
    directory.mark_loading(&endpoint, copy(), Moment(0));
    expect_that!(
        directory.loading_on(&copy(), Moment(1_100)),
        some(eq(&endpoint))
    );
    expect_that!(directory.loading_on(&copy(), Moment(1_200)), none());
}
