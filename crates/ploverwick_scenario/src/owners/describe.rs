//! Descriptions of records and messages, as printed in the output of scripts.

use ploverwick_owner::record::Record;

use super::Message;

/// Describes a record of the log.
pub(super) fn record(record: &Record) -> String {
    match record {
        Record::Claim { life, .. } => format!("claim by {life}"),
        Record::Release { life, .. } => format!("release by {life}"),
        Record::Quit { life, .. } => format!("quit by {life}"),
        Record::Intent { life, variant, .. } => {
            format!("intent by {life} to unload {}", variant.adapter)
        }
        Record::Outcome { life, variant, .. } => {
            format!("outcome by {life} for {}", variant.adapter)
        }
    }
}

/// Describes a message to the engine.
pub(super) fn message(message: &Message) -> String {
    match message {
        Message::Run(request, variant) => format!("run {request} on {}", variant.adapter),
        Message::Load(variant, token) => format!("load {} token {token}", variant.adapter),
        Message::Unload(variant, token) => format!("unload {} token {token}", variant.adapter),
        Message::Fence(token) => format!("token {token}"),
    }
}
