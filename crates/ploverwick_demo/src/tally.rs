//! Counts kept and broken promises from the engines' own records.

use std::collections::{BTreeMap, BTreeSet};

use ploverwick_standin::engine::{self, Records, Run};
use serde::Serialize;

use crate::caller::{Got, Outcome};

/// What was kept and what was broken.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    /// The pieces of work.
    pub requests: usize,
    /// Work whose caller got the whole answer.
    pub answered_whole: usize,
    /// Runs on another adapter or version than asked for, and answers to another request.
    pub wrong_adapter: usize,
    /// Non-idempotent work that ran more than once.
    pub run_twice: usize,
    /// Work whose caller got neither an answer nor a final code.
    pub lost: usize,
    /// Work that was refused as not run to the end.
    pub refused_not_run: usize,
    /// Tries that were refused as not run, and ran.
    pub refused_but_ran: usize,
    /// Work whose caller was told that it may have run.
    pub may_have_run: usize,
    /// Adapters that were unloaded under a running request.
    pub unloaded_in_use: u64,
    /// Adapters loaded.
    pub loads: u64,
}

impl Tally {
    /// Says whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.wrong_adapter == 0
            && self.run_twice == 0
            && self.lost == 0
            && self.refused_but_ran == 0
            && self.unloaded_in_use == 0
    }
}

/// Counts over the callers' outcomes and the engines' records.
pub fn count(outcomes: &[Outcome], records: &[Records]) -> Tally {
    let runs: Vec<&Run> = records.iter().flat_map(|records| &records.runs).collect();
    let asked: BTreeMap<&str, &Outcome> = outcomes
        .iter()
        .map(|outcome| (outcome.work.tag.as_str(), outcome))
        .collect();
    let got = |wanted: fn(&Got) -> bool| {
        let matching = outcomes.iter().filter(|outcome| wanted(&outcome.got));
        matching.count()
    };
    Tally {
        requests: outcomes.len(),
        answered_whole: got(|got| matches!(got, Got::Whole(_))),
        wrong_adapter: wrong_runs(&runs, &asked) + got(|got| matches!(got, Got::Wrong(_))),
        run_twice: run_twice(&runs, &asked),
        lost: got(|got| matches!(got, Got::Nothing(_))),
        refused_not_run: got(|got| matches!(got, Got::NotRun(_))),
        refused_but_ran: refused_but_ran(&runs, outcomes),
        may_have_run: got(|got| matches!(got, Got::MayHaveRun(_))),
        unloaded_in_use: records.iter().map(|records| records.unloaded_in_use).sum(),
        loads: records
            .iter()
            .flat_map(|records| records.loads.values())
            .sum(),
    }
}

/// Counts runs whose adapter or version is not the one that the caller asked for.
fn wrong_runs(runs: &[&Run], asked: &BTreeMap<&str, &Outcome>) -> usize {
    let wrong = runs.iter().filter(|run| {
        let Some(outcome) = asked.get(run.tag.as_str()) else {
            return true;
        };
        let work = &outcome.work;
        let version = work.version.as_deref();
        let adapter_differs = run.variant.adapter.as_str() != work.adapter;
        adapter_differs || version.is_some_and(|version| run.variant.version.as_str() != version)
    });
    wrong.count()
}

fn run_twice(runs: &[&Run], asked: &BTreeMap<&str, &Outcome>) -> usize {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for run in runs {
        let once = asked
            .get(run.tag.as_str())
            .is_some_and(|outcome| outcome.work.non_idempotent);
        if once {
            *counts.entry(run.tag.as_str()).or_default() += 1;
        }
    }
    counts.values().filter(|count| **count > 1).count()
}

fn refused_but_ran(runs: &[&Run], outcomes: &[Outcome]) -> usize {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.request.as_str()).collect();
    let refused = outcomes
        .iter()
        .flat_map(|outcome| &outcome.tries)
        .filter(|tried| tried.not_run)
        .filter_map(|tried| tried.request.as_ref());
    refused
        .filter(|request| ran.contains(request.as_str()))
        .count()
}

/// Returns how full the busy steps of all engines were, from 0 to 1.
pub fn batch_fill(records: &[Records]) -> f64 {
    let steps: Vec<engine::Steps> = records.iter().map(|records| records.steps).collect();
    let computed: u64 = steps.iter().map(|steps| steps.computed).sum();
    let room: u64 = steps.iter().map(|steps| steps.room).sum();
    computed as f64 / room.max(1) as f64
}
