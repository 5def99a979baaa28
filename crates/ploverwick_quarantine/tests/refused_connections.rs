//! Whether an endpoint that refuses connections has crashed.

use googletest::prelude::*;
use ploverwick_quarantine::{Diagnosis, Observation};

/// Guards against counting a crash against requests whose connections were reset by a cut that also refuses new ones.
#[gtest]
fn reachable_elsewhere_is_no_crash() {
    for (are_links_up, is_repeated) in [(true, true), (true, false), (false, true), (false, false)]
    {
        let diagnosis = Observation::Accepts.diagnose_refusal(are_links_up, is_repeated);
        expect_that!(diagnosis, some(eq(Diagnosis::Listens)));
    }
}

/// Guards against trusting an instance that is cut off as well, before either knows.
#[gtest]
fn first_refusals_prove_nothing() {
    let fails = Observation::Fails;
    expect_that!(fails.diagnose_refusal(true, false), none());
    expect_that!(fails.diagnose_refusal(false, true), none());
    expect_that!(
        fails.diagnose_refusal(true, true),
        some(eq(Diagnosis::Refuses))
    );
    expect_that!(Observation::Unknown.diagnose_refusal(true, true), none());
}

/// Guards against counting the crash of an endpoint that had to turn requests away against those that it ran.
#[gtest]
fn refusals_explain_a_crash() {
    for diagnosis in [Diagnosis::Refuses, Diagnosis::Delisted] {
        let explained = diagnosis.after_refusals(1);
        expect_that!(explained, eq(Diagnosis::Overloaded));
        expect_that!(explained.is_crash(), eq(false));
        expect_that!(diagnosis.after_refusals(0).is_crash(), eq(true));
    }
    expect_that!(Diagnosis::Leaves.after_refusals(1), eq(Diagnosis::Leaves));
}

#[gtest]
fn single_instance_decides_alone() {
    let diagnosis = Observation::NoOther.diagnose_refusal(false, false);
    expect_that!(diagnosis, some(eq(Diagnosis::Refuses)));
}
