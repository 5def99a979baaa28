//! Cell precedence: which cell applies when several match a request.

use googletest::prelude::*;
use jiff::Timestamp;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::parse::parse;
use ploverwick_table::policy::{Policy, resolve};

const TABLE: &str = "\
name,group,weight,weight[lac],weight[08:00-10:30 Africa/Tunis],weight[lac 08:00-10:30 Africa/Tunis],priority,limit
*,,1,2,3,4,1,1000
group:exams,,5,,,,7,100
hint,exams,,,,9,,10
essay,,,,,,,
";

fn policy(adapter: &str, hall: &str, at: &str) -> Policy {
    let table = parse(TABLE).expect("the table is valid");
    let adapter = Adapter::new(adapter).expect("the name is valid");
    let hall = Hall::new(hall).expect("the name is valid");
    let at: Timestamp = at.parse().expect("the timestamp is valid");
    resolve(&table, &adapter, Some(&hall), at).expect("a row covers the adapter")
}

/// 08:30 in Tunis, which is one hour ahead of UTC.
const MORNING: &str = "2026-12-02T07:30:00Z";
const EVENING: &str = "2026-12-02T18:00:00Z";

#[gtest]
fn more_specific_column_wins() {
    expect_that!(policy("essay", "ariana", EVENING).weight, eq(1.0));
    expect_that!(policy("essay", "lac", EVENING).weight, eq(2.0));
    expect_that!(policy("essay", "ariana", MORNING).weight, eq(3.0));
    expect_that!(policy("essay", "lac", MORNING).weight, eq(4.0));
}

#[gtest]
fn more_specific_row_wins_over_column() {
    // The group's cell without a selector takes precedence over the more specific columns of `*`.
    expect_that!(policy("hint", "lac", EVENING).weight, eq(5.0));
    expect_that!(policy("hint", "lac", MORNING).weight, eq(9.0));
    expect_that!(policy("hint", "lac", MORNING).priority, eq(7));
}

#[gtest]
fn limits_of_all_rows_apply() {
    let rates: Vec<f64> = policy("hint", "lac", EVENING)
        .limits
        .iter()
        .map(|limit| limit.rate)
        .collect();
    expect_that!(rates, elements_are![eq(&10.0), eq(&100.0), eq(&1000.0)]);
}

#[gtest]
fn window_start_is_inclusive_and_end_exclusive() {
    let weight = |at| policy("essay", "ariana", at).weight;
    expect_that!(weight("2026-12-02T06:59:59Z"), eq(1.0));
    expect_that!(weight("2026-12-02T07:00:00Z"), eq(3.0));
    expect_that!(weight("2026-12-02T09:29:59Z"), eq(3.0));
    expect_that!(weight("2026-12-02T09:30:00Z"), eq(1.0));
}

#[gtest]
fn window_spans_midnight() {
    let table = parse("name,weight[22:00-06:00]\n*,3\n").expect("the table is valid");
    let adapter = Adapter::new("a").expect("the name is valid");
    let weight = |at: &str| {
        let at: Timestamp = at.parse().expect("the timestamp is valid");
        resolve(&table, &adapter, None, at).map(|policy| policy.weight)
    };
    expect_that!(weight("2026-12-02T23:00:00Z"), some(eq(3.0)));
    expect_that!(weight("2026-12-02T05:59:00Z"), some(eq(3.0)));
    expect_that!(weight("2026-12-02T06:00:00Z"), some(eq(1.0)));
}

#[gtest]
fn adapter_without_row_has_no_policy() {
    let table = parse("name,weight\na,1\n").expect("the table is valid");
    let other = Adapter::new("b").expect("the name is valid");
    expect_that!(resolve(&table, &other, None, Timestamp::UNIX_EPOCH), none());
}
