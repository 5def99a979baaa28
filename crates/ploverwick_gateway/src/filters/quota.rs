//! Counts a request against the quota of its organisation.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::Moment;
use ploverwick_quota::{Admission, Decision, Ticket};
use ploverwick_routes::{Organisation, Quota};
use tokio::time::Instant;

use super::reply::Reply;
use super::task::Task;
use crate::metrics;
use crate::shared::Shared;

/// The part of its objective for which a request waits for the instance that pools its quota: it can still be
/// on time. An answer takes a few ms, and up to half a second where that instance has just ended.
const WAIT_SHARE: f64 = 0.3;
/// The longest such wait.
const LONGEST_WAIT: Duration = Duration::from_millis(200);
/// When to come back if there was no answer: another instance pools by then.
const ANSWERED: Duration = Duration::from_millis(500);

/// What a request counted as. It is given back unless the request may have run.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    organisation: Arc<Organisation>,
    cost: u32,
    /// When it was granted.
    granted: Moment,
    /// Sends that may have run.
    sends: AtomicU32,
}

impl Charge {
    /// Takes in that the request goes to an endpoint.
    pub(super) fn sent(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes in that the endpoint has certainly not run it.
    pub(super) fn not_run(&self) {
        self.sends.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.sends.load(Ordering::Relaxed) == 0 {
            let name = &self.organisation.name;
            let mut state = self.shared.state();
            state.allocation.refund(name, self.cost, self.granted);
        }
    }
}

/// A request that waits; it is forgotten when its client leaves.
struct Waiting<'a> {
    shared: &'a Shared,
    organisation: &'a Organisation,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state
            .allocation
            .cancel(&self.organisation.name, self.ticket);
    }
}

/// Counts a request; `None` if its organisation has no quota.
///
/// # Errors
/// Fails if it is over the quota, or if nobody could tell in time.
pub(super) async fn run(shared: &Arc<Shared>, task: &Task) -> Result<Option<Charge>, Reply> {
    let Some(organisation) = task.caller.organisation() else {
        return Ok(None);
    };
    let Some(quota) = &organisation.quota else {
        return Ok(None);
    };
    let cost = quota.cost(task.call.tokens);
    let patience = task.route.objective.mul_f64(WAIT_SHARE).min(LONGEST_WAIT);
    let until = Instant::now() + patience;
    let claim = loop {
        let claim = take(shared, organisation, quota, cost, until).await;
        match claim {
            // There is room before it could not be on time any more.
            Decision::OverQuota(wait) if Instant::now() + wait < until => {
                tokio::time::sleep(wait).await;
            }
            Decision::Granted | Decision::OverQuota(_) | Decision::Pending => break claim,
        }
    };
    match claim {
        Decision::Granted => {
            metrics::quota_units(&organisation.name, cost);
            Ok(Some(Charge {
                shared: Arc::clone(shared),
                organisation: Arc::clone(organisation),
                cost,
                granted: shared.now(),
                sends: AtomicU32::new(0),
            }))
        }
        Decision::OverQuota(wait) => Err(refuse(shared, task, organisation, cost, Some(wait))),
        Decision::Pending => Err(refuse(shared, task, organisation, cost, None)),
    }
}

/// Takes what a request counts as, and asks for it if nothing is at hand.
async fn take(
    shared: &Shared,
    organisation: &Organisation,
    quota: &Quota,
    cost: u32,
    until: Instant,
) -> Decision {
    let now = shared.now();
    let name = &organisation.name;
    let taken = shared.state().allocation.acquire(name, quota, cost, now);
    match taken {
        Admission::Granted => Decision::Granted,
        Admission::OverQuota(wait) => Decision::OverQuota(wait),
        Admission::Pending(ticket) => wait(shared, organisation, ticket, until).await,
    }
}

/// Waits until it is known what becomes of a request, or it could not be on time any more.
async fn wait(
    shared: &Shared,
    organisation: &Organisation,
    ticket: Ticket,
    until: Instant,
) -> Decision {
    let waiting = Waiting {
        shared,
        organisation,
        ticket,
    };
    shared.quota_requested.notify_one();
    loop {
        let settled = shared.quota_decided.notified();
        let claim = shared
            .state()
            .allocation
            .poll(&organisation.name, waiting.ticket);
        if claim != Decision::Pending || tokio::time::timeout_at(until, settled).await.is_err() {
            return claim;
        }
    }
}

fn refuse(
    shared: &Shared,
    task: &Task,
    organisation: &Organisation,
    cost: u32,
    room_in: Option<Duration>,
) -> Reply {
    let code = match room_in {
        Some(_) => Code::QuotaReached,
        None => Code::QuotaUnknown,
    };
    metrics::quota_refused(&organisation.name, code);
    let now = shared.now();
    if shared.log_limiter.allow(now) {
        let pool = shared.state().allocation.pool();
        spdlog::info!(
            "request_over_quota id={} organisation={} cost={} quota={:?} room_in={:?} pool={:?} code={}",
            task.call.id,
            organisation.name,
            cost,
            organisation.quota,
            room_in,
            pool,
            code
        );
    }
    let detail = format!("The request counts as {cost}.");
    Reply::new(code, detail).retry_after(room_in.unwrap_or(ANSWERED))
}
