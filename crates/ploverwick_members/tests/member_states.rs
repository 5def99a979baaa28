//! State changes of members: joining, suspicion, refutation and leaving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_members::{Action, Config, Controller, ListEntry, State, Update};
use ploverwick_names::{Incarnation, Instance, Life, Moment};

const SUSPECT_TIMEOUT: Duration = Duration::from_secs(2);
const LIST_LAG: Duration = Duration::from_secs(30);

fn life(name: &str, incarnation: u64) -> Life {
    Life {
        instance: Instance::new(name).expect("it is a name"),
        incarnation: Incarnation(incarnation),
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7))
}

fn controller() -> Controller {
    let config = Config {
        suspect_timeout: SUSPECT_TIMEOUT,
        list_lag: LIST_LAG,
    };
    Controller::new(life("me", 1), address(), config)
}

fn list(names: &[&str]) -> BTreeMap<Instance, ListEntry> {
    let entry = ListEntry {
        address: address(),
        leaving: false,
    };
    names
        .iter()
        .map(|name| (Instance::new(name).expect("it is a name"), entry))
        .collect()
}

fn update(name: &str, incarnation: u64, state: State, refutation: u64) -> Update {
    Update {
        life: life(name, incarnation),
        state,
        address: address(),
        refutation,
    }
}

fn instance(name: &str) -> Instance {
    Instance::new(name).expect("it is a name")
}

#[gtest]
fn listed_member_is_eligible() {
    let mut members = controller();
    members.apply_list(&list(&["me", "b"]), Moment(0));
    expect_that!(
        members.eligible(),
        elements_are![eq(&instance("b")), eq(&instance("me"))]
    );
    expect_that!(members.state(&instance("b")), some(eq(State::Joining)));
}

#[gtest]
fn suspect_times_out_as_gone() {
    let mut members = controller();
    members.apply_list(&list(&["b"]), Moment(0));
    members.apply_update(&update("b", 5, State::Live, 0), true, Moment(0));
    members.mark_unreachable(&instance("b"), Moment(100));
    expect_that!(members.is_present(&life("b", 5)), eq(true));
    let actions = members.tick(Moment(2200));
    expect_that!(
        actions,
        contains(eq(&Action::Changed(life("b", 5), State::Gone)))
    );
    expect_that!(members.is_present(&life("b", 5)), eq(false));
    // A missing response does not prove that the process has ended.
    let ended = |action: &Action| matches!(action, Action::Ended(_));
    expect_that!(actions.iter().any(ended), eq(false));
}

#[gtest]
fn direct_update_clears_suspicion() {
    let mut members = controller();
    members.apply_update(&update("b", 5, State::Live, 0), true, Moment(0));
    members.mark_unreachable(&instance("b"), Moment(100));
    members.apply_update(&update("b", 5, State::Live, 0), true, Moment(200));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
    // An outdated suspicion is ignored; a suspicion with the current refutation counter applies.
    members.apply_update(&update("b", 5, State::Live, 1), false, Moment(250));
    members.apply_update(&update("b", 5, State::Suspect, 0), false, Moment(300));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
    members.apply_update(&update("b", 5, State::Suspect, 1), false, Moment(300));
    expect_that!(members.state(&instance("b")), some(eq(State::Suspect)));
}

#[gtest]
fn refutes_suspicion_of_itself() {
    let mut members = controller();
    members.apply_update(&update("me", 1, State::Suspect, 0), false, Moment(0));
    expect_that!(members.me().refutation, eq(1));
    let updates = members.take_updates();
    expect_that!(
        updates.iter().any(|update| update.life == life("me", 1)),
        eq(true)
    );
}

#[gtest]
fn newer_incarnation_ends_older() {
    let mut members = controller();
    members.apply_update(&update("b", 5, State::Live, 0), true, Moment(0));
    let actions = members.apply_update(&update("b", 6, State::Live, 0), true, Moment(1));
    expect_that!(actions, contains(eq(&Action::Ended(life("b", 5)))));
    // Updates about the older incarnation are ignored.
    members.apply_update(&update("b", 5, State::Gone, 9), false, Moment(2));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
}

#[gtest]
fn removal_from_list_ends_member() {
    let mut members = controller();
    members.apply_list(&list(&["b"]), Moment(0));
    members.apply_update(&update("b", 5, State::Live, 0), true, Moment(0));
    let actions = members.apply_list(&list(&[]), Moment(10));
    expect_that!(actions, contains(eq(&Action::Ended(life("b", 5)))));
    // A delayed update does not add it again.
    members.apply_update(&update("b", 5, State::Leaving, 3), false, Moment(20));
    expect_that!(members.state(&instance("b")), none());
}

#[gtest]
fn finds_ended_after_list_lag() {
    let mut members = controller();
    let lives = [life("old", 3)];
    expect_that!(members.find_ended(&lives, Moment(0)), len(eq(0)));
    expect_that!(members.find_ended(&lives, Moment(29_000)), len(eq(0)));
    expect_that!(
        members.find_ended(&lives, Moment(30_000)),
        elements_are![eq(&lives[0])]
    );
    members.apply_update(&update("old", 4, State::Live, 0), true, Moment(40_000));
    expect_that!(
        members.find_ended(&lives, Moment(40_000)),
        elements_are![eq(&lives[0])]
    );
}

#[gtest]
fn probe_round_covers_all_members() {
    let mut members = controller();
    members.apply_list(&list(&["a", "b", "c", "d"]), Moment(0));
    let mut probed: Vec<String> = (0..4)
        .flat_map(|time| members.tick(Moment(time)))
        .filter_map(|action| match action {
            Action::Probe(instance) => Some(instance.to_string()),
            _ => None,
        })
        .collect();
    probed.sort();
    expect_that!(probed, elements_are![eq("a"), eq("b"), eq("c"), eq("d")]);
}

#[gtest]
fn bounds_updates_per_message() {
    let mut members = controller();
    for index in 0..100 {
        members.apply_update(
            &update(&format!("m{index}"), 1, State::Live, 0),
            true,
            Moment(0),
        );
    }
    expect_that!(members.take_updates().len(), le(8));
}
