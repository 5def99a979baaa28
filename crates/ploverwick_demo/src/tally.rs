//! Counts results and violated guarantees from the callers' outcomes and the engines' records.

use std::collections::{BTreeMap, BTreeSet};

use ploverwick_standin::engine::{self, Records, Run};
use serde::Serialize;

use crate::caller::{CallResult, Outcome};

/// The counts of results and violations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// The number of pieces of work.
    pub requests: usize,
    /// Work with a complete response.
    pub answered_whole: usize,
    /// Runs on another adapter or version than requested, and responses that do not match the
    /// request.
    pub wrong_adapter: usize,
    /// Non-idempotent work that ran more than once.
    pub run_twice: usize,
    /// Work without a complete response or a final code.
    pub lost: usize,
    /// Work whose final result is a refusal as not run.
    pub refused_not_run: usize,
    /// Attempts that were refused as not run but ran.
    pub refused_but_ran: usize,
    /// Work whose final result is that it may have run.
    pub may_have_run: usize,
    /// Unloads of an adapter that had running requests.
    pub unloaded_in_use: u64,
    /// Adapter loads.
    pub loads: u64,
}

impl Tally {
    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        self.wrong_adapter == 0
            && self.run_twice == 0
            && self.lost == 0
            && self.refused_but_ran == 0
            && self.unloaded_in_use == 0
    }
}

/// Computes the counts.
pub fn count(outcomes: &[Outcome], records: &[Records]) -> Tally {
    let runs: Vec<&Run> = records.iter().flat_map(|records| &records.runs).collect();
    let requested: BTreeMap<&str, &Outcome> = outcomes
        .iter()
        .map(|outcome| (outcome.work.tag.as_str(), outcome))
        .collect();
    let count_results = |matches: fn(&CallResult) -> bool| {
        let matching = outcomes.iter().filter(|outcome| matches(&outcome.result));
        matching.count()
    };
    Tally {
        requests: outcomes.len(),
        answered_whole: count_results(|result| matches!(result, CallResult::Complete(_))),
        wrong_adapter: count_wrong_runs(&runs, &requested)
            + count_results(|result| matches!(result, CallResult::Mismatch(_))),
        run_twice: run_twice(&runs, &requested),
        lost: count_results(|result| matches!(result, CallResult::NoResponse(_))),
        refused_not_run: count_results(|result| matches!(result, CallResult::NotRun(_))),
        refused_but_ran: refused_but_ran(&runs, outcomes),
        may_have_run: count_results(|result| matches!(result, CallResult::MayHaveRun(_))),
        unloaded_in_use: records.iter().map(|records| records.unloaded_in_use).sum(),
        loads: records
            .iter()
            .flat_map(|records| records.loads.values())
            .sum(),
    }
}

/// Counts runs whose adapter or version is not the requested one.
fn count_wrong_runs(runs: &[&Run], requested: &BTreeMap<&str, &Outcome>) -> usize {
    let wrong = runs.iter().filter(|run| {
        let Some(outcome) = requested.get(run.tag.as_str()) else {
            return true;
        };
        let work = &outcome.work;
        let version = work.version.as_deref();
        let adapter_differs = run.variant.adapter.as_str() != work.adapter;
        adapter_differs || version.is_some_and(|version| run.variant.version.as_str() != version)
    });
    wrong.count()
}

fn run_twice(runs: &[&Run], requested: &BTreeMap<&str, &Outcome>) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        let at_most_once = requested
            .get(run.tag.as_str())
            .is_some_and(|outcome| outcome.work.non_idempotent);
        if at_most_once {
            *counts.entry(run.tag.as_str()).or_default() += 1;
        }
    }
    counts.values().filter(|count| **count > 1).count()
}

fn refused_but_ran(runs: &[&Run], outcomes: &[Outcome]) -> usize {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let refused = outcomes
        .iter()
        .flat_map(|outcome| &outcome.attempts)
        .filter(|attempt| attempt.not_run)
        .filter_map(|attempt| attempt.request.as_ref());
    refused
        .filter(|request| ran.contains(request.as_str()))
        .count()
}

/// Returns the batch utilization of the busy steps of all engines, from 0 to 1.
pub fn batch_fill(records: &[Records]) -> f64 {
    let steps: Vec<engine::Steps> = records.iter().map(|records| records.steps).collect();
    let computed: u64 = steps.iter().map(|steps| steps.computed).sum();
    let room: u64 = steps.iter().map(|steps| steps.room).sum();
    computed as f64 / room.max(1) as f64
}
