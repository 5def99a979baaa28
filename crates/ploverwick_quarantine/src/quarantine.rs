//! The requests that endpoints crashed under, and the resulting refusals.

use ploverwick_names::Moment;

use crate::{Change, Crash, Entry, Fingerprint, Ledger};

/// The requests that endpoints crashed under.
pub type Quarantine = Ledger<Entry>;

impl Quarantine {
    /// Records that this instance observed an endpoint crash under a request; returns the entry to broadcast.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Moment,
    ) -> (Change, Entry) {
        let mut entry = self.entry(&fingerprint, now);
        entry.crashes = vec![crash];
        entry.age_s = 0;
        self.record(&entry, now)
    }
}
