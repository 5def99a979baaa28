//! What an engine remembers of its work, for tests to count from.

use std::collections::BTreeMap;

use ploverwick_names::Variant;
use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is still running.
    Running,
    /// Every token was made.
    Finished,
    /// It was cancelled, or its reader stayed away.
    Cancelled,
    /// Its adapter was unloaded under it.
    Aborted,
}

/// A run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The request's identifier.
    pub request: String,
    /// The caller's own name for the work: the body's `user`.
    pub tag: String,
    /// The model that the body asked for.
    pub asked: String,
    /// What it ran on.
    pub variant: Variant,
    /// How it ended.
    pub outcome: Outcome,
}

/// How full the steps were.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Steps {
    /// Steps that computed at least one run.
    pub busy: u64,
    /// Runs computed, summed over the steps.
    pub computed: u64,
    /// The room of the busy steps, summed.
    pub room: u64,
}

/// An engine's records.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Records {
    /// Every run in the order of their start.
    pub runs: Vec<Run>,
    /// How often an adapter was unloaded under a running request.
    pub unloaded_in_use: u64,
    /// How often each adapter was loaded.
    pub loads: BTreeMap<String, u64>,
    /// How many orders were refused for an old token.
    pub stale_orders: u64,
    /// How full the steps were.
    pub steps: Steps,
}
