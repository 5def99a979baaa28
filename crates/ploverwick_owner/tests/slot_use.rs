//! The queue and the slots of one endpoint.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_codes::Code;
use ploverwick_names::{Adapter, Incarnation, Moment, Request, Variant, Version};
use ploverwick_owner::endpoint::{Action, Config, Found, Job, Machine, Outcome, Report, Rights};

const PAUSE: Duration = Duration::from_secs(1);

fn machine(queue: usize) -> Machine {
    Machine::new(Config {
        queue,
        report_lag: PAUSE,
        order_lag: PAUSE,
        patience: PAUSE,
        retry_after: PAUSE,
        load_pause: PAUSE,
    })
}

fn variant(adapter: &str) -> Variant {
    Variant {
        adapter: Adapter::new(adapter).expect("it is a name"),
        version: Version::new("v1").expect("it is a name"),
    }
}

fn request(name: &str) -> Request {
    Request::new(name).expect("it is a name")
}

fn job(name: &str, adapter: &str, priority: u8, deadline: u64) -> Job {
    Job {
        request: request(name),
        variant: variant(adapter),
        priority,
        weight: 1.0,
        deadline: Moment(deadline),
        arrived: Moment(0),
    }
}

fn report(batch: u32, used: &[(&str, u32)]) -> Report {
    let used = used.iter().map(|(adapter, running)| Found {
        variant: variant(adapter),
        ready: true,
        running: *running,
    });
    Report {
        incarnation: Incarnation(1),
        slots: 2,
        batch,
        used: used.collect(),
    }
}

fn rights() -> Rights {
    Rights {
        send: true,
        unload: true,
        loads: 4,
        ..Rights::default()
    }
}

fn sent(actions: &[Action]) -> Vec<String> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send(request) => Some(request.to_string()),
        _ => None,
    });
    sent.collect()
}

#[gtest]
fn urgent_first() {
    let mut machine = machine(9);
    machine.report(&report(2, &[("a", 0)]), true, Moment(0));
    machine.submit(job("review", "a", 2, 900));
    machine.submit(job("later", "a", 7, 900));
    machine.submit(job("sooner", "a", 7, 500));
    let actions = machine.step(&rights(), Moment(1));
    expect_that!(sent(&actions), elements_are![eq("sooner"), eq("later")]);
}

#[gtest]
fn late_refused() {
    let mut machine = machine(9);
    machine.submit(job("late", "a", 5, 10));
    let actions = machine.step(&rights(), Moment(10));
    let refused = Action::Refuse(request("late"), Code::DeadlineBeforeRun, None);
    expect_that!(actions, contains(eq(&refused)));
}

#[gtest]
fn full_queue() {
    let mut machine = machine(1);
    expect_that!(machine.submit(job("r1", "a", 5, 900)), none());
    let refused = Action::Refuse(request("r2"), Code::Overloaded, Some(PAUSE));
    expect_that!(machine.submit(job("r2", "a", 5, 900)), some(eq(&refused)));
}

#[gtest]
fn least_recent_goes() {
    let mut machine = machine(9);
    machine.report(&report(8, &[]), true, Moment(0));
    machine.submit(job("r1", "a", 5, 9000));
    machine.submit(job("r2", "b", 5, 9000));
    machine.step(&rights(), Moment(1));
    machine.loaded(&variant("a"), Outcome::Done, Moment(2));
    machine.loaded(&variant("b"), Outcome::Done, Moment(2));
    machine.step(&rights(), Moment(3));
    machine.finished(&request("r2"), Moment(4));
    machine.finished(&request("r1"), Moment(5));
    machine.submit(job("r3", "c", 5, 9000));
    let actions = machine.step(&rights(), Moment(6));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("b")))]);
}

#[gtest]
fn busy_stays() {
    let mut machine = machine(9);
    machine.report(&report(8, &[]), true, Moment(0));
    machine.submit(job("r1", "a", 5, 90_000));
    machine.submit(job("r2", "b", 5, 90_000));
    machine.step(&rights(), Moment(1));
    machine.loaded(&variant("a"), Outcome::Done, Moment(2));
    machine.loaded(&variant("b"), Outcome::Done, Moment(2));
    machine.step(&rights(), Moment(3));
    machine.submit(job("r3", "c", 5, 90_000));
    // However long it waits, an adapter in use is not unloaded.
    for at in [10, 2000, 60_000] {
        expect_that!(machine.step(&rights(), Moment(at)), len(eq(0)));
    }
    machine.finished(&request("r1"), Moment(60_001));
    let actions = machine.step(&rights(), Moment(60_002));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("a")))]);
}

