//! Event streams are split into complete events, wherever the byte stream is cut into chunks.

use bytes::Bytes;
use googletest::prelude::*;
use ploverwick_ports::sse::{Splitter, events_after};
use proptest::prelude::*;

fn events(count: usize) -> String {
    let made = (1..=count).map(|index| format!("id: {index}\ndata: {{\"text\":\"t{index}\"}}\n\n"));
    made.collect()
}

#[gtest]
fn returns_events_after_a_number() {
    let all = Bytes::from(events(5));
    expect_that!(events_after(&all, 0), eq(&all));
    expect_that!(events_after(&all, 5).len(), eq(0));
    let rest = events_after(&all, 3);
    expect_that!(rest.starts_with(b"id: 4\n"), eq(true));
}

#[gtest]
fn refuses_an_oversized_event() {
    let mut splitter = Splitter::default();
    let piece = vec![b'x'; 1 << 19];
    expect_that!(splitter.push(&piece), ok(none()));
    expect_that!(splitter.push(&piece), ok(none()));
    expect_that!(splitter.push(&piece), err(anything()));
}

proptest! {
    #[test]
    fn splits_any_chunks_into_whole_events(count in 0_usize..12, cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let whole = events(count);
        let mut splitter = Splitter::default();
        let (mut joined, mut last, mut at) = (Vec::new(), 0, 0);
        for cut in cuts.iter().cycle() {
            if at >= whole.len() {
                break;
            }
            let end = whole.len().min(at + cut);
            if let Some(found) = splitter.push(&whole.as_bytes()[at..end]).expect("events are small") {
                prop_assert!(found.bytes.ends_with(b"\n\n"));
                joined.extend_from_slice(&found.bytes);
                last = found.last_id;
            }
            at = end;
        }
        prop_assert_eq!(joined, whole.into_bytes());
        prop_assert_eq!(last, count as u64);
        prop_assert_eq!(splitter.pending(), 0);
    }

    #[test]
    fn never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..300), number in any::<u64>()) {
        let mut splitter = Splitter::default();
        drop(splitter.push(&bytes));
        drop(events_after(&Bytes::from(bytes), number));
    }
}
