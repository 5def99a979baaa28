//! Members come, fall silent, refute and leave.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_members::{Action, Config, Controller, Listed, News, State};
use ploverwick_names::{Incarnation, Instance, Life, Moment};

const SUSPECT: Duration = Duration::from_secs(2);
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
        suspect: SUSPECT,
        list_lag: LIST_LAG,
    };
    Controller::new(life("me", 1), address(), config)
}

fn list(names: &[&str]) -> BTreeMap<Instance, Listed> {
    let listed = Listed {
        address: address(),
        leaving: false,
    };
    names
        .iter()
        .map(|name| (Instance::new(name).expect("it is a name"), listed))
        .collect()
}

fn news(name: &str, incarnation: u64, state: State, refutation: u64) -> News {
    News {
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
fn listed_counts_at_once() {
    let mut members = controller();
    members.listed(&list(&["me", "b"]), Moment(0));
    expect_that!(
        members.able(),
        elements_are![eq(&instance("b")), eq(&instance("me"))]
    );
    expect_that!(members.state(&instance("b")), some(eq(State::Joining)));
}

#[gtest]
fn silence_makes_gone() {
    let mut members = controller();
    members.listed(&list(&["b"]), Moment(0));
    members.hear(&news("b", 5, State::Live, 0), true, Moment(0));
    members.unreachable(&instance("b"), Moment(100));
    expect_that!(members.is_present(&life("b", 5)), eq(true));
    let actions = members.beat(Moment(2200));
    expect_that!(
        actions,
        contains(eq(&Action::Changed(life("b", 5), State::Gone)))
    );
    expect_that!(members.is_present(&life("b", 5)), eq(false));
    // Silence is no proof of an end.
    let ended = |action: &Action| matches!(action, Action::Ended(_));
    expect_that!(actions.iter().any(ended), eq(false));
}

#[gtest]
fn answer_refutes() {
    let mut members = controller();
    members.hear(&news("b", 5, State::Live, 0), true, Moment(0));
    members.unreachable(&instance("b"), Moment(100));
    members.hear(&news("b", 5, State::Live, 0), true, Moment(200));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
    // An older rumour does not bring the suspicion back, a newer one does.
    members.hear(&news("b", 5, State::Live, 1), false, Moment(250));
    members.hear(&news("b", 5, State::Suspect, 0), false, Moment(300));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
    members.hear(&news("b", 5, State::Suspect, 1), false, Moment(300));
    expect_that!(members.state(&instance("b")), some(eq(State::Suspect)));
}

#[gtest]
fn own_refutation() {
    let mut members = controller();
    members.hear(&news("me", 1, State::Suspect, 0), false, Moment(0));
    expect_that!(members.me().refutation, eq(1));
    let told = members.news();
    expect_that!(told.iter().any(|news| news.life == life("me", 1)), eq(true));
}

#[gtest]
fn newer_life_ends_older() {
    let mut members = controller();
    members.hear(&news("b", 5, State::Live, 0), true, Moment(0));
    let actions = members.hear(&news("b", 6, State::Live, 0), true, Moment(1));
    expect_that!(actions, contains(eq(&Action::Ended(life("b", 5)))));
    // What is still said of the older life is past.
    members.hear(&news("b", 5, State::Gone, 9), false, Moment(2));
    expect_that!(members.state(&instance("b")), some(eq(State::Live)));
}

#[gtest]
fn off_the_list() {
    let mut members = controller();
    members.listed(&list(&["b"]), Moment(0));
    members.hear(&news("b", 5, State::Live, 0), true, Moment(0));
    let actions = members.listed(&list(&[]), Moment(10));
    expect_that!(actions, contains(eq(&Action::Ended(life("b", 5)))));
    // A late rumour does not bring it back.
    members.hear(&news("b", 5, State::Leaving, 3), false, Moment(20));
    expect_that!(members.state(&instance("b")), none());
}

#[gtest]
fn absent_for_long() {
    let mut members = controller();
    let lives = [life("old", 3)];
    expect_that!(members.find_ended(&lives, Moment(0)), len(eq(0)));
    expect_that!(members.find_ended(&lives, Moment(29_000)), len(eq(0)));
    expect_that!(
        members.find_ended(&lives, Moment(30_000)),
        elements_are![eq(&lives[0])]
    );
    members.hear(&news("old", 4, State::Live, 0), true, Moment(40_000));
    expect_that!(
        members.find_ended(&lives, Moment(40_000)),
        elements_are![eq(&lives[0])]
    );
}

#[gtest]
fn round_covers_all() {
    let mut members = controller();
    members.listed(&list(&["a", "b", "c", "d"]), Moment(0));
    let mut probed: Vec<String> = (0..4)
        .flat_map(|beat| members.beat(Moment(beat)))
        .filter_map(|action| match action {
            Action::Probe(instance) => Some(instance.to_string()),
            _ => None,
        })
        .collect();
    probed.sort();
    expect_that!(probed, elements_are![eq("a"), eq("b"), eq("c"), eq("d")]);
}

#[gtest]
fn bounded_news() {
    let mut members = controller();
    for index in 0..100 {
        members.hear(
            &news(&format!("m{index}"), 1, State::Live, 0),
            true,
            Moment(0),
        );
    }
    expect_that!(members.news().len(), le(8));
}
