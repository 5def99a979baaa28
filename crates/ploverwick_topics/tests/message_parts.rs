//! A message longer than a datagram arrives complete or not at all, in whatever order its parts arrive.

use std::net::{IpAddr, Ipv4Addr};

use googletest::prelude::*;
use ploverwick_topics::parts::{MAX_MESSAGE_BYTES, Reassembler, is_part, split};

const SENDER: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const DATAGRAM_BYTES: usize = 1_300;

fn message(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

#[gtest]
fn parts_reassemble_in_any_order() {
    let long = message(MAX_MESSAGE_BYTES);
    let mut parts = split(&long, DATAGRAM_BYTES);
    expect_true!(
        parts
            .iter()
            .all(|part| part.len() <= DATAGRAM_BYTES && is_part(part))
    );
    parts.reverse();
    let last = parts.pop().expect("a long message has parts");
    let mut reassembler = Reassembler::default();
    for part in &parts {
        expect_that!(reassembler.add_part(part, SENDER), none());
        // A duplicate part has no effect.
        expect_that!(reassembler.add_part(part, SENDER), none());
    }
    expect_that!(reassembler.add_part(&last, SENDER), some(eq(&long)));
}

#[gtest]
fn interleaved_messages_stay_separate() {
    let (one, two) = (message(3_000), vec![9; 3_000]);
    let parts = split(&one, DATAGRAM_BYTES)
        .into_iter()
        .zip(split(&two, DATAGRAM_BYTES));
    let mut reassembler = Reassembler::default();
    let mut whole = Vec::new();
    for (a, b) in parts {
        whole.extend(reassembler.add_part(&a, SENDER));
        whole.extend(reassembler.add_part(&b, SENDER));
    }
    expect_that!(whole, eq(&vec![one, two]));
}

/// Incomplete messages are evicted and malformed parts are ignored.
#[gtest]
fn incomplete_messages_are_evicted() {
    let mut reassembler = Reassembler::default();
    for number in 0..100 {
        let parts = split(&vec![number; 3_000], DATAGRAM_BYTES);
        expect_that!(reassembler.add_part(&parts[0], SENDER), none());
    }
    expect_that!(reassembler.add_part(&[0xff, 0, 0], SENDER), none());
    expect_that!(
        reassembler.add_part(&[0xff, 0, 0, 0, 1, 3, 2, 8], SENDER),
        none()
    );
    let first = split(&vec![0; 3_000], DATAGRAM_BYTES);
    expect_that!(reassembler.add_part(&first[1], SENDER), none());
    expect_that!(reassembler.add_part(&first[2], SENDER), none());
}

/// A sender that restarts does not continue its numbering. Parts of a message that it left unfinished must not
/// be combined with parts of a message sent after the restart.
#[gtest]
fn parts_before_restart_are_not_mixed() {
    let (earlier, later) = (vec![1; 3_000], vec![2; 3_000]);
    let (earlier, later_parts) = (
        split(&earlier, DATAGRAM_BYTES),
        split(&later, DATAGRAM_BYTES),
    );
    let mut reassembler = Reassembler::default();
    expect_that!(reassembler.add_part(&earlier[2], SENDER), none());
    expect_that!(reassembler.add_part(&later_parts[0], SENDER), none());
    expect_that!(reassembler.add_part(&later_parts[1], SENDER), none());
    expect_that!(
        reassembler.add_part(&later_parts[2], SENDER),
        some(eq(&later))
    );
    // A part that was corrupted in transit invalidates its message.
    let mut changed = earlier[0].clone();
    changed[20] ^= 1;
    expect_that!(reassembler.add_part(&changed, SENDER), none());
    expect_that!(reassembler.add_part(&earlier[1], SENDER), none());
    expect_that!(reassembler.add_part(&earlier[2], SENDER), none());
}
