//! Replays the log's table stream and decides which patches are accepted.
//!
//! Replay is deterministic: every reader applies the same records in the same order and reaches
//! the same verdicts. Concurrency control is optimistic. A [`Patch`] names its base version and is
//! accepted if that is the newest version, or if none of the rows it edits has changed since. The
//! version of an accepted patch is its offset in the log, so versions increase monotonically.
//!
//! Records expire from the log, so a [`Snapshot`] is appended periodically. A reader that has
//! missed records loads a snapshot and replays the records after it.

use std::collections::BTreeMap;
use std::sync::Arc;

use ploverwick_codes::diagnostic::Rule;
use ploverwick_names::Offset;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::patch::{self, Edit};
use crate::{Subject, Table, parse};

/// The version before the first accepted patch.
pub const NO_VERSION: Offset = Offset(0);

/// A record of the table stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A patch published by an operator.
    Patch(Patch),
    /// A copy of the state after all records so far.
    Snapshot(Snapshot),
}

/// A set of edits published by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// A unique identifier, used to find the patch in the log after the response to its append was
    /// lost.
    pub id: String,
    /// The operator who published the patch.
    pub author: String,
    /// The version that the edits are based on.
    pub base: Offset,
    /// The edited rows.
    pub edits: Vec<Edit>,
}

/// A copy of the state of a [`History`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the table.
    pub version: Offset,
    /// The last offset included in the snapshot.
    pub through: Offset,
    /// The table as CSV.
    pub csv: String,
    /// The version of each row's last change, including rows that have been removed.
    pub changed: Vec<Changed>,
}

/// The last change of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    /// The row.
    pub subject: Subject,
    /// The version of the change.
    pub version: Offset,
}

/// The result of applying a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The patch was accepted as this version.
    Accepted(Offset),
    /// The patch was rejected: rows that it edits have changed since its base version.
    Clash(Vec<Changed>),
    /// The patch was rejected: the resulting table would violate a rule.
    Invalid(Rule),
    /// The patch was rejected: its base is newer than the current version.
    BaseUnknown,
    /// The patch is held back until a snapshot covers the missing records.
    Deferred,
    /// The snapshot replaced the current state.
    Adopted(Offset),
    /// The snapshot has the current version but different content, which indicates a bug in replay.
    Diverged,
    /// The record has no effect.
    Ignored,
}

/// The state replayed from the table stream.
#[derive(Debug, Clone, Default)]
pub struct History {
    table: Arc<Table>,
    version: Offset,
    through: Offset,
    changed: BTreeMap<Subject, Offset>,
    /// The gap in the records read, if any.
    gap: Option<Gap>,
}

/// A run of missing records.
#[derive(Debug, Clone)]
struct Gap {
    /// The first offset read after the gap.
    first: Offset,
    /// The patches read since, held back until a snapshot covers the gap.
    deferred: Vec<(Offset, Patch)>,
}

impl History {
    /// Returns the current table.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the current version, or [`NO_VERSION`] before the first accepted patch.
    pub fn version(&self) -> Offset {
        self.version
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> Offset {
        Offset(self.through.0 + 1)
    }

    /// Returns whether records are missing, so that patches cannot be evaluated.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Creates a snapshot for readers that have missed records.
    pub fn snapshot(&self) -> Snapshot {
        let changed = self.changed.iter().map(|(subject, version)| Changed {
            subject: subject.clone(),
            version: *version,
        });
        Snapshot {
            version: self.version,
            through: self.through,
            csv: parse::write(&self.table),
            changed: changed.collect(),
        }
    }

    /// Applies the next record of the stream; records already read are ignored.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset <= self.through {
            return Verdict::Ignored;
        }
        self.advance(offset);
        match record {
            Record::Patch(patch) => self.apply_patch(offset, patch),
            Record::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
    }

    /// Skips a record that cannot be decoded.
    pub fn skip(&mut self, offset: Offset) {
        if offset > self.through {
            self.advance(offset);
        }
    }

    /// Advances to the record at `offset`, opening a gap if records before it are missing. A second
    /// gap replaces the first, because patches held back between the two can no longer be
    /// evaluated.
    fn advance(&mut self, offset: Offset) {
        if offset != self.next() {
            self.gap = Some(Gap {
                first: offset,
                deferred: Vec::new(),
            });
        }
        self.through = offset;
    }

    /// Replaces the state with a snapshot from a peer, if the snapshot is newer and covers any gap.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Verdict {
        let useful = match &self.gap {
            Some(gap) => snapshot.through.0 + 1 >= gap.first.0,
            None => snapshot.through > self.through,
        };
        if !useful || snapshot.version < self.version {
            return Verdict::Ignored;
        }
        self.replace(snapshot)
    }

    fn apply_patch(&mut self, offset: Offset, patch: &Patch) -> Verdict {
        match &mut self.gap {
            Some(gap) => {
                gap.deferred.push((offset, patch.clone()));
                Verdict::Deferred
            }
            None => self.evaluate(offset, patch),
        }
    }

    fn evaluate(&mut self, offset: Offset, patch: &Patch) -> Verdict {
        if patch.base > self.version {
            return Verdict::BaseUnknown;
        }
        let clashes = self.clashes(patch);
        if !clashes.is_empty() {
            return Verdict::Clash(clashes);
        }
        let mut table = (*self.table).clone();
        if let Err(rule) = patch::apply(&mut table, &patch.edits) {
            return Verdict::Invalid(rule);
        }
        self.table = Arc::new(table);
        self.version = offset;
        for edit in &patch.edits {
            self.changed.insert(edit.subject.clone(), offset);
        }
        Verdict::Accepted(offset)
    }

    fn clashes(&self, patch: &Patch) -> Vec<Changed> {
        let edits = patch.edits.iter();
        edits
            .filter_map(|edit| {
                let version = *self.changed.get(&edit.subject)?;
                (version > patch.base).then(|| Changed {
                    subject: edit.subject.clone(),
                    version,
                })
            })
            .collect()
    }

    fn apply_snapshot(&mut self, snapshot: &Snapshot) -> Verdict {
        match &self.gap {
            // A snapshot covers the gap only if every record after the snapshot has been read.
            Some(gap) if snapshot.through.0 + 1 >= gap.first.0 => self.replace(snapshot),
            None if snapshot.version == self.version && !self.has_same_content(snapshot) => {
                Verdict::Diverged
            }
            Some(_) | None => Verdict::Ignored,
        }
    }

    fn has_same_content(&self, snapshot: &Snapshot) -> bool {
        let own = parse::write(&self.table);
        xxh3_64(own.as_bytes()) == xxh3_64(snapshot.csv.as_bytes())
    }

    fn replace(&mut self, snapshot: &Snapshot) -> Verdict {
        let table = if snapshot.csv.trim().is_empty() {
            Table::default()
        } else {
            match parse::parse(&snapshot.csv) {
                Ok(table) => table,
                Err(diagnostics) => {
                    let rule = diagnostics
                        .first()
                        .map_or(Rule::NotCsv, |diagnostic| diagnostic.rule);
                    return Verdict::Invalid(rule);
                }
            }
        };
        let deferred = self.gap.take().map(|gap| gap.deferred).unwrap_or_default();
        self.table = Arc::new(table);
        self.version = snapshot.version;
        self.through = self.through.max(snapshot.through);
        let changed = snapshot.changed.iter();
        self.changed = changed
            .map(|row| (row.subject.clone(), row.version))
            .collect();
        for (offset, patch) in deferred {
            if offset > snapshot.through {
                self.evaluate(offset, &patch);
            }
        }
        Verdict::Adopted(self.version)
    }
}
