//! A fake engine.

use std::collections::{BTreeMap, BTreeSet};

use ploverwick_names::{Incarnation, Life, Request, Token, Variant};
use ploverwick_owner::endpoint::{Report, ReportedSlot};

const MAX_BATCH_REQUESTS: u32 = 8;

/// A fake engine, which records unloads of adapters that are in use.
#[derive(Debug)]
pub(super) struct Engine {
    checks_tokens: bool,
    slots: u32,
    incarnation: Incarnation,
    newest_token: Token,
    loaded: BTreeSet<Variant>,
    runs: BTreeMap<Request, (Variant, Life)>,
    unloaded_in_use: Vec<Variant>,
}

impl Engine {
    pub(super) fn new(checks_tokens: bool, slots: u32) -> Self {
        Self {
            checks_tokens,
            slots,
            incarnation: Incarnation(1),
            newest_token: Token(0),
            loaded: BTreeSet::new(),
            runs: BTreeMap::new(),
            unloaded_in_use: Vec::new(),
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(super) fn restart(&mut self) {
        self.incarnation.0 += 1;
        self.newest_token = Token(0);
        self.loaded.clear();
        self.runs.clear();
    }

    pub(super) fn fence(&mut self, token: Token) -> bool {
        if !self.checks_tokens {
            return true;
        }
        let passes = token >= self.newest_token;
        self.newest_token = self.newest_token.max(token);
        passes
    }

    pub(super) fn load(&mut self, variant: &Variant, token: Token) -> bool {
        if !self.fence(token) {
            return false;
        }
        if self.loaded.contains(variant) {
            return true;
        }
        let free = self.loaded.len() < self.slots as usize;
        if free {
            self.loaded.insert(variant.clone());
        }
        free
    }

    pub(super) fn unload(&mut self, variant: &Variant, token: Token) -> bool {
        if !self.fence(token) {
            return false;
        }
        self.loaded.remove(variant);
        let used = self.runs.values().any(|(used, _)| used == variant);
        if used {
            self.unloaded_in_use.push(variant.clone());
            self.runs.retain(|_, (used, _)| used != variant);
        }
        true
    }

    pub(super) fn run(&mut self, request: &Request, variant: &Variant, from: &Life) -> bool {
        let loaded = self.loaded.contains(variant);
        if loaded {
            let run = (variant.clone(), from.clone());
            self.runs.insert(request.clone(), run);
        }
        loaded
    }

    pub(super) fn finish(&mut self, request: &str) -> Option<Life> {
        self.runs.remove(request).map(|(_, life)| life)
    }

    /// Cancels the runs of a killed process, whose connections are broken.
    pub(super) fn cancel_runs_of(&mut self, life: &Life) {
        self.runs.retain(|_, (_, from)| from != life);
    }

    pub(super) fn running(&self) -> Vec<Request> {
        self.runs.keys().cloned().collect()
    }

    pub(super) fn take_unloaded_in_use(&mut self) -> Vec<Variant> {
        std::mem::take(&mut self.unloaded_in_use)
    }

    pub(super) fn report(&self) -> Report {
        let used = self.loaded.iter().map(|variant| {
            let users = self.runs.values().filter(|(used, _)| used == variant);
            ReportedSlot {
                variant: variant.clone(),
                ready: true,
                running: u32::try_from(users.count()).unwrap_or(u32::MAX),
            }
        });
        Report {
            incarnation: self.incarnation,
            slots: self.slots,
            batch: MAX_BATCH_REQUESTS,
            used: used.collect(),
        }
    }

    pub(super) fn describe(&self) -> String {
        let loaded = self.loaded.iter().map(|variant| variant.adapter.as_str());
        let runs = self
            .runs
            .iter()
            .map(|(request, (variant, _))| format!("{request}:{}", variant.adapter));
        format!(
            "loaded [{}]; running [{}]",
            loaded.collect::<Vec<_>>().join(" "),
            runs.collect::<Vec<_>>().join(" ")
        )
    }
}
