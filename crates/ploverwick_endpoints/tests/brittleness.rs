//! Which services are brittle, and how long their endpoints pause after a refusal.

use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use ploverwick_endpoints::brittleness::Statement;
use ploverwick_endpoints::{BrittleService, Brittleness};
use ploverwick_names::Moment;

const BRITTLE: Statement = Statement::Brittle { max_refusals: 3 };

/// Records an answer to a request that was sent just before.
fn record(brittleness: &mut Brittleness, statement: Statement, at: u64) -> bool {
    let service: Arc<str> = Arc::from("lm");
    brittleness.record_answer(&service, statement, Moment(at - 1), Moment(at))
}

#[gtest]
fn service_stays_brittle_while_answers_say_so() {
    let mut brittleness = Brittleness::default();
    expect_that!(record(&mut brittleness, BRITTLE, 1), eq(true));
    expect_that!(record(&mut brittleness, BRITTLE, 9_000), eq(false));
    expect_that!(brittleness.is_brittle("lm", Moment(38_999)), eq(true));
    expect_that!(brittleness.is_brittle("lm", Moment(39_000)), eq(false));
    expect_that!(brittleness.is_brittle("app", Moment(1)), eq(false));
}

/// Guards against single answers without the statement, which overtook others, and against a service that stays brittle for
/// long after its endpoints stopped saying so.
#[gtest]
fn answers_without_statement_end_it() {
    let mut brittleness = Brittleness::default();
    record(&mut brittleness, BRITTLE, 1_000);
    record(&mut brittleness, Statement::Sound, 4_000);
    expect_that!(brittleness.is_brittle("lm", Moment(4_000)), eq(true));
    record(&mut brittleness, Statement::Sound, 4_002);
    expect_that!(brittleness.is_brittle("lm", Moment(4_002)), eq(false));
}

/// Guards against late messages that make a sound service brittle again.
#[gtest]
fn messages_carry_the_age_of_the_statement() {
    let mut brittleness = Brittleness::default();
    let mut message = BrittleService {
        service: Arc::from("lm"),
        max_refusals: 3,
        age_ms: 2_000,
    };
    expect_that!(brittleness.apply(&message, Moment(5_000)), eq(true));
    expect_that!(brittleness.max_refusals("lm", Moment(5_000)), some(eq(3)));
    expect_that!(
        brittleness.messages(Duration::from_secs(1), Moment(5_000)),
        is_empty()
    );
    let all = brittleness.messages(Duration::MAX, Moment(5_000));
    expect_that!(all, elements_are![eq(&message)]);
    record(&mut brittleness, Statement::Sound, 7_000);
    expect_that!(brittleness.apply(&message, Moment(7_500)), eq(false));
    message.age_ms = 0;
    expect_that!(brittleness.apply(&message, Moment(7_500)), eq(true));
    message.age_ms = 30_000;
    let mut other = Brittleness::default();
    expect_that!(other.apply(&message, Moment(40_000)), eq(false));
}

/// Twice the pauses of a second allow no more refusals than the endpoint bears.
#[gtest]
fn pauses_keep_within_refusals() {
    for max_refusals in 0..200 {
        let pause = Brittleness::pause(max_refusals);
        expect_that!(pause, le(Duration::from_secs(1)));
        let refusals = 1.0 / pause.as_secs_f64();
        expect_that!(2.0 * refusals, le(f64::from(max_refusals.max(2)) + 1e-3));
    }
}
