//! The division of slots among instances, and loans between them.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use googletest::prelude::*;
use ploverwick_endpoints::slots::{Ending, LOAN_TTL, Ledger, Notice, Outgoing, Owners, Permit};
use ploverwick_names::Moment;

const SLOTS: u32 = 4;
const A: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const B: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

fn endpoint() -> Arc<str> {
    Arc::from("i-a")
}

/// Creates the ledger of an instance that divides the slots with others.
fn ledger(own: &str, all: &[&str], first_start: bool, now: Moment) -> Ledger {
    let mut ledger = Ledger::new(1, first_start, now);
    divide(&mut ledger, own, all, now);
    ledger
}

fn divide(ledger: &mut Ledger, own: &str, all: &[&str], now: Moment) {
    ledger.divide(&endpoint(), SLOTS, Owners::new(own, all), 0, now);
}

fn acquire_all(ledger: &mut Ledger, now: Moment) -> usize {
    std::iter::from_fn(|| ledger.acquire("i-a", now)).count()
}

/// Hands a notice to its receiver, the instance at `to`, from the one at `from`.
fn deliver(ledger: &mut Ledger, from: IpAddr, sent: &Outgoing, now: Moment) -> Option<Outgoing> {
    ledger.handle(from, sent.notice, (&sent.endpoint, sent.id), 0, now)
}

/// Guards against shares that together exceed the slots of an endpoint, or leave some unused.
#[gtest]
fn shares_add_up_to_the_slots() {
    for count in [1, 2, 3, 6, 74, 330] {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let all: Vec<&str> = names.iter().map(|name| &**name).collect();
        let taken = all.iter().map(|own| {
            let mut ledger = ledger(own, &all, true, Moment(0));
            acquire_all(&mut ledger, Moment(0))
        });
        expect_that!(taken.sum::<usize>(), eq(SLOTS as usize));
    }
}

/// Guards against slots that are used while their previous owner may still use them.
#[gtest]
fn slots_that_move_are_used_later() {
    let mut ledger = ledger("a", &["a", "b"], true, Moment(0));
    divide(&mut ledger, "a", &["a"], Moment(5_000));
    expect_that!(acquire_all(&mut ledger, Moment(5_999)), eq(2));
    expect_that!(acquire_all(&mut ledger, Moment(6_000)), eq(2));
}

/// Guards against a process that starts and uses slots in which its predecessor's requests still run.
#[gtest]
fn restarted_instance_waits() {
    let ledger = ledger("a", &["a", "b"], false, Moment(0));
    expect_that!(ledger.has_free("i-a", Moment(999)), eq(false));
    expect_that!(ledger.has_free("i-a", Moment(1_000)), eq(true));
}

/// Guards against requests from before the division that are not counted.
#[gtest]
fn earlier_requests_use_slots() {
    let mut ledger = Ledger::new(1, true, Moment(0));
    ledger.divide(&endpoint(), SLOTS, Owners::new("a", &["a"]), 6, Moment(0));
    for _ in 0..2 {
        ledger.release(&endpoint(), None, Ending::Known, Moment(10));
    }
    expect_that!(ledger.has_free("i-a", Moment(10)), eq(false));
    ledger.release(&endpoint(), None, Ending::Known, Moment(20));
    expect_that!(ledger.has_free("i-a", Moment(20)), eq(true));
}

/// Guards against a slot that counts as in use for good, as its request began with a loan before the slots were divided anew.
#[gtest]
fn loan_of_an_earlier_division_is_released() {
    let (_, mut borrower, permit) = lent();
    borrower.retain(|_| false);
    let owners = Owners::new("b", &["b"]);
    borrower.divide(&endpoint(), 1, owners, 1, Moment(10_000));
    expect_that!(borrower.has_free("i-a", Moment(10_000)), eq(false));
    borrower.release(&endpoint(), Some(permit), Ending::Known, Moment(10_010));
    expect_that!(borrower.has_free("i-a", Moment(10_010)), eq(true));
}

