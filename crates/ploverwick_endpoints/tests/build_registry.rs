//! The builds that the store records for each service.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::build_history::RETENTION;
use ploverwick_endpoints::build_registry::{
    Change, DELETION_DELAY, Knowledge, Place, Registration, State,
};
use ploverwick_endpoints::{Build, BuildHistory, BuildRegistry, Serving};
use ploverwick_names::Moment;

const START: Moment = Moment(1_000);
const SERVICE: &str = "chat";
const MILLISECOND: Duration = Duration::from_millis(1);

fn build(version: &str) -> Build {
    Build::of(version)
}

fn place(era: u64, offset: u64) -> Place {
    Place { era, offset }
}

/// A registry that was read from a store in an era, with these records at offsets from 0.
fn registry(era: u64, records: &[(&str, State, u64)]) -> BuildRegistry {
    let mut registry = BuildRegistry::default();
    let mut listed = HashSet::new();
    for (offset, (version, state, written_in)) in (0..).zip(records) {
        apply(
            &mut registry,
            version,
            Some((*state, *written_in)),
            place(era, offset),
            START,
        );
        listed.insert((Arc::from(SERVICE), build(version)));
    }
    registry.confirm(&listed, place(era, records.len() as u64), START);
    registry
}

fn apply(
    registry: &mut BuildRegistry,
    version: &str,
    written: Option<(State, u64)>,
    place: Place,
    now: Moment,
) {
    let registration = written.map(|(state, era)| Registration { state, era });
    registry.apply(
        &Arc::from(SERVICE),
        build(version),
        registration,
        place,
        now,
    );
}

/// A history of builds that are listed, and of others that left.
fn history(is_first_start: bool, listed: &[&str], left: &[(&str, Moment)]) -> BuildHistory {
    let mut history = BuildHistory::new(is_first_start, START);
    let service = Arc::from(SERVICE);
    for version in listed {
        history.add(&service, build(version), None);
    }
    for (version, at) in left {
        history.add(&service, build(version), None);
        history.remove(SERVICE, build(version), *at);
    }
    history
}

fn plan(registry: &BuildRegistry, history: &BuildHistory, now: Moment) -> Option<Change> {
    let list = Knowledge {
        history,
        is_current: true,
    };
    registry.plan(SERVICE, list, now)
}

fn change(builds: &[(&str, Option<State>)], is_conditional: bool) -> Change {
    let builds = builds
        .iter()
        .map(|(version, state)| (build(version), *state));
    Change {
        builds: builds.collect(),
        is_conditional,
    }
}

/// Guards against a restarted instance that takes the only build that it lists for the only one that served.
#[gtest]
fn proof_after_a_restart() {
    use State::{Retired, Serving as Active};
    let a = build("a");
    let cases: [(&[_], _); 7] = [
        (&[], Serving::Unconfirmed(a)),
        (&[("a", Active, 1)], Serving::Only(a)),
        (&[("a", Retired, 1)], Serving::Only(a)),
        (&[("b", Active, 1)], Serving::Several),
        (&[("a", Active, 1), ("b", Retired, 1)], Serving::Several),
        // Written before the store was restored, so that others may be missing.
        (&[("a", Active, 0)], Serving::Unconfirmed(a)),
        (
            &[("a", Active, 0), ("b", Active, 1)],
            Serving::Unconfirmed(a),
        ),
    ];
    for (records, expected) in cases {
        let registry = registry(1, records);
        let history = history(false, &["a"], &[]);
        let proven = registry.proven(SERVICE, history.unbroken_since());
        let serving = history.serving(SERVICE, proven.as_deref(), START);
        expect_that!(serving, eq(expected), "{records:?}");
    }
}

/// Guards against ignoring a record that cannot be read, and with it a build.
#[gtest]
fn unreadable_record_proves_nothing() {
    let mut registry = registry(0, &[("a", State::Serving, 0)]);
    registry.apply(
        &Arc::from(SERVICE),
        build("b"),
        Some(Registration::UNKNOWN),
        place(0, 1),
        START,
    );
    expect_that!(registry.proven(SERVICE, START), none());
}

/// Guards against a record that was read before the list had a gap, in which builds may have been registered.
#[gtest]
fn gap_needs_another_read() {
    let registry = registry(0, &[("a", State::Serving, 0)]);
    let mut history = history(true, &["a"], &[]);
    let later = START + RETENTION;
    history.record_gap(later);
    expect_that!(registry.covers(START), eq(true));
    expect_that!(registry.covers(history.unbroken_since()), eq(false));
    expect_that!(registry.proven(SERVICE, history.unbroken_since()), none());
}

