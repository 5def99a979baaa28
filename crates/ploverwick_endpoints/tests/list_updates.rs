//! Tests which entries of the endpoint list a reader sends to its peers.

use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::list_updates::{Entries, Sender, Update};
use ploverwick_endpoints::{Entry, State};

fn entry(number: usize, state: State) -> Entry {
    Entry {
        id: Arc::from(format!("i-{number}")),
        service: Arc::from("lm"),
        address: "127.0.0.1:80".parse().expect("an address"),
        domain: Arc::from("d1"),
        software: Arc::from("v1"),
        slots: 32,
        state,
        held: Vec::new(),
        born: 0,
        beat: 0,
    }
}

fn list(count: usize) -> Entries {
    let entries = (0..count).map(|number| entry(number, State::Ready));
    entries
        .map(|entry| (Arc::clone(&entry.id), entry))
        .collect()
}

/// Guards against a fleet whose instances all send each other the whole list when they start.
#[googletest::test]
fn first_list_is_not_sent() {
    let mut sender = Sender::default();
    sender.start(None);
    expect_that!(sender.update(list(3_000)), eq(&Update::default()));
}

/// Guards against a reader that sends the whole list when it replaces another one.
#[googletest::test]
fn next_reader_sends_differences() {
    let mut sender = Sender::default();
    sender.start(Some(list(3_000)));
    let mut read = list(3_001);
    read.remove("i-7");
    let draining = entry(8, State::Draining);
    read.insert(Arc::clone(&draining.id), draining);
    let mut update = sender.update(read);
    update.changed.sort_by(|a, b| a.id.cmp(&b.id));
    let changed: Vec<&str> = update.changed.iter().map(|entry| &*entry.id).collect();
    expect_that!(changed, eq(&vec!["i-3000", "i-8"]));
    expect_that!(update.removed, eq(&vec![Arc::from("i-7")]));
}

/// Guards against changes that were sent before another instance read the list being sent again, or left out.
#[googletest::test]
fn later_changes_are_sent_once() {
    let mut sender = Sender::default();
    sender.start(None);
    sender.update(list(3));
    expect_that!(sender.update(list(4)).changed.len(), eq(1));
    expect_that!(sender.update(list(4)), eq(&Update::default()));
}
