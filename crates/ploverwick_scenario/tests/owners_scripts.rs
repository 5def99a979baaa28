//! Runs the scripted scenarios in `tests/owners`.

mod common;

#[test]
fn owners_scripts() {
    common::run_scripts("tests/owners", ploverwick_scenario::script::owners);
}
