//! The table of result codes, and the classes with which attempts can end.

use googletest::prelude::*;
use ploverwick_codes::attempt::{Attempt, Refusal, Verdict};
use ploverwick_codes::{Class, Code};

#[gtest]
fn numbers_ascend() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    expect_that!(numbers.windows(2).all(|pair| pair[0] < pair[1]), eq(true));
    for code in Code::ALL {
        expect_that!(Code::from_number(code.number()), some(eq(*code)));
    }
}

#[gtest]
fn class_matches_number_range() {
    for code in Code::ALL {
        let class = match code.number() / 1000 {
            1 => Class::Ran,
            2 | 3 => Class::NotRun,
            _ => Class::MayHaveRun,
        };
        expect_that!(code.class(), eq(class), "{code}");
    }
}

#[gtest]
fn refusal_requires_not_run_class() {
    for code in Code::ALL {
        let refusal = Refusal::decode(*code, String::new(), None);
        expect_that!(refusal.is_some(), eq(code.class() == Class::NotRun));
    }
}

#[test]
#[should_panic(expected = "a sent attempt may have run")]
fn sent_attempt_cannot_end_as_not_run() {
    let _ = Attempt::new().send().fail(Code::Overloaded, "");
}

#[test]
#[should_panic(expected = "an unsent attempt did not run")]
fn unsent_attempt_cannot_end_as_run() {
    let _ = Attempt::new().refuse(Code::Interrupted, "");
}

fn verdict(code: Code) -> Verdict {
    match code.class() {
        Class::NotRun => Attempt::new().refuse(code, ""),
        Class::MayHaveRun | Class::Ran => Attempt::new().send().fail(code, ""),
    }
}

#[gtest]
fn reports_earlier_attempt_that_may_have_run() {
    for earlier in Code::ALL {
        for later in Code::ALL {
            let combined = verdict(*later).after(verdict(*earlier));
            let refusals = [*earlier, *later].map(|code| code.class() == Class::NotRun);
            let expected = if refusals == [false, true] {
                earlier
            } else {
                later
            };
            expect_that!(combined.code(), eq(*expected), "{earlier}, then {later}");
        }
    }
}
