//! What one instance knows of parts of prompts, for each way to blame one.

use std::rc::Rc;

use ploverwick_names::Moment;
use ploverwick_quarantine::prompt::{self, Caller, Knowledge, Part, Verdict};
use ploverwick_quarantine::{
    CRASH_THRESHOLD, Change, Crash, Entry, Fingerprint, Quarantine, Status,
};

/// A way to blame a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// Parts are never blamed.
    WholeRequests,
    /// Three crashes without a success, as whole requests are.
    Crashes,
    /// Three crashes in two rounds or more without a success.
    CrashesInRounds,
    /// So many rounds of crashes without a success.
    Rounds(usize),
    /// Three rounds, unless another refused part explains the crashes or they are another caller's.
    Explained,
    /// The same, and requests that are refused before their answers begin are cancelled.
    Cancelled,
}

/// An entry that instances exchange.
#[derive(Debug, Clone)]
pub(super) enum Update {
    Crashes(Entry),
    Rounds(prompt::Entry),
}

impl Update {
    pub(super) fn is_urgent(&self) -> bool {
        match self {
            Self::Crashes(entry) => entry.is_near_threshold(),
            Self::Rounds(entry) => entry.is_near_threshold(),
        }
    }

    /// Returns whether it is written to the store.
    pub(super) fn is_refusal(&self) -> bool {
        match self {
            Self::Crashes(entry) => entry.is_at_threshold(),
            Self::Rounds(entry) => entry.is_at_threshold(),
        }
    }
}

/// A crash under a request.
#[derive(Debug, Clone)]
pub(super) struct Suspect {
    pub(super) parts: Rc<[Part]>,
    pub(super) known: Knowledge,
    pub(super) caller: Caller,
}

#[derive(Debug)]
pub(super) struct Tracker {
    way: Way,
    crashes: Quarantine,
    rounds: prompt::Quarantine,
}

impl Tracker {
    pub(super) fn new(way: Way) -> Self {
        Self {
            way,
            crashes: Quarantine::default(),
            rounds: prompt::Quarantine::default(),
        }
    }

    pub(super) fn refuses(&self, parts: &[Part], caller: Caller, now: Moment) -> bool {
        let mut each = parts.iter();
        match self.way {
            Way::WholeRequests => false,
            Way::Crashes => {
                each.any(|part| self.crashes.status(&fingerprint(*part), now) == Status::Refused)
            }
            Way::Rounds(threshold) => {
                each.any(|part| self.rounds.entry(part, now).round() >= threshold)
            }
            Way::CrashesInRounds => each.any(|part| {
                let entry = self.rounds.entry(part, now);
                entry.round() >= 2 && entry.crashes.len() >= CRASH_THRESHOLD
            }),
            Way::Explained | Way::Cancelled => {
                let verdict = self.rounds.verdict(parts, caller, now);
                matches!(verdict, Verdict::Refused(_))
            }
        }
    }

    pub(super) fn known(&self, parts: &[Part], now: Moment) -> Knowledge {
        self.rounds.known(parts, now)
    }

    pub(super) fn record(&mut self, suspect: &Suspect, crash: Crash, now: Moment) -> Vec<Update> {
        let mut updates = Vec::new();
        for part in suspect.parts.iter() {
            if self.way == Way::Crashes {
                let subject = fingerprint(*part);
                let (change, entry) = self.crashes.record_crash(subject, crash, now);
                updates.extend((change != Change::Unchanged).then_some(Update::Crashes(entry)));
            } else {
                let (known, caller) = (&suspect.known, suspect.caller);
                let recorded = self.rounds.record_crash(*part, known, crash, caller, now);
                let (change, entry) = recorded;
                updates.extend((change != Change::Unchanged).then_some(Update::Rounds(entry)));
            }
        }
        updates
    }

    pub(super) fn succeed(&mut self, parts: &[Part], now: Moment) -> Vec<Update> {
        let mut updates = Vec::new();
        for part in parts {
            if self.way == Way::Crashes {
                let reset = self.crashes.reset(&fingerprint(*part), now);
                updates.extend(reset.map(|(_, entry)| Update::Crashes(entry)));
            } else {
                let reset = self.rounds.reset(part, now);
                updates.extend(reset.map(|(_, entry)| Update::Rounds(entry)));
            }
        }
        updates
    }

    pub(super) fn merge(&mut self, update: &Update, now: Moment) {
        match update {
            Update::Crashes(entry) => drop(self.crashes.merge(entry, now)),
            Update::Rounds(entry) => drop(self.rounds.merge(entry, now)),
        }
    }
}

fn fingerprint(part: Part) -> Fingerprint {
    Fingerprint::of([part.to_string().as_bytes()])
}
