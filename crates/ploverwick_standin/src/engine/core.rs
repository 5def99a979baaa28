//! The state of the engine: adapter slots, runs and batching.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use ploverwick_names::{Incarnation, Token, Variant};
use ploverwick_ports::engine::{Report, Slot, SlotState};
use ploverwick_timeline::clock::now_millis;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Config;
use super::cache::Cache;
use super::records::{Outcome, Records, Run};

/// The minimum interval between snapshots of the state for lagging reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(20);
/// The number of report snapshots that are retained.
const MAX_REPORTS: usize = 256;

/// The output of a run so far. Readers watch it.
#[derive(Debug, Default)]
pub(super) struct Output {
    /// The text of each generated token.
    pub(super) tokens: Vec<Bytes>,
    /// The outcome; `None` while the run is active.
    pub(super) outcome: Option<Outcome>,
}

#[derive(Debug)]
struct ActiveRun {
    index: usize,
    variant: Variant,
    priority: u32,
    arrival: u64,
    max_tokens: usize,
    output: watch::Sender<Output>,
    /// When the run was first seen without a reader.
    unread_since: Option<Instant>,
}

/// A request to start or resume a run.
#[derive(Debug)]
pub(super) struct RunRequest {
    pub(super) request: String,
    pub(super) tag: String,
    pub(super) asked: String,
    pub(super) variant: Variant,
    pub(super) priority: u32,
    pub(super) tokens: usize,
    pub(super) prompt: String,
    /// Whether the caller has already received a part of the response.
    pub(super) resumes: bool,
}

/// The reason for refusing an order or a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    StaleToken,
    NoSlot,
    NotLoaded,
    NothingToResume,
}

impl Refusal {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::StaleToken => "stale_token",
            Self::NoSlot => "no_slot",
            Self::NotLoaded => "adapter_not_loaded",
            Self::NothingToResume => "nothing_to_resume",
        }
    }
}

#[derive(Debug)]
pub(super) struct Core {
    slots: u32,
    batch: u32,
    generates_at_once: bool,
    checks_tokens: bool,
    report_lag: Duration,
    resume_window: Duration,
    incarnation: Incarnation,
    highest_token: Token,
    used: BTreeMap<Variant, SlotState>,
    active: BTreeMap<String, ActiveRun>,
    /// The outputs of finished runs, kept for a resumption.
    finished: BTreeMap<String, watch::Sender<Output>>,
    /// The finish times of the runs in `finished`, oldest first.
    finish_times: VecDeque<(Instant, String)>,
    arrivals: u64,
    reports: VecDeque<(Instant, Report)>,
    pub(super) records: Records,
    pub(super) cache: Cache,
}

impl Core {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            slots: config.slots,
            batch: config.batch,
            generates_at_once: config.step.is_zero(),
            checks_tokens: config.checks_tokens,
            report_lag: config.report_lag,
            resume_window: config.resume_window,
            incarnation: Incarnation(now_millis()),
            highest_token: Token(0),
            used: BTreeMap::new(),
            active: BTreeMap::new(),
            finished: BTreeMap::new(),
            finish_times: VecDeque::new(),
            arrivals: 0,
            reports: VecDeque::new(),
            records: Records::default(),
            cache: Cache::default(),
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Clears slots and runs, as a restart does. The records stay.
    pub(super) fn restart(&mut self) {
        let next = now_millis().max(self.incarnation.0 + 1);
        self.incarnation = Incarnation(next);
        self.used.clear();
        let runs: Vec<String> = self.active.keys().cloned().collect();
        for request in runs {
            self.end(&request, Outcome::Cancelled);
        }
        self.finished.clear();
        self.finish_times.clear();
        self.reports.clear();
        self.highest_token = Token(0);
        self.cache.clear();
    }

    pub(super) fn check_token(&mut self, token: Token) -> Result<(), Refusal> {
        if !self.checks_tokens {
            return Ok(());
        }
        if token < self.highest_token {
            self.records.stale_orders += 1;
            return Err(Refusal::StaleToken);
        }
        self.highest_token = token;
        Ok(())
    }

    /// Starts a load; returns `false` if the variant is already loaded or loading.
    pub(super) fn begin_load(&mut self, variant: &Variant) -> Result<bool, Refusal> {
        if self.used.contains_key(variant) {
            return Ok(false);
        }
        if self.used.len() >= self.slots as usize {
            return Err(Refusal::NoSlot);
        }
        self.used.insert(variant.clone(), SlotState::Loading);
        Ok(true)
    }

    /// Completes a load, unless the engine has restarted since the load began.
    pub(super) fn end_load(&mut self, variant: &Variant, started_in: Incarnation, ok: bool) {
        if started_in != self.incarnation {
            return;
        }
        if !ok {
            self.used.remove(variant);
            return;
        }
        if let Some(state) = self.used.get_mut(variant) {
            *state = SlotState::Loaded;
            *self.records.loads.entry(variant.to_string()).or_default() += 1;
        }
    }

    pub(super) fn is_loaded(&self, variant: &Variant) -> bool {
        self.used.get(variant) == Some(&SlotState::Loaded)
    }

    /// Unloads an adapter. Runs that use it are aborted, and the records count the violation.
    pub(super) fn unload(&mut self, variant: &Variant) {
        self.used.remove(variant);
        let requests: Vec<String> = self
            .active
            .iter()
            .filter(|(_, run)| run.variant == *variant)
            .map(|(request, _)| request.clone())
            .collect();
        if !requests.is_empty() {
            self.records.unloaded_in_use += 1;
        }
        for request in requests {
            self.end(&request, Outcome::Aborted);
        }
    }

