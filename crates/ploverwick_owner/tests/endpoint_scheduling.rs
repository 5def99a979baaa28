//! Scheduling of one endpoint: the order of dispatch, and loading and unloading of adapters.

use std::time::Duration;

use googletest::prelude::*;
use ploverwick_codes::Code;
use ploverwick_names::{Adapter, Incarnation, Moment, Request, Variant, Version};
use ploverwick_owner::endpoint::{
    Action, Config, Job, Outcome, Report, ReportedSlot, Rights, Scheduler,
};

const DELAY: Duration = Duration::from_secs(1);

fn scheduler(queue: usize) -> Scheduler {
    Scheduler::new(Config {
        queue_capacity: queue,
        report_lag: DELAY,
        order_lag: DELAY,
        drain_after: DELAY,
        retry_after: DELAY,
        load_backoff: DELAY,
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
    let used = used.iter().map(|(adapter, running)| ReportedSlot {
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
fn sends_by_priority_then_deadline() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(2, &[("a", 0)]), true, Moment(0));
    scheduler.submit(job("review", "a", 2, 900));
    scheduler.submit(job("later", "a", 7, 900));
    scheduler.submit(job("sooner", "a", 7, 500));
    let actions = scheduler.step(&rights(), Moment(1));
    expect_that!(sent(&actions), elements_are![eq("sooner"), eq("later")]);
}

#[gtest]
fn refuses_expired_request() {
    let mut scheduler = scheduler(9);
    scheduler.submit(job("late", "a", 5, 10));
    let actions = scheduler.step(&rights(), Moment(10));
    let refused = Action::Refuse(request("late"), Code::DeadlineBeforeRun, None);
    expect_that!(actions, contains(eq(&refused)));
}

#[gtest]
fn refuses_when_queue_full() {
    let mut scheduler = scheduler(1);
    expect_that!(scheduler.submit(job("r1", "a", 5, 900)), none());
    let refused = Action::Refuse(request("r2"), Code::Overloaded, Some(DELAY));
    expect_that!(scheduler.submit(job("r2", "a", 5, 900)), some(eq(&refused)));
}

#[gtest]
fn unloads_least_recently_used() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(8, &[]), true, Moment(0));
    scheduler.submit(job("r1", "a", 5, 9000));
    scheduler.submit(job("r2", "b", 5, 9000));
    scheduler.step(&rights(), Moment(1));
    scheduler.loaded(&variant("a"), Outcome::Done, Moment(2));
    scheduler.loaded(&variant("b"), Outcome::Done, Moment(2));
    scheduler.step(&rights(), Moment(3));
    scheduler.finished(&request("r2"), Moment(4));
    scheduler.finished(&request("r1"), Moment(5));
    scheduler.submit(job("r3", "c", 5, 9000));
    let actions = scheduler.step(&rights(), Moment(6));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("b")))]);
}

#[gtest]
fn keeps_adapter_in_use() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(8, &[]), true, Moment(0));
    scheduler.submit(job("r1", "a", 5, 90_000));
    scheduler.submit(job("r2", "b", 5, 90_000));
    scheduler.step(&rights(), Moment(1));
    scheduler.loaded(&variant("a"), Outcome::Done, Moment(2));
    scheduler.loaded(&variant("b"), Outcome::Done, Moment(2));
    scheduler.step(&rights(), Moment(3));
    scheduler.submit(job("r3", "c", 5, 90_000));
    // An adapter in use is not unloaded, however long another request waits.
    for at in [10, 2000, 60_000] {
        expect_that!(scheduler.step(&rights(), Moment(at)), len(eq(0)));
    }
    scheduler.finished(&request("r1"), Moment(60_001));
    let actions = scheduler.step(&rights(), Moment(60_002));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("a")))]);
}

