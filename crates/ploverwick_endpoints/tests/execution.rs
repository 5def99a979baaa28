//! What proves that a request has not run.

use googletest::prelude::*;
use ploverwick_endpoints::Echo;
use ploverwick_endpoints::execution::{Answer, Execution, Sends, Sighting, Status};

const ECHOES: [Echo; 3] = [Echo::Own, Echo::Other, Echo::Absent];
const STATUSES: [Status; 3] = [Status::Misdirected, Status::Refusal, Status::Other];
const EITHER: [bool; 2] = [false, true];

/// Returns every answer that may be seen.
fn answers() -> Vec<Answer> {
    let mut answers = Vec::new();
    for echo in ECHOES {
        for status in STATUSES {
            for states_not_run in EITHER {
                for is_resent in EITHER {
                    answers.push(Answer {
                        echo,
                        status,
                        states_not_run,
                        is_resent,
                    });
                }
            }
        }
    }
    answers
}

/// Returns everything that may be seen of a send.
fn sightings() -> Vec<Sighting> {
    let answered = answers().into_iter().map(Sighting::Answered);
    let others = [Sighting::Unwritten, Sighting::Unanswered];
    others.into_iter().chain(answered).collect()
}

#[googletest::test]
fn only_own_refusals_prove() {
    let proofs = answers().into_iter().filter(|answer| {
        let seen = Sighting::Answered(*answer);
        Execution::of(seen) == Execution::NotRun
    });
    let own = |status, states_not_run| Answer {
        echo: Echo::Own,
        status,
        states_not_run,
        is_resent: false,
    };
    let expected = [
        own(Status::Misdirected, false),
        own(Status::Misdirected, true),
        own(Status::Refusal, true),
    ];
    expect_that!(proofs.collect::<Vec<_>>(), eq(&expected));
}

/// Guards against a promise for a request that was written to a connection, whatever became of it.
#[googletest::test]
fn silence_proves_nothing() {
    expect_that!(Execution::of(Sighting::Unwritten), eq(Execution::NotRun));
    expect_that!(Execution::of(Sighting::Unanswered), eq(Execution::Unknown));
}

/// Guards against a later refusal that hides an earlier send which may have run, and against a promise beside a send that has
/// not ended.
#[googletest::test]
fn promises_cover_all_sends() {
    for first in sightings() {
        for second in sightings() {
            for third in sightings() {
                let seen = [first, second, third];
                let mut sends = Sends::default();
                for seen in seen {
                    sends.begin();
                    expect_that!(sends.may_promise(), eq(false));
                    sends.end(seen);
                }
                let proofs = seen.map(Execution::of);
                let all_proved = proofs.iter().all(|of| *of == Execution::NotRun);
                expect_that!(sends.may_promise(), eq(all_proved));
            }
        }
    }
}