    /// Starts a run, or resumes the run with the same request identifier.
    pub(super) fn start(
        &mut self,
        run_request: RunRequest,
    ) -> Result<watch::Receiver<Output>, Refusal> {
        if let Some(run) = self.active.get_mut(&run_request.request) {
            run.unread_since = None;
            return Ok(run.output.subscribe());
        }
        if let Some(output) = self.finished.get(&run_request.request) {
            return Ok(output.subscribe());
        }
        if run_request.resumes {
            return Err(Refusal::NothingToResume);
        }
        if !self.is_loaded(&run_request.variant) {
            return Err(Refusal::NotLoaded);
        }
        self.arrivals += 1;
        self.cache.insert(&run_request.prompt);
        self.records.runs.push(Run {
            request: run_request.request.clone(),
            tag: run_request.tag,
            asked: run_request.asked,
            variant: run_request.variant.clone(),
            outcome: Outcome::Running,
        });
        let (output, reader) = watch::channel(Output::default());
        let run = ActiveRun {
            index: self.records.runs.len() - 1,
            variant: run_request.variant,
            priority: run_request.priority,
            arrival: self.arrivals,
            max_tokens: run_request.tokens,
            output,
            unread_since: None,
        };
        let request = run_request.request.clone();
        self.active.insert(run_request.request, run);
        while self.generates_at_once && self.active.contains_key(&request) {
            self.advance(&request);
        }
        Ok(reader)
    }

    pub(super) fn cancel(&mut self, request: &str) {
        self.end(request, Outcome::Cancelled);
    }

    fn end(&mut self, request: &str, outcome: Outcome) {
        if let Some(run) = self.active.remove(request) {
            self.records.runs[run.index].outcome = outcome;
            run.output
                .send_modify(|output| output.outcome = Some(outcome));
            if outcome == Outcome::Finished {
                let now = Instant::now();
                self.finish_times.push_back((now, request.to_owned()));
                self.finished.insert(request.to_owned(), run.output);
            }
        }
    }

    /// Computes one step: generates a token for each of the runs with the highest priority, up to
    /// the batch size. Runs of equal priority go in order of arrival.
    pub(super) fn step(&mut self) {
        self.record_report();
        self.drop_unread_runs();
        let mut order: Vec<(std::cmp::Reverse<u32>, u64, String)> = self
            .active
            .iter()
            .map(|(request, run)| {
                (
                    std::cmp::Reverse(run.priority),
                    run.arrival,
                    request.clone(),
                )
            })
            .collect();
        if order.is_empty() {
            return;
        }
        order.sort();
        order.truncate(self.batch as usize);
        self.records.steps.busy += 1;
        self.records.steps.computed += order.len() as u64;
        self.records.steps.room += u64::from(self.batch);
        for (_, _, request) in order {
            self.advance(&request);
        }
    }

    fn advance(&mut self, request: &str) {
        let Some(run) = self.active.get(request) else {
            return;
        };
        let generated = run.output.borrow().tokens.len();
        let token = Bytes::from(format!("{}:{generated} ", run.variant.adapter));
        run.output.send_modify(|output| output.tokens.push(token));
        if generated + 1 >= run.max_tokens {
            self.end(request, Outcome::Finished);
        }
    }

    /// Discards finished outputs and cancels runs without a reader after the resume window.
    fn drop_unread_runs(&mut self) {
        let now = Instant::now();
        let window = self.resume_window;
        while let Some((at, _)) = self.finish_times.front()
            && now.duration_since(*at) >= window
        {
            if let Some((_, request)) = self.finish_times.pop_front() {
                self.finished.remove(&request);
            }
        }
        let mut abandoned = Vec::new();
        for (request, run) in &mut self.active {
            if run.output.receiver_count() > 0 {
                run.unread_since = None;
                continue;
            }
            let since = *run.unread_since.get_or_insert(now);
            if now.duration_since(since) >= self.resume_window {
                abandoned.push(request.clone());
            }
        }
        for request in abandoned {
            self.cancel(&request);
        }
    }

    fn record_report(&mut self) {
        let now = Instant::now();
        let newest = self.reports.back();
        if newest.is_some_and(|(at, _)| now.duration_since(*at) < REPORT_INTERVAL) {
            return;
        }
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        let report = self.report_now();
        self.reports.push_back((Instant::now(), report));
    }

    /// Returns the newest report that is at least as old as the lag, or else the oldest one.
    pub(super) fn report(&self) -> Report {
        let now = Instant::now();
        let lagged = self
            .reports
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.report_lag)
            .or_else(|| self.reports.front());
        lagged.map_or_else(|| self.report_now(), |(_, report)| report.clone())
    }

    fn report_now(&self) -> Report {
        let running = |variant: &Variant| {
            let requests = self.active.values().filter(|run| run.variant == *variant);
            u32::try_from(requests.count()).unwrap_or(u32::MAX)
        };
        let used = self.used.iter().map(|(variant, state)| Slot {
            variant: variant.clone(),
            state: *state,
            running: running(variant),
        });
        Report {
            incarnation: self.incarnation,
            slots: self.slots,
            batch: self.batch,
            running: u32::try_from(self.active.len()).unwrap_or(u32::MAX),
            used: used.collect(),
            leaving: false,
        }
    }
}
