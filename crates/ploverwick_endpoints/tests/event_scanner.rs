//! The position in a stream is known after each byte, whatever its line ends and its pieces are.

use googletest::prelude::*;
use ploverwick_endpoints::EventScanner;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn event(number: usize, line_end: &str) -> String {
    format!("id: {number}{line_end}data: e{number}{line_end}{line_end}")
}

fn scanned(bytes: &[u8], piece: usize) -> (EventScanner, usize, usize) {
    let mut scanner = EventScanner::default();
    let (mut events, mut end) = (0, 0);
    for (index, piece_bytes) in bytes.chunks(piece).enumerate() {
        let scan = scanner.scan(piece_bytes);
        events += scan.events;
        end = scan.end.map_or(end, |at| index * piece + at);
    }
    (scanner, events, end)
}

#[gtest]
fn cut_at_each_byte() {
    for line_end in LINE_ENDS {
        let text: String = (0..3).map(|number| event(number, line_end)).collect();
        let ends: Vec<usize> = (1..=3)
            .map(|count| (0..count).map(|n| event(n, line_end).len()).sum())
            .collect();
        for cut in 0..=text.len() {
            for piece in 1..=text.len() {
                let (scanner, ..) = scanned(&text.as_bytes()[..cut], piece);
                let is_between_events = cut == 0 || ends.contains(&cut);
                expect_that!(
                    scanner.is_inside_event(),
                    eq(!is_between_events),
                    "{line_end:?}, cut at {cut}, pieces of {piece}"
                );
            }
        }
    }
}

#[gtest]
fn events_are_counted_once() {
    for line_end in ["\n", "\r\n"] {
        let text: String = (0..3).map(|number| event(number, line_end)).collect();
        for piece in 1..=text.len() {
            let (_, events, end) = scanned(text.as_bytes(), piece);
            expect_that!(
                (events, end),
                eq((3, text.len())),
                "{line_end:?}, pieces of {piece}"
            );
        }
    }
}

/// Guards against a CR that is taken for the end of an event while the LF after it is still to come.
#[gtest]
fn event_ends_after_crlf() {
    let mut scanner = EventScanner::default();
    expect_that!(scanner.scan(b"data: a\r\n\r").end, none());
    expect_that!(scanner.scan(b"\ndata").end, some(eq(1)));
}

#[gtest]
fn cr_ends_lines() {
    let mut scanner = EventScanner::default();
    expect_that!(scanner.scan(b"data: a\r\rdata: b\r").end, some(eq(9)));
    expect_that!(scanner.is_inside_event(), eq(true));
}

#[gtest]
fn comments_are_events() {
    let mut scanner = EventScanner::default();
    let scan = scanner.scan(b": keep-alive\n\n");
    expect_that!(scan.events, eq(1));
    expect_that!(scanner.is_inside_event(), eq(false));
}