/// Guards against records that are taken over from another instance, and are older than what was read.
#[gtest]
fn older_records_change_nothing() {
    let mut registry = registry(1, &[("a", State::Serving, 1)]);
    let now = START + MILLISECOND;
    apply(&mut registry, "a", None, place(0, 100), now);
    expect_that!(
        registry.proven(SERVICE, START),
        some(elements_are![eq(&build("a"))])
    );
    apply(&mut registry, "a", None, place(1, 100), now);
    expect_that!(registry.proven(SERVICE, START), none());
    apply(
        &mut registry,
        "a",
        Some((State::Serving, 1)),
        place(1, 101),
        now,
    );
    apply(
        &mut registry,
        "a",
        Some((State::Retired, 1)),
        place(1, 100),
        now,
    );
    expect_that!(
        registry.unregistered(SERVICE, [build("a")].into_iter()),
        is_empty()
    );
}

/// Guards against registering one build where an instance cannot know whether another one served.
#[gtest]
fn first_registration() {
    let empty = registry(0, &[]);
    let known = history(true, &["a"], &[("b", START)]);
    let expected = change(
        &[("a", Some(State::Serving)), ("b", Some(State::Serving))],
        true,
    );
    expect_that!(plan(&empty, &known, START), some(eq(&expected)));
    let started = history(false, &["a"], &[]);
    expect_that!(plan(&empty, &started, START), none());
    let complete_at = START + RETENTION;
    let expected = change(&[("a", Some(State::Serving))], true);
    expect_that!(plan(&empty, &started, complete_at), some(eq(&expected)));
    let outdated = Knowledge {
        history: &known,
        is_current: false,
    };
    expect_that!(empty.plan(SERVICE, outdated, START), none());
}

/// Guards against a restored store in which a build is missing, or one remains that is long gone.
#[gtest]
fn registration_after_a_restore() {
    let restored = registry(1, &[("a", State::Serving, 0), ("c", State::Serving, 0)]);
    let known = history(true, &["a"], &[("b", START)]);
    let expected = change(
        &[
            ("a", Some(State::Serving)),
            ("b", Some(State::Serving)),
            ("c", None),
        ],
        true,
    );
    expect_that!(plan(&restored, &known, START), some(eq(&expected)));
    let started = history(false, &["a", "b"], &[]);
    expect_that!(plan(&restored, &started, START), none());
}

/// Guards against streams that begin at a build which instances that start later would not know of.
#[gtest]
fn new_build_is_registered() {
    let one = registry(0, &[("a", State::Serving, 0)]);
    let both = [build("a"), build("b")].into_iter();
    expect_that!(
        one.unregistered(SERVICE, both.clone()),
        elements_are![eq(&build("b"))]
    );
    // Any instance may add a build, also one that has just started.
    let started = history(false, &["a", "b"], &[]);
    let expected = change(&[("b", Some(State::Serving))], false);
    expect_that!(plan(&one, &started, START), some(eq(&expected)));
    let two = registry(0, &[("a", State::Serving, 0), ("b", State::Serving, 0)]);
    expect_that!(two.unregistered(SERVICE, both), is_empty());
    expect_that!(plan(&two, &started, START), none());
}

/// Guards against deleting a build while its streams may still be taken up, or that another instance lists again.
#[gtest]
fn left_build_is_deleted() {
    let two = [("a", State::Serving, 0), ("b", State::Serving, 0)];
    let mut registry = registry(0, &two);
    let history = history(true, &["b"], &[("a", START)]);
    let forgotten = START + RETENTION;
    expect_that!(plan(&registry, &history, forgotten - MILLISECOND), none());
    let expected = change(&[("a", Some(State::Retired))], true);
    expect_that!(plan(&registry, &history, forgotten), some(eq(&expected)));
    apply(
        &mut registry,
        "a",
        Some((State::Retired, 0)),
        place(0, 3),
        forgotten,
    );
    let deletable = forgotten + DELETION_DELAY;
    expect_that!(plan(&registry, &history, deletable - MILLISECOND), none());
    let expected = change(&[("a", None)], true);
    expect_that!(plan(&registry, &history, deletable), some(eq(&expected)));
    // An instance that lists the build again registers it at once.
    let returned = self::history(true, &["a", "b"], &[]);
    let expected = change(&[("a", Some(State::Serving))], false);
    expect_that!(plan(&registry, &returned, deletable), some(eq(&expected)));
    expect_that!(
        registry.unregistered(SERVICE, returned.listed(SERVICE)),
        elements_are![eq(&build("a"))]
    );
}
