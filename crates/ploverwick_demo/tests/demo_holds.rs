//! The demonstration keeps every promise.

use googletest::prelude::*;
use ploverwick_demo::run::run;

#[tokio::test(flavor = "multi_thread")]
async fn demo_holds() {
    let (report, _fleet) = run(7).await.expect("the demonstration runs");
    let tally = &report.tally;
    assert_that!(tally.is_clean(), eq(true), "{tally:?}");
    assert_that!(tally.answered_whole, eq(tally.requests));
}
