//! A message longer than a datagram comes whole or not at all, in whatever order its parts come.

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use ploverwick_topics::parts::{MAX_MESSAGE_BYTES, Reassembler, is_part, split};

const FROM: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const SIZE: usize = 1_300;

fn message(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

#[gtest]
fn whole_in_any_order() {
    let long = message(MAX_MESSAGE_BYTES);
    let mut parts = split(&long, SIZE);
    expect_true!(parts.iter().all(|part| part.len() <= SIZE && is_part(part)));
    parts.reverse();
    let last = parts.pop().expect("a long message has parts");
    let mut reassembler = Reassembler::default();
    for part in &parts {
        expect_that!(reassembler.add_part(part, FROM), none());
        // A part that comes twice adds nothing.
        expect_that!(reassembler.add_part(part, FROM), none());
    }
    expect_that!(reassembler.add_part(&last, FROM), some(eq(&long)));
}

#[gtest]
fn messages_keep_apart() {
    let (one, two) = (message(3_000), vec![9; 3_000]);
    let parts = split(&one, SIZE).into_iter().zip(split(&two, SIZE));
    let mut reassembler = Reassembler::default();
    let mut whole = Vec::new();
    for (a, b) in parts {
        whole.extend(reassembler.add_part(&a, FROM));
        whole.extend(reassembler.add_part(&b, FROM));
    }
    expect_that!(whole, eq(&vec![one, two]));
}

/// What is missing is not waited for without end, and odd parts are passed over.
#[gtest]
fn lost_parts_are_let_go() {
    let mut reassembler = Reassembler::default();
    for number in 0..100 {
        let parts = split(&vec![number; 3_000], SIZE);
        expect_that!(reassembler.add_part(&parts[0], FROM), none());
    }
    expect_that!(reassembler.add_part(&[0xff, 0, 0], FROM), none());
    expect_that!(
        reassembler.add_part(&[0xff, 0, 0, 0, 1, 3, 2, 8], FROM),
        none()
    );
    let first = split(&vec![0; 3_000], SIZE);
    expect_that!(reassembler.add_part(&first[1], FROM), none());
    expect_that!(reassembler.add_part(&first[2], FROM), none());
}

/// A process that starts again numbers nothing as its earlier life did: what that one left unfinished is not
/// put together with what comes now.
#[gtest]
fn lives_keep_apart() {
    let (earlier, later) = (vec![1; 3_000], vec![2; 3_000]);
    let (earlier, later_parts) = (split(&earlier, SIZE), split(&later, SIZE));
    let mut reassembler = Reassembler::default();
    expect_that!(reassembler.add_part(&earlier[2], FROM), none());
    expect_that!(reassembler.add_part(&later_parts[0], FROM), none());
    expect_that!(reassembler.add_part(&later_parts[1], FROM), none());
    expect_that!(
        reassembler.add_part(&later_parts[2], FROM),
        some(eq(&later))
    );
    // A part that was changed on the way spoils its message.
    let mut changed = earlier[0].clone();
    changed[20] ^= 1;
    expect_that!(reassembler.add_part(&changed, FROM), none());
    expect_that!(reassembler.add_part(&earlier[1], FROM), none());
    expect_that!(reassembler.add_part(&earlier[2], FROM), none());
}