/// Guards against a slot that is used again while the endpoint may still run the last request.
#[gtest]
fn slot_with_unknown_ending_lingers() {
    let mut ledger = ledger("a", &["a"], true, Moment(0));
    let permit = ledger.acquire("i-a", Moment(0));
    ledger.release(&endpoint(), permit, Ending::Unknown, Moment(100));
    expect_that!(acquire_all(&mut ledger, Moment(599)), eq(3));
    expect_that!(acquire_all(&mut ledger, Moment(600)), eq(1));
}

/// Requests a loan from the only owner, `a`.
fn request_one(borrower: &mut Ledger, now: Moment) -> Outgoing {
    let requests = borrower.request_loans(&[endpoint()], 1, "seed", |_| Some(A), now);
    requests.into_iter().next().expect("a request")
}

/// Creates the ledger of a borrower whose first loan has a number.
fn numbered(first_id: u64) -> Ledger {
    let mut borrower = Ledger::new(first_id, true, Moment(0));
    divide(&mut borrower, "b", &["a"], Moment(0));
    borrower
}

/// Returns the ledgers of a lender and a borrower without own slots, after a loan.
fn lent() -> (Ledger, Ledger, Permit) {
    let mut lender = ledger("a", &["a"], true, Moment(0));
    let mut borrower = ledger("b", &["a"], true, Moment(0));
    let request = request_one(&mut borrower, Moment(0));
    let grant = deliver(&mut lender, B, &request, Moment(1)).expect("a reply");
    expect_that!(grant.notice, eq(Notice::Grant));
    expect_that!(deliver(&mut borrower, A, &grant, Moment(2)), none());
    let permit = borrower.acquire("i-a", Moment(2)).expect("a borrowed slot");
    (lender, borrower, permit)
}

/// Guards against a slot that lender and borrower use at the same time.
#[gtest]
fn lent_slot_is_used_once() {
    let (mut lender, mut borrower, permit) = lent();
    expect_that!(borrower.has_free("i-a", Moment(2)), eq(false));
    expect_that!(acquire_all(&mut lender, Moment(2)), eq(3));
    borrower.release(&endpoint(), Some(permit), Ending::Known, Moment(150));
    let returned = borrower.return_free(&endpoint());
    expect_that!(returned, len(eq(1)));
    expect_that!(lender.has_free("i-a", Moment(151)), eq(false));
    deliver(&mut lender, B, &returned[0], Moment(151));
    expect_that!(lender.has_free("i-a", Moment(151)), eq(true));
    expect_that!(borrower.has_free("i-a", Moment(151)), eq(false));
}

/// Guards against loans that end under long requests, or never end if the borrower is gone.
#[gtest]
fn loan_lasts_while_it_is_renewed() {
    let (mut lender, mut borrower, _permit) = lent();
    expect_that!(acquire_all(&mut lender, Moment(2)), eq(3));
    let mut last = Moment(0);
    for at in (300..6_000).step_by(300).map(Moment) {
        for renewal in borrower.tick(at) {
            expect_that!(renewal.notice, eq(Notice::Renewal));
            deliver(&mut lender, B, &renewal, at);
            last = at;
        }
        expect_that!(lender.has_free("i-a", at), eq(false));
    }
    let end = last + LOAN_TTL;
    expect_that!(lender.has_free("i-a", Moment(end.0 - 1)), eq(false));
    expect_that!(lender.has_free("i-a", end), eq(true));
}

/// Guards against a lender that restarts and forgets its loans while they are in use.
#[gtest]
fn restarted_lender_learns_of_its_loans() {
    let (_, mut borrower, _permit) = lent();
    let mut lender = ledger("a", &["a"], false, Moment(200));
    for renewal in borrower.tick(Moment(400)) {
        deliver(&mut lender, B, &renewal, Moment(400));
    }
    expect_that!(acquire_all(&mut lender, Moment(1_299)), eq(3));
}

/// Guards against grants that arrive too late and are kept, or never returned.
#[gtest]
fn late_grants_are_returned() {
    let mut borrower = ledger("b", &["a"], true, Moment(0));
    let request = request_one(&mut borrower, Moment(0));
    let grant = Outgoing {
        to: B,
        notice: Notice::Grant,
        ..request
    };
    let reply = deliver(&mut borrower, A, &grant, Moment(0) + LOAN_TTL);
    expect_that!(reply.map(|reply| reply.notice), some(eq(Notice::Return)));
    expect_that!(borrower.has_free("i-a", Moment(1_500)), eq(false));
}

