//! Splits records and list changes into messages.

use std::sync::Arc;

use ploverwick_endpoints::Entry;
use ploverwick_topics::{Position, parts};

use crate::messages::Message;
use crate::topics::{Batch, RelayedRecord, Topic};

/// The maximum size of the records in one message, which is split into as many datagrams as it needs. A
/// configuration takes a few kilobytes; each instance reads longer records from the store itself.
const MAX_BATCH_BYTES: usize = parts::MAX_MESSAGE_BYTES - RECORD_OVERHEAD_BYTES;
/// The maximum size of a record's integers and lengths in a message, including its share of the message
/// header: five integers of up to ten bytes each.
const RECORD_OVERHEAD_BYTES: usize = 50;
/// The maximum number of entries of the list of endpoints in one message.
const MAX_ENTRIES_PER_MESSAGE: usize = 8;

/// Splits changes to the list of endpoints into messages. The digest matches the receiver's list only after
/// the last message.
pub(super) fn endpoint_list_messages(
    mut changed: Vec<Entry>,
    mut removed: Vec<Arc<str>>,
    digest: u64,
) -> Vec<Message> {
    let mut messages = Vec::new();
    loop {
        let rest = changed.split_off(changed.len().min(MAX_ENTRIES_PER_MESSAGE));
        messages.push(Message::EndpointListUpdate {
            changed: std::mem::replace(&mut changed, rest),
            removed: std::mem::take(&mut removed),
            digest,
        });
        if changed.is_empty() {
            return messages;
        }
    }
}

/// Splits records into messages of bounded size. A record that does not fit into a message ends the sequence
/// with [`Message::TopicEnd`].
pub(super) fn record_messages(
    topic: Topic,
    from: Position,
    next: Position,
    records: Vec<RelayedRecord>,
) -> Vec<Message> {
    let mut messages = Vec::new();
    let mut batch = Batch {
        topic,
        from,
        next,
        records: Vec::new(),
    };
    let mut bytes = 0;
    for record in records {
        let record_len = record_bytes(&record);
        if bytes + record_len > MAX_BATCH_BYTES && !batch.records.is_empty() {
            let rest = Batch {
                topic,
                from: from.with_offset(record.offset),
                next,
                records: Vec::new(),
            };
            let mut full = std::mem::replace(&mut batch, rest);
            full.next = from.with_offset(record.offset);
            messages.push(Message::Records(full));
            bytes = 0;
        }
        if record_len > MAX_BATCH_BYTES {
            messages.push(Message::TopicEnd { topic, end: next });
            return messages;
        }
        bytes += record_len;
        batch.records.push(record);
    }
    messages.push(Message::Records(batch));
    messages
}

/// Returns an upper bound on the encoded size of a record.
fn record_bytes(record: &RelayedRecord) -> usize {
    RECORD_OVERHEAD_BYTES + record.key.len() + record.value.as_ref().map_or(0, Vec::len)
}
