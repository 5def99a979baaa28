//! Simulates daemons that replay the table stream while operators publish patches.

use std::collections::BTreeMap;

use ploverwick_names::Offset;
use ploverwick_table::history::{History, Patch, Record, Verdict};
use ploverwick_table::patch::{Cell, Change, Edit};
use ploverwick_table::{Column, Subject, parse};

/// A mechanism to disable, to prove that the invariant checks detect its absence.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Disabled {
    /// All mechanisms are enabled.
    #[default]
    Nothing,
    /// Readers ignore gaps and continue as if no records were missing.
    Gap,
}

/// A simulation of the table stream, whose oldest records expire, and its readers.
#[derive(Debug)]
pub struct Simulation {
    disabled: Disabled,
    log: BTreeMap<u64, Record>,
    next: u64,
    start: u64,
    readers: Vec<Reader>,
    violations: Vec<String>,
    events: Vec<String>,
    publications: u64,
}

#[derive(Debug, Default)]
struct Reader {
    history: History,
    newest_version: Offset,
}

impl Simulation {
    /// Creates a simulation with the given number of readers and an empty stream.
    pub fn new(readers: usize, disabled: Disabled) -> Self {
        Self {
            disabled,
            log: BTreeMap::new(),
            next: 1,
            start: 1,
            readers: (0..readers).map(|_| Reader::default()).collect(),
            violations: Vec::new(),
            events: Vec::new(),
            publications: 0,
        }
    }

    /// Returns the invariant violations found so far.
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    /// Returns and clears the events recorded since the last call.
    pub fn take_events(&mut self) -> Vec<String> {
        std::mem::take(&mut self.events)
    }

    /// Appends a patch that is based on version `base` and sets the weight of a row. Returns its
    /// offset, or 0 if the row is invalid.
    pub fn publish(&mut self, base: u64, row: &str, weight: u32) -> u64 {
        let (Ok(subject), Ok(column)) = (row.parse::<Subject>(), "weight".parse::<Column>()) else {
            return 0;
        };
        self.publications += 1;
        let cell = Cell {
            column,
            text: Some(weight.to_string()),
        };
        let patch = Patch {
            id: format!("publication-{}", self.publications),
            author: "operator".to_owned(),
            base: Offset(base),
            edits: vec![Edit {
                subject,
                change: Change::Set(vec![cell]),
            }],
        };
        self.append(Record::Patch(patch))
    }

    /// Lets a reader append a snapshot, unless it has a gap or has accepted no patch. Returns its
    /// offset, or 0 if nothing was appended.
    pub fn snapshot(&mut self, reader: usize) -> u64 {
        let history = &self.readers[reader].history;
        if history.has_gap() || history.version() == Offset(0) {
            return 0;
        }
        let snapshot = history.snapshot();
        self.append(Record::Snapshot(snapshot))
    }

    fn append(&mut self, record: Record) -> u64 {
        let offset = self.next;
        let kind = match &record {
            Record::Patch(patch) => format!("patch from {}", patch.base),
            Record::Snapshot(snapshot) => format!("snapshot of {}", snapshot.version),
        };
        self.events.push(format!("offset {offset}: {kind}"));
        self.log.insert(offset, record);
        self.next += 1;
        offset
    }

    /// Expires all records before `start` from the log.
    pub fn forget(&mut self, start: u64) {
        self.start = self.start.max(start.min(self.next));
        self.log = self.log.split_off(&self.start);
        self.events
            .push(format!("the log starts at {}", self.start));
    }

    /// Lets a reader read up to `count` records.
    pub fn read(&mut self, reader: usize, count: usize) {
        let from = self.readers[reader].history.next().0;
        let records: Vec<(u64, Record)> = self
            .log
            .range(from..)
            .take(count)
            .map(|(offset, record)| (*offset, record.clone()))
            .collect();
        for (offset, record) in records {
            if self.disabled == Disabled::Gap {
                self.skip_gap(reader, offset);
            }
            let verdict = self.readers[reader].history.apply(Offset(offset), &record);
            self.events
                .push(format!("reader {reader}, {offset}: {}", describe(&verdict)));
            if verdict == Verdict::Diverged {
                self.violations
                    .push(format!("reader {reader} diverged at {offset}"));
            }
            self.check_invariants(reader);
        }
    }

    /// Lets a reader adopt a snapshot of its own state that claims to include the missing records.
    fn skip_gap(&mut self, reader: usize, offset: u64) {
        let history = &mut self.readers[reader].history;
        if offset > history.next().0 {
            let mut snapshot = history.snapshot();
            snapshot.through = Offset(offset - 1);
            history.adopt(&snapshot);
        }
    }

    /// Lets a reader fetch a snapshot from another reader.
    pub fn fetch(&mut self, reader: usize, peer: usize) {
        if self.readers[peer].history.has_gap() {
            return;
        }
        let snapshot = self.readers[peer].history.snapshot();
        let verdict = self.readers[reader].history.adopt(&snapshot);
        self.events.push(format!(
            "reader {reader} asks {peer}: {}",
            describe(&verdict)
        ));
        self.check_invariants(reader);
    }

    /// Restarts a reader, which loses its state.
    pub fn restart(&mut self, reader: usize) {
        self.events.push(format!("reader {reader} restarts"));
        self.readers[reader] = Reader::default();
    }

    /// Returns a reader's version and table as text.
    pub fn show(&self, reader: usize) -> String {
        let history = &self.readers[reader].history;
        let gap = if history.has_gap() { " (gap)" } else { "" };
        let csv = parse::write(history.table());
        format!("version {}{gap}\n{csv}", history.version())
    }

    fn check_invariants(&mut self, reader: usize) {
        let version = self.readers[reader].history.version();
        if version < self.readers[reader].newest_version {
            let violation = format!("reader {reader} reverted to version {version}");
            self.violations.push(violation);
        }
        self.readers[reader].newest_version = version;
        self.compare_readers(reader);
    }

    /// Checks that a reader has the same version and table as the other readers at its offset.
    /// Readers with a gap are skipped.
    fn compare_readers(&mut self, reader: usize) {
        let mine = &self.readers[reader].history;
        if mine.has_gap() {
            return;
        }
        let differs = self.readers.iter().position(|other| {
            let theirs = &other.history;
            let comparable = !theirs.has_gap() && theirs.next() == mine.next();
            comparable && (theirs.version() != mine.version() || theirs.table() != mine.table())
        });
        if let Some(other) = differs {
            let violation = format!("readers {reader} and {other} differ");
            self.violations.push(violation);
        }
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(version) => format!("accepted as {version}"),
        Verdict::Clash(rows) => {
            let rows: Vec<String> = rows.iter().map(|row| row.subject.to_string()).collect();
            format!("clashes in {}", rows.join(", "))
        }
        Verdict::Adopted(version) => format!("adopted {version}"),
        other => format!("{other:?}"),
    }
}
