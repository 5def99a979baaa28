//! The table of codes, and the classes that attempts can end with.

use googletest::prelude::*;
use ploverwick_codes::attempt::{Attempt, Refusal, Verdict};
use ploverwick_codes::{Class, Code};

#[gtest]
fn numbers_rise() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    expect_that!(numbers.windows(2).all(|pair| pair[0] < pair[1]), eq(true));
    for code in Code::ALL {
        expect_that!(Code::from_number(code.number()), some(eq(*code)));
    }
}

#[gtest]
fn class_by_thousand() {
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
fn refusal_needs_class() {
    for code in Code::ALL {
        let refusal = Refusal::decode(*code, String::new(), None);
        expect_that!(refusal.is_some(), eq(code.class() == Class::NotRun));
    }
}

#[test]
#[should_panic(expected = "a sent attempt may have run")]
fn sent_not_run() {
    let _ = Attempt::new().send().fail(Code::Overloaded, "");
}

#[test]
#[should_panic(expected = "an unsent attempt did not run")]
fn unsent_ran() {
    let _ = Attempt::new().refuse(Code::Interrupted, "");
}

fn ended(code: Code) -> Verdict {
    match code.class() {
        Class::NotRun => Attempt::new().refuse(code, ""),
        Class::MayHaveRun | Class::Ran => Attempt::new().send().fail(code, ""),
    }
}

#[gtest]
fn told_of_both() {
    for earlier in Code::ALL {
        for later in Code::ALL {
            let told = ended(*later).after(ended(*earlier));
            let refusals = [*earlier, *later].map(|code| code.class() == Class::NotRun);
            let due = if refusals == [false, true] {
                earlier
            } else {
                later
            };
            expect_that!(told.code(), eq(*due), "{earlier}, then {later}");
        }
    }
}
