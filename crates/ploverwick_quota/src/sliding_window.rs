//! Sums over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::retry_after;

/// The length of a slot. A window is shorter than requested by at most one slot, which is 1.3 % of 8 s.
const SLOT_MS: u64 = 100;
/// [`SLOT_MS`] as a duration.
pub(crate) const SLOT_DURATION: Duration = Duration::from_millis(SLOT_MS);
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Amounts by the time at which they were added, grouped into slots.
#[derive(Debug, Default)]
pub(crate) struct SlidingWindow {
    /// The non-empty slots and their sums, oldest first.
    amounts: VecDeque<(u64, f64)>,
}

impl SlidingWindow {
    /// Returns the end of the slot that contains `at`.
    pub(crate) fn end(at: Moment) -> Moment {
        Moment((at.0 / SLOT_MS + 1) * SLOT_MS)
    }

    /// Adds an amount at a time no earlier than the last one; an earlier one counts in the latest slot.
    pub(crate) fn add(&mut self, amount: f64, at: Moment) {
        let slot = at.0 / SLOT_MS;
        match self.amounts.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += amount,
            Some(_) | None if amount > 0.0 => self.amounts.push_back((slot, amount)),
            Some(_) | None => {}
        }
    }

    /// Drops the slots before the window that ends now.
    pub(crate) fn evict(&mut self, window: Duration, now: Moment) {
        let first_slot = first_slot(window, now);
        while self
            .amounts
            .pop_front_if(|(slot, _)| *slot < first_slot)
            .is_some()
        {}
    }

    /// Returns the sum over the window that ends now, and drops the slots before it.
    pub(crate) fn sum(&mut self, window: Duration, now: Moment) -> f64 {
        self.evict(window, now);
        self.amounts.iter().map(|(_, sum)| sum).sum()
    }

    /// Returns the sum over the last `span`, which must not exceed the window that was kept.
    pub(crate) fn sum_of_last(&self, span: Duration, now: Moment) -> f64 {
        let first_slot = first_slot(span, now);
        let last = self.amounts.iter().rev();
        let last = last.take_while(|(slot, _)| *slot >= first_slot);
        last.map(|(_, sum)| sum).sum()
    }

    /// Returns the largest amount, over all spans that end now, by which the sum exceeds `rate` per second.
    pub(crate) fn excess(&self, rate: f64, now: Moment) -> f64 {
        let this = now.0 / SLOT_MS;
        let mut sum = 0.0;
        let mut max_excess: f64 = 0.0;
        for (slot, amount) in self.amounts.iter().rev() {
            sum += amount;
            let slots = this.saturating_sub(*slot) + 1;
            let seconds = (slots * SLOT_MS) as f64 / MILLIS_PER_SECOND;
            max_excess = max_excess.max(sum - rate * seconds);
        }
        max_excess
    }

    /// Returns the time until `amount` has left the window, or the length of the window if it holds less.
    pub(crate) fn time_until_freed(&self, amount: f64, window: Duration, now: Moment) -> Duration {
        let first_slot = first_slot(window, now);
        let mut freed = 0.0;
        for (slot, sum) in self.amounts.iter().filter(|(slot, _)| *slot >= first_slot) {
            freed += sum;
            if freed >= amount {
                let leaves = Moment((slot + 1) * SLOT_MS) + window;
                return retry_after::clamp(leaves.since(now));
            }
        }
        retry_after::clamp(window)
    }
}

/// Returns the first slot of the window that ends now.
fn first_slot(window: Duration, now: Moment) -> u64 {
    let slots = u64::try_from(window.as_millis()).unwrap_or(u64::MAX) / SLOT_MS;
    (now.0 / SLOT_MS + 1).saturating_sub(slots)
}