/// Guards against instances that request loans from a lender without a free slot again and again.
#[gtest]
fn refusing_lender_is_spared() {
    let mut borrower = ledger("b", &["a"], true, Moment(0));
    let request = request_one(&mut borrower, Moment(0));
    expect_that!(borrower.awaited_replies(Moment(1)), eq(1));
    let request_again = |borrower: &mut Ledger, at| {
        let requests = borrower.request_loans(&[endpoint()], 1, "seed", |_| Some(A), Moment(at));
        requests.len()
    };
    expect_that!(request_again(&mut borrower, 1), eq(0));
    let refusal = Outgoing::refusal(B, &request.endpoint, request.id);
    deliver(&mut borrower, A, &refusal, Moment(2));
    expect_that!(borrower.awaited_replies(Moment(2)), eq(0));
    expect_that!(request_again(&mut borrower, 61), eq(0));
    expect_that!(request_again(&mut borrower, 62), eq(1));
}

/// Guards against requests for loans that take the network while all slots are in use.
#[gtest]
fn requests_for_loans_are_rare() {
    let names: Vec<String> = (0..100).map(|number| format!("n{number}")).collect();
    let all: Vec<&str> = names.iter().map(|name| &**name).collect();
    let mut borrower = ledger("b", &all, true, Moment(0));
    let endpoints = [endpoint()];
    let mut sent_requests = 0;
    for at in (0..2_000).map(Moment) {
        for sent in borrower.request_loans(&endpoints, 50, "seed", |_| Some(A), at) {
            sent_requests += 1;
            let refusal = Outgoing::refusal(B, &sent.endpoint, sent.id);
            deliver(&mut borrower, A, &refusal, at);
        }
    }
    expect_that!(sent_requests, all![ge(40), le(121)]);
}

/// Guards against slots that are lent although other requests use them, or twice to a borrower whose request was repeated.
#[gtest]
fn only_free_slots_are_lent() {
    let mut lender = ledger("a", &["a"], true, Moment(0));
    let mut borrower = ledger("b", &["a"], true, Moment(0));
    let request = request_one(&mut borrower, Moment(0));
    for _ in 0..2 {
        deliver(&mut lender, B, &request, Moment(1));
    }
    expect_that!(acquire_all(&mut lender, Moment(1)), eq(3));
    let other = request_one(&mut numbered(2), Moment(1));
    let reply = deliver(&mut lender, B, &other, Moment(2)).expect("a reply");
    expect_that!(reply.notice, eq(Notice::Queued));
    expect_that!(lender.grant_queued(&endpoint(), Moment(3)), is_empty());
    lender.release(&endpoint(), Some(Permit::Own), Ending::Known, Moment(4));
    let grants = lender.grant_queued(&endpoint(), Moment(4));
    expect_that!(grants, elements_are![field!(&Outgoing.id, eq(other.id))]);
    expect_that!(lender.has_free("i-a", Moment(4)), eq(false));
}

/// Guards against requests for loans that wait without bound, or are granted when nobody waits any more.
#[gtest]
fn waits_for_loans_are_bounded() {
    let mut lender = ledger("a", &["a"], true, Moment(0));
    acquire_all(&mut lender, Moment(0));
    let mut notices = Vec::new();
    for number in 0..7 {
        let request = request_one(&mut numbered(number), Moment(0));
        let reply = deliver(&mut lender, B, &request, Moment(1));
        notices.extend(reply.map(|reply| reply.notice));
    }
    let queued = notices.iter().filter(|notice| **notice == Notice::Queued);
    expect_that!(queued.count(), eq(6));
    expect_that!(notices.last(), some(eq(&Notice::Refusal)));
    lender.release(&endpoint(), Some(Permit::Own), Ending::Known, Moment(201));
    expect_that!(lender.grant_queued(&endpoint(), Moment(201)), is_empty());
    expect_that!(lender.has_free("i-a", Moment(201)), eq(true));
}
