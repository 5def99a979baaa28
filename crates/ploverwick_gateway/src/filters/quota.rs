//! Charges a request to the quota of its organisation.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_names::Moment;
use ploverwick_quota::{Admission, Decision, Ticket};
use ploverwick_routes::{Organisation, Quota};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::metrics;
use crate::shared::Shared;

/// The fraction of its latency objective for which a request waits for the quota pool, so that it can still
/// meet the objective. The pool answers within a few ms, or within half a second if the instance that acted as
/// the pool has just terminated.
const MAX_WAIT_RATIO: f64 = 0.3;
/// The maximum time a request waits for the quota pool.
const MAX_WAIT: Duration = Duration::from_millis(200);
/// The `Retry-After` if the pool did not answer. Another instance acts as the pool by then.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The quota units charged for a request. They are refunded on drop unless the request may have run.
#[derive(Debug)]
pub(crate) struct Charge {
    shared: Arc<Shared>,
    organisation: Arc<Organisation>,
    cost: u32,
    /// When the units were granted.
    granted_at: Moment,
    /// The number of sends that may have run.
    sends: AtomicU32,
}

impl Charge {
    /// Records that the request is being sent to an endpoint.
    pub(super) fn record_sent(&self) {
        self.sends.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that the endpoint certainly did not run the request.
    pub(super) fn record_not_run(&self) {
        self.sends.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.sends.load(Ordering::Relaxed) == 0 {
            let name = &self.organisation.name;
            let mut state = self.shared.state();
            state.allocation.refund(name, self.cost, self.granted_at);
        }
    }
}

/// A request that waits for a quota decision. It is cancelled on drop, for example when the client
/// disconnects.
struct PendingRequest<'a> {
    shared: &'a Shared,
    organisation: &'a Organisation,
    ticket: Ticket,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state
            .allocation
            .cancel(&self.organisation.name, self.ticket);
    }
}

/// Charges a request; `None` if its organisation has no quota.
///
/// # Errors
/// Fails if the request is over the quota, or if no decision was made in time.
pub(super) async fn run(
    shared: &Arc<Shared>,
    request: &AdmittedRequest,
) -> Result<Option<Charge>, Reply> {
    let Some(organisation) = request.caller.organisation() else {
        return Ok(None);
    };
    let Some(quota) = &organisation.quota else {
        return Ok(None);
    };
    let cost = quota.cost(request.info.tokens);
    let timeout = request
        .route
        .objective
        .mul_f64(MAX_WAIT_RATIO)
        .min(MAX_WAIT);
    let deadline = Instant::now() + timeout;
    let decision = loop {
        let decision = acquire(shared, organisation, quota, cost, deadline).await;
        match decision {
            // Units become available before the deadline, so wait for them.
            Decision::OverQuota(wait) if Instant::now() + wait < deadline => {
                tokio::time::sleep(wait).await;
            }
            Decision::Granted | Decision::OverQuota(_) | Decision::Pending => break decision,
        }
    };
    match decision {
        Decision::Granted => {
            metrics::quota_units(&organisation.name, cost);
            Ok(Some(Charge {
                shared: Arc::clone(shared),
                organisation: Arc::clone(organisation),
                cost,
                granted_at: shared.now(),
                sends: AtomicU32::new(0),
            }))
        }
        Decision::OverQuota(wait) => Err(quota_refusal(
            shared,
            request,
            organisation,
            cost,
            Some(wait),
        )),
        Decision::Pending => Err(quota_refusal(shared, request, organisation, cost, None)),
    }
}

/// Acquires the units for a request, and requests them from the pool if none are available locally.
async fn acquire(
    shared: &Shared,
    organisation: &Organisation,
    quota: &Quota,
    cost: u32,
    deadline: Instant,
) -> Decision {
    let now = shared.now();
    let name = &organisation.name;
    let admission = shared.state().allocation.acquire(name, quota, cost, now);
    match admission {
        Admission::Granted => Decision::Granted,
        Admission::OverQuota(wait) => Decision::OverQuota(wait),
        Admission::Pending(ticket) => {
            wait_for_decision(shared, organisation, ticket, deadline).await
        }
    }
}

/// Waits for the decision on a pending request, until `deadline` at most.
async fn wait_for_decision(
    shared: &Shared,
    organisation: &Organisation,
    ticket: Ticket,
    deadline: Instant,
) -> Decision {
    let pending = PendingRequest {
        shared,
        organisation,
        ticket,
    };
    shared.quota_requested.notify_one();
    loop {
        let settled = shared.quota_decided.notified();
        let decision = shared
            .state()
            .allocation
            .poll(&organisation.name, pending.ticket);
        if decision != Decision::Pending
            || tokio::time::timeout_at(deadline, settled).await.is_err()
        {
            return decision;
        }
    }
}

fn quota_refusal(
    shared: &Shared,
    request: &AdmittedRequest,
    organisation: &Organisation,
    cost: u32,
    retry_after: Option<Duration>,
) -> Reply {
    let code = match retry_after {
        Some(_) => Code::QuotaReached,
        None => Code::QuotaUnknown,
    };
    metrics::quota_refused(&organisation.name, code);
    let now = shared.now();
    if shared.log_limiter.allow(now) {
        let pool = shared.state().allocation.pool();
        spdlog::info!(
            "request_over_quota id={} organisation={} cost={} quota={:?} room_in={:?} pool={:?} code={}",
            request.info.id,
            organisation.name,
            cost,
            organisation.quota,
            retry_after,
            pool,
            code
        );
    }
    let detail = format!("The request counts as {cost}.");
    Reply::new(code, detail).retry_after(retry_after.unwrap_or(UNKNOWN_RETRY_AFTER))
}
