//! Which cell wins.

use googletest::prelude::*;
use jiff::Timestamp;
use ploverwick_names::{Adapter, Hall};
use ploverwick_table::parse::parse;
use ploverwick_table::terms::{Terms, resolve};

const TABLE: &str = "\
name,group,weight,weight[lac],weight[08:00-10:30 Africa/Tunis],weight[lac 08:00-10:30 Africa/Tunis],priority,limit
*,,1,2,3,4,1,1000
group:exams,,5,,,,7,100
hint,exams,,,,9,,10
essay,,,,,,,
";

fn terms(adapter: &str, hall: &str, at: &str) -> Terms {
    let table = parse(TABLE).expect("the table is good");
    let adapter = Adapter::new(adapter).expect("it is a name");
    let hall = Hall::new(hall).expect("it is a name");
    let at: Timestamp = at.parse().expect("it is a time");
    resolve(&table, &adapter, Some(&hall), at).expect("the table covers it")
}

/// 08:30 in Tunis, which is an hour ahead of UTC.
const MORNING: &str = "2026-12-02T07:30:00Z";
const EVENING: &str = "2026-12-02T18:00:00Z";

#[gtest]
fn column_order() {
    expect_that!(terms("essay", "ariana", EVENING).weight, eq(1.0));
    expect_that!(terms("essay", "lac", EVENING).weight, eq(2.0));
    expect_that!(terms("essay", "ariana", MORNING).weight, eq(3.0));
    expect_that!(terms("essay", "lac", MORNING).weight, eq(4.0));
}

#[gtest]
fn row_before_column() {
    // The group's plain cell wins over the more specific columns of '*'.
    expect_that!(terms("hint", "lac", EVENING).weight, eq(5.0));
    expect_that!(terms("hint", "lac", MORNING).weight, eq(9.0));
    expect_that!(terms("hint", "lac", MORNING).priority, eq(7));
}

#[gtest]
fn limits_add_up() {
    let rates: Vec<f64> = terms("hint", "lac", EVENING)
        .limits
        .iter()
        .map(|limit| limit.rate)
        .collect();
    expect_that!(rates, elements_are![eq(&10.0), eq(&100.0), eq(&1000.0)]);
}

#[gtest]
fn window_edges() {
    let weight = |at| terms("essay", "ariana", at).weight;
    expect_that!(weight("2026-12-02T06:59:59Z"), eq(1.0));
    expect_that!(weight("2026-12-02T07:00:00Z"), eq(3.0));
    expect_that!(weight("2026-12-02T09:29:59Z"), eq(3.0));
    expect_that!(weight("2026-12-02T09:30:00Z"), eq(1.0));
}

#[gtest]
fn over_midnight() {
    let table = parse("name,weight[22:00-06:00]\n*,3\n").expect("the table is good");
    let adapter = Adapter::new("a").expect("it is a name");
    let weight = |at: &str| {
        let at: Timestamp = at.parse().expect("it is a time");
        resolve(&table, &adapter, None, at).map(|terms| terms.weight)
    };
    expect_that!(weight("2026-12-02T23:00:00Z"), some(eq(3.0)));
    expect_that!(weight("2026-12-02T05:59:00Z"), some(eq(3.0)));
    expect_that!(weight("2026-12-02T06:00:00Z"), some(eq(1.0)));
}

#[gtest]
fn unlisted_adapter() {
    let table = parse("name,weight\na,1\n").expect("the table is good");
    let other = Adapter::new("b").expect("it is a name");
    expect_that!(resolve(&table, &other, None, Timestamp::UNIX_EPOCH), none());
}
