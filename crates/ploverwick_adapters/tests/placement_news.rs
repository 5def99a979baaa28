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

fn endpoint(name: &str) -> Arc<str> {
    Arc::from(name)
}

/// Returns which endpoint is loading the adapter, among those whose names begin with `prefix`.
fn loading(directory: &Directory, prefix: &str, at: u64) -> Option<Arc<str>> {
    let found = directory.loading_among(&copy(), Moment(at), |id| id.starts_with(prefix));
    found.map(Arc::clone)
}

/// Guards against a request that gives up on a load at its build, or asks for another, because a
/// build that can't serve it began to load the adapter too.
#[googletest::test]
fn load_elsewhere_hides_none() {
    let mut directory = Directory::default();
    directory.mark_loading(&endpoint("old-0"), copy(), Moment(0));
    directory.mark_loading(&endpoint("new-0"), copy(), Moment(100));
    expect_that!(
        loading(&directory, "old", 200).as_deref(),
        some(eq("old-0"))
    );
    expect_that!(
        loading(&directory, "new", 200).as_deref(),
        some(eq("new-0"))
    );
    expect_that!(loading(&directory, "other", 200), none());
    // Without a condition, the latest load counts.
    expect_that!(
        directory.loading_on(&copy(), Moment(200)).map(|id| &**id),
        some(eq("new-0"))
    );
    expect_that!(loading(&directory, "old", 1_200), none());
    expect_that!(
        loading(&directory, "new", 1_200).as_deref(),
        some(eq("new-0"))
    );
}

#[googletest::test]
fn completed_load_ends_only_its_own() {
    let mut directory = Directory::default();
    directory.mark_loading(&endpoint("old-0"), copy(), Moment(0));
    directory.mark_loading(&endpoint("new-0"), copy(), Moment(100));
    directory.mark_loaded(&endpoint("new-0"), copy(), Moment(300));
    expect_that!(loading(&directory, "new", 300), none());
    expect_that!(
        loading(&directory, "old", 300).as_deref(),
        some(eq("old-0"))
    );
    // Requests that any endpoint may serve have the adapter now.
    expect_that!(directory.loading_on(&copy(), Moment(300)), none());
    directory.mark_loaded(&endpoint("old-0"), copy(), Moment(400));
    expect_that!(loading(&directory, "old", 400), none());
}

#[googletest::test]
fn latest_load_of_several() {
    let mut directory = Directory::default();
    for (name, at) in [("old-0", 0), ("old-1", 100), ("old-0", 200)] {
        let is_news = directory.mark_loading(&endpoint(name), copy(), Moment(at));
        expect_that!(is_news, eq(true));
    }
    expect_that!(
        loading(&directory, "old", 300).as_deref(),
        some(eq("old-0"))
    );
    directory.mark_loaded(&endpoint("old-0"), copy(), Moment(300));
    expect_that!(
        loading(&directory, "old", 300).as_deref(),
        some(eq("old-1"))
    );
}
