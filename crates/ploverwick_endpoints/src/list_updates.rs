//! Decides which entries of the endpoint list a reader sends to its peers.
//!
//! One instance of a failure domain reads the list for the others. All of them read it when a fleet starts, and
//! another one continues when the reader fails. Only what the peers do not know yet is sent: the whole list to all
//! instances from each new reader would take the links for seconds.

use std::collections::HashMap;
use std::sync::Arc;

use crate::Entry;

/// The entries of the list by identifier.
pub type Entries = HashMap<Arc<str>, Entry>;

/// What changed in the list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Update {
    /// The new entries and those with changed contents.
    pub changed: Vec<Entry>,
    /// The identifiers of the removed entries.
    pub removed: Vec<Arc<str>>,
}

/// The entries that the peers of a reader know.
#[derive(Debug, Default)]
pub struct Sender {
    known: Option<Entries>,
}

impl Sender {
    /// Starts to read for the peers.
    ///
    /// `entries` is the list as this instance knows it, if it does. The peers know the same: they received the same
    /// updates, and read the list themselves if its digest shows a difference.
    pub fn start(&mut self, entries: Option<Entries>) {
        self.known = entries;
    }

    /// Returns what to send after a read. Peers that know no list yet read it as a whole, so nothing of the first
    /// list is sent.
    pub fn update(&mut self, entries: Entries) -> Update {
        let known = self.known.get_or_insert_with(|| entries.clone());
        let changed = entries
            .values()
            .filter(|entry| known.get(&entry.id) != Some(*entry));
        let removed = known.keys().filter(|id| !entries.contains_key(*id));
        let update = Update {
            changed: changed.cloned().collect(),
            removed: removed.cloned().collect(),
        };
        *known = entries;
        update
    }
}
