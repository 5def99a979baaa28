//! The requests that wait for an endpoint.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use ploverwick_names::{Moment, Request, Variant};

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub request: Request,
    /// What it runs on.
    pub variant: Variant,
    /// 0 to 9; 9 runs first.
    pub priority: u8,
    /// When it is too late to send it.
    pub deadline: Moment,
    /// When it arrived.
    pub arrived: Moment,
}

/// The order in which jobs are sent: priority, then deadline, then arrival.
type Rank = (Reverse<u8>, Moment, u64);

/// Waiting jobs by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<Rank, Job>,
    ranks: BTreeMap<Request, Rank>,
    counts: BTreeMap<Variant, usize>,
    arrivals: u64,
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

    /// Takes a job out; returns whether it was there.
    pub(super) fn remove(&mut self, request: &Request) -> bool {
        let Some(rank) = self.ranks.get(request).copied() else {
            return false;
        };
        self.take(rank).is_some()
    }

    /// Takes out all jobs that `chosen` chooses, asked in the order of rank.
    pub(super) fn extract(&mut self, mut chosen: impl FnMut(&Job) -> bool) -> Vec<Job> {
        let ranks: Vec<Rank> = self
            .jobs
            .iter()
            .filter(|(_, job)| chosen(job))
            .map(|(rank, _)| *rank)
            .collect();
        ranks
            .into_iter()
            .filter_map(|rank| self.take(rank))
            .collect()
    }

    /// Takes out all jobs.
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

    /// Says whether a job waits for the adapter.
    pub(super) fn wants(&self, variant: &Variant) -> bool {
        self.counts.contains_key(variant)
    }

    /// Returns how many jobs wait for the adapter.
    pub(super) fn count(&self, variant: &Variant) -> usize {
        self.counts.get(variant).copied().unwrap_or_default()
    }

    /// Lists the adapters that jobs wait for, in the order of their first job, with the arrival
    /// of that job.
    pub(super) fn wanted(&self) -> Vec<(Variant, Moment)> {
        let mut seen = std::collections::BTreeSet::new();
        self.jobs
            .values()
            .filter(|job| seen.insert(&job.variant))
            .map(|job| (job.variant.clone(), job.arrived))
            .collect()
    }
}