#[gtest]
fn inherited_use() {
    let mut machine = machine(9);
    // A take-over: the earlier owner's requests may be running on both adapters.
    machine.report(&report(8, &[("a", 1), ("b", 0)]), false, Moment(0));
    machine.submit(job("r1", "c", 5, 90_000));
    expect_that!(machine.step(&rights(), Moment(1)), len(eq(0)));
    // Settled, but the report may be older than that.
    machine.report(&report(8, &[("a", 1), ("b", 0)]), true, Moment(500));
    expect_that!(machine.step(&rights(), Moment(500)), len(eq(0)));
    machine.report(&report(8, &[("a", 1), ("b", 0)]), true, Moment(1600));
    let actions = machine.step(&rights(), Moment(1600));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("b")))]);
}

#[gtest]
fn late_report_ghost() {
    let mut machine = machine(9);
    machine.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(0));
    machine.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(1500));
    machine.submit(job("r1", "c", 5, 90_000));
    machine.step(&rights(), Moment(1500));
    machine.unloaded(&variant("a"), Outcome::Done, Moment(1510));
    // This report was made before the unload and may not bring the adapter back.
    machine.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(1520));
    machine.submit(job("r2", "a", 5, 90_000));
    let actions = machine.step(&rights(), Moment(1530));
    expect_that!(sent(&actions), len(eq(0)));
    expect_that!(actions, contains(eq(&Action::Load(variant("c")))));
}

#[gtest]
fn failed_load_refused() {
    let mut machine = machine(9);
    machine.report(&report(8, &[]), true, Moment(0));
    machine.submit(job("r1", "a", 5, 90_000));
    for at in [1, 2000] {
        let actions = machine.step(&rights(), Moment(at));
        expect_that!(actions, contains(eq(&Action::Load(variant("a")))));
        machine.loaded(&variant("a"), Outcome::Refused, Moment(at + 1));
    }
    let refused = Action::Refuse(request("r1"), Code::LoadFailed, Some(PAUSE));
    expect_that!(
        machine.step(&rights(), Moment(2002)),
        elements_are![eq(&refused)]
    );
}

#[gtest]
fn no_budget_no_load() {
    let mut machine = machine(9);
    machine.report(&report(8, &[]), true, Moment(0));
    machine.submit(job("r1", "a", 5, 90_000));
    let none = Rights {
        loads: 0,
        ..rights()
    };
    expect_that!(machine.step(&none, Moment(1)), len(eq(0)));
}

#[gtest]
fn weighted_share() {
    let mut machine = machine(99);
    machine.report(&report(1, &[("a", 0), ("b", 0)]), true, Moment(0));
    for index in 0..20 {
        for (adapter, weight) in [("a", 3.0), ("b", 1.0)] {
            machine.submit(Job {
                weight,
                ..job(&format!("{adapter}{index}"), adapter, 5, 90_000)
            });
        }
    }
    let order = one_by_one(&mut machine, 16);
    let heavy = order.iter().filter(|name| name.starts_with('a'));
    expect_that!(heavy.count(), eq(12), "{order:?}");
}

#[gtest]
fn idle_saves_nothing() {
    let mut machine = machine(99);
    machine.report(&report(1, &[("a", 0), ("b", 0)]), true, Moment(0));
    for index in 0..20 {
        machine.submit(job(&format!("a{index}"), "a", 5, 90_000));
    }
    one_by_one(&mut machine, 10);
    // It comes late, and gets its share from here on, not what it might have had.
    for index in 0..10 {
        machine.submit(job(&format!("b{index}"), "b", 5, 90_000));
    }
    let order = one_by_one(&mut machine, 8);
    let late = order.iter().filter(|name| name.starts_with('b'));
    expect_that!(late.count(), eq(4), "{order:?}");
}

/// Sends requests one at a time and returns their order.
fn one_by_one(machine: &mut Machine, count: usize) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..count {
        let name = sent(&machine.step(&rights(), Moment(1))).remove(0);
        machine.finished(&request(&name), Moment(1));
        order.push(name);
    }
    order
}
