//! The queue of requests waiting for an endpoint.
//!
//! Adapters share each priority level by weight, using start-time fair queuing. Each adapter has a
//! virtual time that advances by the inverse of its weight with every request sent, and the adapter
//! with the lowest virtual time is served next. An adapter without queued requests accumulates no
//! credit. Within an adapter, the earliest deadline comes first. Source: Goyal, Vin and Cheng,
//! "Start-time Fair Queuing", 1996.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use ploverwick_names::{Moment, Request, Variant};

/// A queued request.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request's ID.
    pub request: Request,
    /// The adapter version that it needs.
    pub variant: Variant,
    /// From 0 to 9; 9 runs first.
    pub priority: u8,
    /// The adapter's weight among requests of one priority, above 0.
    pub weight: f64,
    /// The time from which it is no longer sent.
    pub deadline: Moment,
    /// The time of arrival.
    pub arrived: Moment,
}

/// The order of jobs of one adapter: priority, then deadline, then arrival.
type Rank = (Reverse<u8>, Moment, u64);

/// The order of dispatch across adapters: priority, then virtual time, then deadline and arrival.
type DispatchRank = (Reverse<u8>, u64, Moment, u64);

/// The virtual time that a request costs at weight 1.
const BASE_COST: f64 = 1e6;

/// The queued jobs, ordered by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<Rank, Job>,
    ranks: BTreeMap<Request, Rank>,
    counts: BTreeMap<Variant, usize>,
    arrivals: u64,
    /// The virtual finish time of each adapter that is ahead of `virtual_now`.
    finish_times: BTreeMap<Variant, u64>,
    /// The virtual start time of the request sent last.
    virtual_now: u64,
}

impl Queue {
    /// Returns the number of jobs.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a job.
    pub(super) fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let rank = (Reverse(job.priority), job.deadline, self.arrivals);
        *self.counts.entry(job.variant.clone()).or_default() += 1;
        self.ranks.insert(job.request.clone(), rank);
        self.jobs.insert(rank, job);
    }

    /// Removes a job; returns whether it was queued.
    pub(super) fn remove(&mut self, request: &Request) -> bool {
        let Some(rank) = self.ranks.get(request).copied() else {
            return false;
        };
        self.take(rank).is_some()
    }

    fn dispatch_rank(&self, rank: &Rank, job: &Job) -> DispatchRank {
        let finish_time = self
            .finish_times
            .get(&job.variant)
            .copied()
            .unwrap_or_default();
        (rank.0, finish_time.max(self.virtual_now), rank.1, rank.2)
    }

    /// Removes the next job to send among those whose adapter is ready.
    pub(super) fn pop(&mut self, ready: impl Fn(&Variant) -> bool) -> Option<Job> {
        let waiting = self.jobs.iter().filter(|(_, job)| ready(&job.variant));
        let (dispatch_rank, rank) = waiting
            .map(|(rank, job)| (self.dispatch_rank(rank, job), *rank))
            .min()?;
        let job = self.take(rank)?;
        self.virtual_now = dispatch_rank.1;
        let cost =
            (BASE_COST / job.weight.max(f64::MIN_POSITIVE)).min(BASE_COST * BASE_COST) as u64;
        self.finish_times
            .insert(job.variant.clone(), dispatch_rank.1 + cost);
        let now = self.virtual_now;
        self.finish_times
            .retain(|_, finish_time| *finish_time > now);
        Some(job)
    }

    /// Removes all jobs that match `predicate`, which is called in the order of rank.
    pub(super) fn extract(&mut self, mut predicate: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let ranks: Vec<Rank> = self
            .jobs
            .iter()
            .filter(|(_, job)| predicate(job))
            .map(|(rank, _)| *rank)
            .collect();
        ranks
            .into_iter()
            .filter_map(|rank| self.take(rank))
            .collect()
    }

    /// Removes all jobs.
    pub(super) fn drain(&mut self) -> impl Iterator<Item = Job> + use<> {
        self.ranks.clear();
        self.counts.clear();
        std::mem::take(&mut self.jobs).into_values()
    }

    fn take(&mut self, rank: Rank) -> Option<Job> {
        let job = self.jobs.remove(&rank)?;
        self.ranks.remove(&job.request);
        if let Some(count) = self.counts.get_mut(&job.variant) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&job.variant);
            }
        }
        Some(job)
    }

    /// Returns whether a job for the adapter is queued.
    pub(super) fn contains(&self, variant: &Variant) -> bool {
        self.counts.contains_key(variant)
    }

    /// Returns the number of queued jobs for the adapter.
    pub(super) fn count(&self, variant: &Variant) -> usize {
        self.counts.get(variant).copied().unwrap_or_default()
    }

    /// Lists the adapters with queued jobs, in the order in which their first jobs would be sent,
    /// with the arrival time of that job.
    pub(super) fn waiting_variants(&self) -> Vec<(Variant, Moment)> {
        let mut first: BTreeMap<&Variant, (DispatchRank, Moment)> = BTreeMap::new();
        for (rank, job) in &self.jobs {
            let dispatch_rank = self.dispatch_rank(rank, job);
            let entry = first
                .entry(&job.variant)
                .or_insert((dispatch_rank, job.arrived));
            *entry = (*entry).min((dispatch_rank, job.arrived));
        }
        let mut waiting_variants: Vec<(DispatchRank, &Variant, Moment)> = first
            .into_iter()
            .map(|(variant, (dispatch_rank, arrived))| (dispatch_rank, variant, arrived))
            .collect();
        waiting_variants.sort();
        let waiting_variants = waiting_variants.into_iter();
        waiting_variants
            .map(|(_, variant, arrived)| (variant.clone(), arrived))
            .collect()
    }
}
