//! Sums over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use ploverwick_names::Moment;

use crate::retry_after;

/// The maximum length of a slot. Spans shorter than a window are summed from the same slots.
const MAX_SLOT_MS: u64 = 100;
/// The minimum number of slots in a window. The slot that contains now is still incomplete, so a window is shorter than
/// requested by up to 1.3 %.
const MIN_SLOTS: u64 = 80;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Amounts by the time at which they were added, grouped into slots.
#[derive(Debug)]
pub(crate) struct SlidingWindow {
    /// The length of the window.
    window: Duration,
    /// The length of a slot.
    slot_ms: u64,
    /// The non-empty slots and their sums, oldest first.
    amounts: VecDeque<(u64, f64)>,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            slot_ms: slot_ms(window),
            amounts: VecDeque::new(),
        }
    }

    /// Returns the length of a slot.
    pub(crate) fn slot_duration(&self) -> Duration {
        Duration::from_millis(self.slot_ms)
    }

    /// Returns the end of the slot that contains `at`.
    pub(crate) fn end(&self, at: Moment) -> Moment {
        Moment((self.slot(at) + 1) * self.slot_ms)
    }

    /// Adds an amount at a time no earlier than the last one; an earlier one counts in the latest slot.
    pub(crate) fn add(&mut self, amount: f64, at: Moment) {
        let slot = self.slot(at);
        match self.amounts.back_mut() {
            Some((last, sum)) if *last >= slot => *sum += amount,
            Some(_) | None if amount > 0.0 => self.amounts.push_back((slot, amount)),
            Some(_) | None => {}
        }
    }

    /// Drops the slots before the window that ends now.
    pub(crate) fn evict(&mut self, now: Moment) {
        let first_slot = self.first_slot(self.window, now);
        while self
            .amounts
            .pop_front_if(|(slot, _)| *slot < first_slot)
            .is_some()
        {}
    }

    /// Returns the sum over the window that ends now, and drops the slots before it.
    pub(crate) fn sum(&mut self, now: Moment) -> f64 {
        self.evict(now);
        self.amounts.iter().map(|(_, sum)| sum).sum()
    }

    /// Returns the sum over the last `span`, which must not exceed the window.
    pub(crate) fn sum_of_last(&self, span: Duration, now: Moment) -> f64 {
        let first_slot = self.first_slot(span, now);
        let last = self.amounts.iter().rev();
        let last = last.take_while(|(slot, _)| *slot >= first_slot);
        last.map(|(_, sum)| sum).sum()
    }

    /// Returns the largest amount, over all spans that end now, by which the sum exceeds `rate` per second.
    pub(crate) fn excess(&self, rate: f64, now: Moment) -> f64 {
        let this = self.slot(now);
        let mut sum = 0.0;
        let mut max_excess: f64 = 0.0;
        for (slot, amount) in self.amounts.iter().rev() {
            sum += amount;
            let slots = this.saturating_sub(*slot) + 1;
            let seconds = (slots * self.slot_ms) as f64 / MILLIS_PER_SECOND;
            max_excess = max_excess.max(sum - rate * seconds);
        }
        max_excess
    }

    /// Returns the time until `amount` has left the last `span`, or `span` if that holds less.
    pub(crate) fn time_until_freed(&self, amount: f64, span: Duration, now: Moment) -> Duration {
        let first_slot = self.first_slot(span, now);
        let mut freed = 0.0;
        for (slot, sum) in self.amounts.iter().filter(|(slot, _)| *slot >= first_slot) {
            freed += sum;
            if freed >= amount {
                let leaves = Moment((slot + 1) * self.slot_ms) + span;
                return retry_after::clamp(leaves.since(now));
            }
        }
        retry_after::clamp(span)
    }

    fn slot(&self, at: Moment) -> u64 {
        at.0 / self.slot_ms
    }

    /// Returns the first slot of the last `span`.
    fn first_slot(&self, span: Duration, now: Moment) -> u64 {
        let slots = saturating_millis(span) / self.slot_ms;
        (self.slot(now) + 1).saturating_sub(slots)
    }
}

/// Returns the length of the slots of a window: the longest that the limits allow and that divides the window.
fn slot_ms(window: Duration) -> u64 {
    let window_ms = saturating_millis(window);
    let max = (window_ms / MIN_SLOTS).min(MAX_SLOT_MS);
    let divisor = (1..=max)
        .rev()
        .find(|slot_ms| window_ms.is_multiple_of(*slot_ms));
    divisor.unwrap_or(1)
}

fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
