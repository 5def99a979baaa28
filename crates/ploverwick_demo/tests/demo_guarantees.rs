//! The demonstration violates no guarantee.

use googletest::prelude::*;
use ploverwick_demo::run::run;

#[tokio::test(flavor = "multi_thread")]
async fn no_guarantee_violated() {
    let (report, _fleet) = run(7).await.expect("the demonstration runs");
    let tally = &report.tally;
    assert_that!(tally.is_clean(), eq(true), "{tally:?}");
    assert_that!(tally.answered_whole, eq(tally.requests));
}
