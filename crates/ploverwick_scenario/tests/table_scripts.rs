//! Runs the scripted scenarios in `tests/table`.

mod common;

#[test]
fn table_scripts() {
    common::run_scripts("tests/table", ploverwick_scenario::script::table);
}
