//! The parts of prompts that endpoints crashed under, and the resulting refusals.

use ploverwick_names::Moment;

use super::{Caller, Entry, Observed, Part};
use crate::ledger::Evidence;
use crate::{CRASH_THRESHOLD, Change, Crash, Ledger, Status};

/// What was known of a part at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    part: Part,
    resets: u32,
    round: u8,
}

/// What was known of the parts of a prompt at a moment. Parts that nothing was known of are left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Knowledge(Vec<Known>);

impl Knowledge {
    /// Returns the round of a crash under a request that began with this knowledge. Crashes before a reset do not count.
    fn next_round(&self, part: Part, resets: u32) -> u8 {
        let mut known = self.0.iter();
        let known = known.find(|known| known.part == part && known.resets == resets);
        known.map_or(1, |known| known.round.saturating_add(1))
    }
}

/// Whether the parts of a prompt allow it to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is counted against its parts.
    Clear,
    /// This many rounds of crashes are counted against one of its parts.
    Suspected(usize),
    /// It is refused because of this part.
    Refused(Part),
}

impl Verdict {
    /// Returns the status of a request with these parts.
    pub fn status(self) -> Status {
        match self {
            Self::Clear => Status::Clear,
            Self::Suspected(rounds) => Status::Suspected(rounds),
            Self::Refused(_) => Status::Refused,
        }
    }
}

/// The parts of prompts that endpoints crashed under.
pub type Quarantine = Ledger<Entry>;

impl Quarantine {
    /// Returns whether a request of a caller may run, given the parts of its prompt that others may share.
    pub fn verdict(&self, parts: &[Part], caller: Caller, now: Moment) -> Verdict {
        let mut rounds = 0;
        for part in parts {
            match self.status(part, now) {
                Status::Clear => {}
                Status::Suspected(suspected) => rounds = rounds.max(suspected),
                Status::Refused if self.is_blamed(part, parts, caller, now) => {
                    return Verdict::Refused(*part);
                }
                Status::Refused => rounds = rounds.max(CRASH_THRESHOLD - 1),
            }
        }
        match rounds {
            0 => Verdict::Clear,
            rounds => Verdict::Suspected(rounds),
        }
    }

    /// Returns the refused part, other than those of a prompt, that explains all crashes of one of its parts.
    pub fn explanation(&self, part: &Part, parts: &[Part], now: Moment) -> Option<Part> {
        let entry = self.evidence(part, now)?;
        let mut others = self.refused_entries(now);
        let explanation =
            others.find(|other| !parts.contains(&other.part) && entry.is_explained_by(other));
        explanation.map(|other| other.part)
    }

    /// Returns what is known of the parts of a prompt now.
    pub fn known(&self, parts: &[Part], now: Moment) -> Knowledge {
        let known = parts.iter().filter_map(|part| {
            let entry = self.evidence(part, now)?;
            Some(Known {
                part: *part,
                resets: entry.resets,
                round: u8::try_from(entry.round()).unwrap_or(u8::MAX),
            })
        });
        Knowledge(known.collect())
    }

    /// Records that this instance observed an endpoint crash under a request that shares a part; returns the entry to
    /// broadcast. `known` is what was known when the answer began.
    pub fn record_crash(
        &mut self,
        part: Part,
        known: &Knowledge,
        crash: Crash,
        caller: Caller,
        now: Moment,
    ) -> (Change, Entry) {
        let resets = self.entry(&part, now).resets;
        let observed = Observed {
            crash,
            caller,
            round: known.next_round(part, resets),
        };
        let entry = Entry {
            resets,
            crashes: vec![observed],
            ..Entry::new(part)
        };
        self.record(&entry, now)
    }

    /// Returns whether a refused part is the reason to refuse a request, rather than another part that the request does
    /// not share.
    fn is_blamed(&self, part: &Part, parts: &[Part], caller: Caller, now: Moment) -> bool {
        let entry = self.evidence(part, now);
        entry.is_some_and(|entry| entry.concerns(caller))
            && self.explanation(part, parts, now).is_none()
    }
}
