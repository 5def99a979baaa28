//! Records and lists cut into messages.

use std::sync::Arc;

use ploverwick_endpoints::Entry;
use ploverwick_topics::{Position, parts};

use crate::messages::Message;
use crate::topics::{Batch, RelayedRecord, Topic};

/// The bytes of records in one message, which is cut into as many datagrams as it needs. A configuration
/// takes some kilobytes; longer records each instance reads itself.
const LONGEST_BATCH: usize = parts::MAX_MESSAGE_BYTES - HEADS;
/// The bytes of a record's numbers and lengths in a message, and its part of the message's own: five
/// numbers of up to ten bytes.
const HEADS: usize = 50;
/// Lines of the list of endpoints in one message.
const ENTRIES: usize = 8;

/// Cuts lines of the list of endpoints into messages; the digest fits once the last one has arrived.
pub(super) fn of_list(
    mut changed: Vec<Entry>,
    mut gone: Vec<Arc<str>>,
    digest: u64,
) -> Vec<Message> {
    let mut out = Vec::new();
    loop {
        let rest = changed.split_off(changed.len().min(ENTRIES));
        out.push(Message::RosterUpdate {
            changed: std::mem::replace(&mut changed, rest),
            removed: std::mem::take(&mut gone),
            digest,
        });
        if changed.is_empty() {
            return out;
        }
    }
}

/// Cuts records into messages that are short enough.
pub(super) fn of_records(
    topic: Topic,
    from: Position,
    next: Position,
    records: Vec<RelayedRecord>,
) -> Vec<Message> {
    let mut out = Vec::new();
    let mut part = Batch {
        topic,
        from,
        next,
        records: Vec::new(),
    };
    let mut bytes = 0;
    for record in records {
        let length = record_bytes(&record);
        if bytes + length > LONGEST_BATCH && !part.records.is_empty() {
            let rest = Batch {
                topic,
                from: from.with_offset(record.offset),
                next,
                records: Vec::new(),
            };
            let mut full = std::mem::replace(&mut part, rest);
            full.next = from.with_offset(record.offset);
            out.push(Message::Records(full));
            bytes = 0;
        }
        if length > LONGEST_BATCH {
            out.push(Message::TopicEnd { topic, end: next });
            return out;
        }
        bytes += length;
        part.records.push(record);
    }
    out.push(Message::Records(part));
    out
}

/// Returns the most bytes that a record takes in a message.
fn record_bytes(record: &RelayedRecord) -> usize {
    HEADS + record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
