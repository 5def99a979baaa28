//! Records of an engine's runs and violations, which tests assert on.

use std::collections::BTreeMap;

use ploverwick_names::Variant;
use serde::{Deserialize, Serialize};

/// The outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The run is active.
    Running,
    /// All tokens were generated.
    Finished,
    /// The run was cancelled, or had no reader for the resume window.
    Cancelled,
    /// The adapter was unloaded during the run.
    Aborted,
}

/// The record of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's identifier.
    pub request: String,
    /// The caller's identifier of the work: the field `user` of the request body.
    pub tag: String,
    /// The model requested in the body.
    pub asked: String,
    /// The adapter and version that the run used.
    pub variant: Variant,
    /// The outcome.
    pub outcome: Outcome,
}

/// Batch utilization.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    /// The number of steps that computed at least one run.
    pub busy: u64,
    /// The number of runs computed, summed over the busy steps.
    pub computed: u64,
    /// The batch capacity, summed over the busy steps.
    pub room: u64,
}

/// The records of an engine. They survive a simulated restart.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Records {
    /// All runs, in the order in which they started.
    pub runs: Vec<Run>,
    /// The number of unloads of an adapter that had running requests.
    pub unloaded_in_use: u64,
    /// The number of loads of each adapter and version.
    pub loads: BTreeMap<String, u64>,
    /// The number of orders refused because of an old fencing token.
    pub stale_orders: u64,
    /// Batch utilization.
    pub steps: Steps,
}