#[gtest]
fn takeover_waits_for_recent_report() {
    let mut scheduler = scheduler(9);
    // After a takeover, requests of the earlier owner may be running on both adapters.
    scheduler.report(&report(8, &[("a", 1), ("b", 0)]), false, Moment(0));
    scheduler.submit(job("r1", "c", 5, 90_000));
    expect_that!(scheduler.step(&rights(), Moment(1)), len(eq(0)));
    // The earlier owner is settled, but the report may have been made before that.
    scheduler.report(&report(8, &[("a", 1), ("b", 0)]), true, Moment(500));
    expect_that!(scheduler.step(&rights(), Moment(500)), len(eq(0)));
    scheduler.report(&report(8, &[("a", 1), ("b", 0)]), true, Moment(1600));
    let actions = scheduler.step(&rights(), Moment(1600));
    expect_that!(actions, elements_are![eq(&Action::Unload(variant("b")))]);
}

#[gtest]
fn ignores_report_older_than_unload() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(0));
    scheduler.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(1500));
    scheduler.submit(job("r1", "c", 5, 90_000));
    scheduler.step(&rights(), Moment(1500));
    scheduler.unloaded(&variant("a"), Outcome::Done, Moment(1510));
    // This delayed report was made before the unload and must not add the adapter again.
    scheduler.report(&report(8, &[("a", 0), ("b", 0)]), true, Moment(1520));
    scheduler.submit(job("r2", "a", 5, 90_000));
    let actions = scheduler.step(&rights(), Moment(1530));
    expect_that!(sent(&actions), len(eq(0)));
    expect_that!(actions, contains(eq(&Action::Load(variant("c")))));
}

#[gtest]
fn refuses_after_repeated_load_failures() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(8, &[]), true, Moment(0));
    scheduler.submit(job("r1", "a", 5, 90_000));
    for at in [1, 2000] {
        let actions = scheduler.step(&rights(), Moment(at));
        expect_that!(actions, contains(eq(&Action::Load(variant("a")))));
        scheduler.loaded(&variant("a"), Outcome::Refused, Moment(at + 1));
    }
    let refused = Action::Refuse(request("r1"), Code::LoadFailed, Some(DELAY));
    expect_that!(
        scheduler.step(&rights(), Moment(2002)),
        elements_are![eq(&refused)]
    );
}

#[gtest]
fn no_load_without_budget() {
    let mut scheduler = scheduler(9);
    scheduler.report(&report(8, &[]), true, Moment(0));
    scheduler.submit(job("r1", "a", 5, 90_000));
    let no_budget = Rights {
        loads: 0,
        ..rights()
    };
    expect_that!(scheduler.step(&no_budget, Moment(1)), len(eq(0)));
}

#[gtest]
fn shares_by_weight() {
    let mut scheduler = scheduler(99);
    scheduler.report(&report(1, &[("a", 0), ("b", 0)]), true, Moment(0));
    for index in 0..20 {
        for (adapter, weight) in [("a", 3.0), ("b", 1.0)] {
            scheduler.submit(Job {
                weight,
                ..job(&format!("{adapter}{index}"), adapter, 5, 90_000)
            });
        }
    }
    let order = send_sequentially(&mut scheduler, 16);
    let heavy = order.iter().filter(|name| name.starts_with('a'));
    expect_that!(heavy.count(), eq(12), "{order:?}");
}

#[gtest]
fn idle_adapter_gains_no_credit() {
    let mut scheduler = scheduler(99);
    scheduler.report(&report(1, &[("a", 0), ("b", 0)]), true, Moment(0));
    for index in 0..20 {
        scheduler.submit(job(&format!("a{index}"), "a", 5, 90_000));
    }
    send_sequentially(&mut scheduler, 10);
    // An adapter that joins late gets its share from now on, with no credit for the past.
    for index in 0..10 {
        scheduler.submit(job(&format!("b{index}"), "b", 5, 90_000));
    }
    let order = send_sequentially(&mut scheduler, 8);
    let joined = order.iter().filter(|name| name.starts_with('b'));
    expect_that!(joined.count(), eq(4), "{order:?}");
}

/// Sends requests one at a time and returns their names in order.
fn send_sequentially(scheduler: &mut Scheduler, count: usize) -> Vec<String> {
    let mut order = Vec::new();
    for _ in 0..count {
        let name = sent(&scheduler.step(&rights(), Moment(1))).remove(0);
        scheduler.finished(&request(&name), Moment(1));
        order.push(name);
    }
    order
}
