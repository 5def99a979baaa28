//! A message longer than a datagram comes whole or not at all, in whatever order its parts come.

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use ploverwick_topics::parts::{Assembly, LONGEST, cut, is_part};

const FROM: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const SIZE: usize = 1_300;

fn message(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

#[gtest]
fn whole_in_any_order() {
    let long = message(LONGEST);
    let mut parts = cut(&long, SIZE);
    expect_true!(parts.iter().all(|part| part.len() <= SIZE && is_part(part)));
    parts.reverse();
    let last = parts.pop().expect("a long message has parts");
    let mut assembly = Assembly::default();
    for part in &parts {
        expect_that!(assembly.take(part, FROM), none());
        // A part that comes twice adds nothing.
        expect_that!(assembly.take(part, FROM), none());
    }
    expect_that!(assembly.take(&last, FROM), some(eq(&long)));
}

#[gtest]
fn messages_keep_apart() {
    let (one, two) = (message(3_000), vec![9; 3_000]);
    let parts = cut(&one, SIZE).into_iter().zip(cut(&two, SIZE));
    let mut assembly = Assembly::default();
    let mut whole = Vec::new();
    for (a, b) in parts {
        whole.extend(assembly.take(&a, FROM));
        whole.extend(assembly.take(&b, FROM));
    }
    expect_that!(whole, eq(&vec![one, two]));
}

/// What is missing is not waited for without end, and odd parts are passed over.
#[gtest]
fn lost_parts_are_let_go() {
    let mut assembly = Assembly::default();
    for number in 0..100 {
        let parts = cut(&vec![number; 3_000], SIZE);
        expect_that!(assembly.take(&parts[0], FROM), none());
    }
    expect_that!(assembly.take(&[0xff, 0, 0], FROM), none());
    expect_that!(assembly.take(&[0xff, 0, 0, 0, 1, 3, 2, 8], FROM), none());
    let first = cut(&vec![0; 3_000], SIZE);
    expect_that!(assembly.take(&first[1], FROM), none());
    expect_that!(assembly.take(&first[2], FROM), none());
}

/// A process that starts again numbers nothing as its earlier life did: what that one left unfinished is not
/// put together with what comes now.
#[gtest]
fn lives_keep_apart() {
    let (earlier, later) = (vec![1; 3_000], vec![2; 3_000]);
    let (earlier, later_parts) = (cut(&earlier, SIZE), cut(&later, SIZE));
    let mut assembly = Assembly::default();
    expect_that!(assembly.take(&earlier[2], FROM), none());
    expect_that!(assembly.take(&later_parts[0], FROM), none());
    expect_that!(assembly.take(&later_parts[1], FROM), none());
    expect_that!(assembly.take(&later_parts[2], FROM), some(eq(&later)));
    // A part that was changed on the way spoils its message.
    let mut changed = earlier[0].clone();
    changed[20] ^= 1;
    expect_that!(assembly.take(&changed, FROM), none());
    expect_that!(assembly.take(&earlier[1], FROM), none());
    expect_that!(assembly.take(&earlier[2], FROM), none());
}
