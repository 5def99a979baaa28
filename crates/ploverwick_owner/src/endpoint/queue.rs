//! The requests that wait for an endpoint.
//!
//! Among requests of one priority, adapters share by weight: each has a virtual time that moves on
//! by the inverse of its weight with every request sent, and the adapter that is furthest behind
//! comes next. An adapter that had nothing to send saves nothing up. Within an adapter the earliest
//! deadline comes first. Source: Goyal, Vin and Cheng, "Start-time Fair Queuing", 1996.

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
    /// The adapter's share among requests of one priority, above 0.
    pub weight: f64,
    /// When it is too late to send it.
    pub deadline: Moment,
    /// When it arrived.
    pub arrived: Moment,
}

/// The order of jobs within an adapter: priority, then deadline, then arrival.
type Rank = (Reverse<u8>, Moment, u64);

/// The order in which jobs are sent: priority, then the adapter's virtual time, then as within it.
type Turn = (Reverse<u8>, u64, Moment, u64);

/// The virtual time of a request at weight 1.
const UNIT: f64 = 1e6;

/// Waiting jobs by rank.
#[derive(Debug, Default)]
pub(super) struct Queue {
    jobs: BTreeMap<Rank, Job>,
    ranks: BTreeMap<Request, Rank>,
    counts: BTreeMap<Variant, usize>,
    arrivals: u64,
    /// The virtual time up to which each adapter was served, if it is ahead of the queue's.
    served: BTreeMap<Variant, u64>,
    /// The virtual time of the request that was sent last.
    now: u64,
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

    fn turn(&self, rank: &Rank, job: &Job) -> Turn {
        let served = self.served.get(&job.variant).copied().unwrap_or_default();
        (rank.0, served.max(self.now), rank.1, rank.2)
    }

    /// Takes out the job that is to be sent next among those whose adapter is ready.
    pub(super) fn pop(&mut self, ready: impl Fn(&Variant) -> bool) -> Option<Job> {
        let waiting = self.jobs.iter().filter(|(_, job)| ready(&job.variant));
        let (turn, rank) = waiting
            .map(|(rank, job)| (self.turn(rank, job), *rank))
            .min()?;
        let job = self.take(rank)?;
        self.now = turn.1;
        let cost = (UNIT / job.weight.max(f64::MIN_POSITIVE)).min(UNIT * UNIT) as u64;
        self.served.insert(job.variant.clone(), turn.1 + cost);
        let now = self.now;
        self.served.retain(|_, served| *served > now);
        Some(job)
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

    /// Lists the adapters that jobs wait for, in the order in which their first jobs would be
    /// sent, with the arrival of that job.
    pub(super) fn wanted(&self) -> Vec<(Variant, Moment)> {
        let mut first: BTreeMap<&Variant, (Turn, Moment)> = BTreeMap::new();
        for (rank, job) in &self.jobs {
            let turn = self.turn(rank, job);
            let known = first.entry(&job.variant).or_insert((turn, job.arrived));
            *known = (*known).min((turn, job.arrived));
        }
        let mut wanted: Vec<(Turn, &Variant, Moment)> = first
            .into_iter()
            .map(|(variant, (turn, arrived))| (turn, variant, arrived))
            .collect();
        wanted.sort();
        let wanted = wanted.into_iter();
        wanted
            .map(|(_, variant, arrived)| (variant.clone(), arrived))
            .collect()
    }
}
