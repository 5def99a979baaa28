//! Runs the scripted scenarios in `tests/claims`.

mod common;

#[test]
fn claims_scripts() {
    common::run_scripts("tests/claims", ploverwick_scenario::script::claims);
}
