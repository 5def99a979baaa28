//! Tests what an instance may hold for its clients.

use googletest::prelude::*;
use ploverwick_limits::memory::{Admission, ClientMemory};

const MEMORY: u64 = 256 * 1_024 * 1_024;

/// Guards against requests that take an instance beyond its memory limit.
#[googletest::test]
fn requests_are_refused_without_room() {
    let mut memory = ClientMemory::within(MEMORY);
    let half = memory.limit() / 2;
    expect_that!(memory.admit(half), eq(Admission::Accept));
    expect_that!(memory.admit(half), eq(Admission::Accept));
    expect_that!(memory.admit(1), matches_pattern!(Admission::Refuse(_)));
    expect_that!(memory.held(), le(MEMORY / 4));
    memory.release(half);
    expect_that!(memory.admit(1), eq(Admission::Accept));
}

/// Guards against a client that does not read and takes the room of the others.
#[googletest::test]
fn unread_answer_waits_for_its_client() {
    let mut memory = ClientMemory::within(MEMORY);
    memory.hold(memory.client_limit());
    expect_that!(memory.may_read(memory.client_limit()), eq(false));
    expect_that!(memory.may_read(1), eq(true));
}

/// Guards against clients that read and get nothing while others fill the memory.
#[googletest::test]
fn read_answer_progresses_without_room() {
    let mut memory = ClientMemory::within(MEMORY);
    memory.hold(memory.limit());
    expect_that!(memory.may_read(0), eq(true));
    expect_that!(memory.may_read(1), eq(false));
}
