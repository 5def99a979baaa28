//! Decides which publications are accepted.
//!
//! Every reader of the log's table stream applies the same records in the same order and so comes
//! to the same verdicts. A [`Patch`] names the version that it was edited from. It is accepted if
//! that is the newest version, or if no row that it touches has changed since. The version of an
//! accepted patch is its offset in the log, so versions only rise.
//!
//! Records expire from the log. A [`Snapshot`] is appended from time to time; a reader that has
//! lost records adopts one and replays what follows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use ploverwick_codes::diagnostic::Rule;
use ploverwick_names::Offset;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::patch::{self, Edit};
use crate::{Subject, Table, parse};

/// The version of a history that has accepted nothing.
pub const NONE: Offset = Offset(0);

/// A record of the table stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A publication.
    Patch(Patch),
    /// A copy of everything accepted so far.
    Snapshot(Snapshot),
}

/// A publication by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// Tells this publication from any other, so that a lost answer can be resolved.
    pub id: String,
    /// Who published it.
    pub author: String,
    /// The version that it was edited from.
    pub base: Offset,
    /// The changed rows.
    pub edits: Vec<Edit>,
}

/// A copy of a history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version in force.
    pub version: Offset,
    /// The last offset that the copy takes into account.
    pub through: Offset,
    /// The table as CSV.
    pub csv: String,
    /// When each row changed last. A removed row stays listed.
    pub changed: Vec<Changed>,
}

/// The last change of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    /// The row.
    pub subject: Subject,
    /// The version that changed it last.
    pub version: Offset,
}

/// What became of a record.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The patch is in force as this version.
    Accepted(Offset),
    /// Rows that the patch touches have changed since its base.
    Clash(Vec<Changed>),
    /// The patch's result would break a rule of tables.
    Invalid(Rule),
    /// The patch names a base that this history has never reached.
    BaseUnknown,
    /// Records are missing; the patch waits for a snapshot.
    Deferred,
    /// The snapshot filled a gap.
    Adopted(Offset),
    /// The snapshot has the same version but another content: a defect worth an alarm.
    Diverged,
    /// The record says nothing new.
    Ignored,
}

/// Everything accepted so far.
#[derive(Debug, Clone, Default)]
pub struct History {
    table: Arc<Table>,
    version: Offset,
    through: Offset,
    changed: BTreeMap<Subject, Offset>,
    /// The first offset read after a gap, and the records since; `None` without a gap.
    gap: Option<Gap>,
}

#[derive(Debug, Clone)]
struct Gap {
    first: Offset,
    waiting: Vec<(Offset, Patch)>,
}

impl History {
    /// Returns the table in force.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the version in force, [`NONE`] before the first.
    pub fn version(&self) -> Offset {
        self.version
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        Offset(self.through.0 + 1)
    }

    /// Says whether records are missing, so that no patch can be judged.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Copies the history for a reader that has lost records.
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

    /// Takes the next record of the stream into account.
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

    /// Passes over a record that cannot be read.
    pub fn skip(&mut self, offset: Offset) {
        if offset > self.through {
            self.advance(offset);
        }
    }

    /// Moves on to a record, noting a gap if others are missing before it. A second gap replaces
    /// the first: what waits from between them can no longer be judged.
    fn advance(&mut self, offset: Offset) {
        if offset != self.next() {
            self.gap = Some(Gap {
                first: offset,
                waiting: Vec::new(),
            });
        }
        self.through = offset;
    }

    /// Takes a copy from a peer, if it is newer.
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
                gap.waiting.push((offset, patch.clone()));
                Verdict::Deferred
            }
            None => self.judge(offset, patch),
        }
    }

    fn judge(&mut self, offset: Offset, patch: &Patch) -> Verdict {
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
            // A snapshot fills the gap only if every record after it has been read.
            Some(gap) if snapshot.through.0 + 1 >= gap.first.0 => self.replace(snapshot),
            None if snapshot.version == self.version && !self.agrees(snapshot) => Verdict::Diverged,
            Some(_) | None => Verdict::Ignored,
        }
    }

    fn agrees(&self, snapshot: &Snapshot) -> bool {
        let own = parse::write(&self.table);
        xxh3_64(own.as_bytes()) == xxh3_64(snapshot.csv.as_bytes())
    }

    fn replace(&mut self, snapshot: &Snapshot) -> Verdict {
        let table = if snapshot.csv.trim().is_empty() {
            Table::default()
        } else {
            match parse::parse(&snapshot.csv) {
                Ok(table) => table,
                Err(findings) => {
                    let rule = findings
                        .first()
                        .map_or(Rule::NotCsv, |finding| finding.rule);
                    return Verdict::Invalid(rule);
                }
            }
        };
        let waiting = self.gap.take().map(|gap| gap.waiting).unwrap_or_default();
        self.table = Arc::new(table);
        self.version = snapshot.version;
        self.through = self.through.max(snapshot.through);
        let changed = snapshot.changed.iter();
        self.changed = changed
            .map(|row| (row.subject.clone(), row.version))
            .collect();
        for (offset, patch) in waiting {
            if offset > snapshot.through {
                self.judge(offset, &patch);
            }
        }
        Verdict::Adopted(self.version)
    }
}
