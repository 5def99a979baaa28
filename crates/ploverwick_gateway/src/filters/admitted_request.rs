//! A request that passed admission.

use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ploverwick_endpoints::origins::Attempt;
use ploverwick_endpoints::{Build, Fleet};
use ploverwick_platform::request::{self, RequestInfo};
use ploverwick_quarantine::prompt::{self, Knowledge, MAX_PARTS, Part};
use ploverwick_quarantine::{Fingerprint, Suspect};
use ploverwick_routes::{Organisation, Route};
use tokio::time::Instant;

use super::authenticate::Caller;
use super::quota::Charge;
use super::send_evidence::SendEvidence;
use crate::controllers::origins::Scope;
use crate::pool::ConnectionId;

/// The highest priority value, which is the most urgent in the table. The platform uses the reverse order, in
/// which 0 is the most urgent.
pub(super) const MAX_PRIORITY: u8 = 9;

/// The terms under which a request is served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    /// The priority sent to the endpoint; 0 is the most urgent.
    pub(crate) priority: u8,
    /// The weight relative to other requests.
    pub(crate) weight: f64,
}

impl Terms {
    /// Returns the terms of a request that the table does not cover. The organisation's priority takes
    /// precedence over the route's.
    pub(crate) fn of(route: &Route, organisation: Option<&Arc<Organisation>>) -> Self {
        let organisation_priority = organisation.and_then(|organisation| organisation.priority);
        Self {
            priority: organisation_priority
                .unwrap_or(route.priority)
                .min(MAX_PRIORITY),
            weight: 1.0,
        }
    }
}

/// An admitted request with everything that determines how it is handled.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) info: RequestInfo,
    pub(crate) caller: Caller,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) received: Instant,
    /// When the request times out, by the client's or the operator's setting.
    pub(crate) deadline: Instant,
    /// When the client disconnects if the answer has not started.
    pub(crate) first_event_deadline: Instant,
    /// The terms from the operators' table.
    pub(crate) terms: Terms,
    /// The version of the configuration that chose the route.
    pub(crate) config_version: u64,
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    pub(crate) prompt_parts: OnceLock<Arc<[Part]>>,
    /// The build that began the stream, once that is fixed: nothing else may continue it.
    pub(crate) build: OnceLock<Build>,
    /// The attempt under which the origin of the stream is recorded; `None` if its origin is not known for certain, or if the
    /// request is for no stream that may be resumed.
    pub(crate) origin_attempt: Option<Attempt>,
    /// The quota units charged to its organisation.
    pub(crate) charge: Option<Charge>,
    /// How many times it was sent to endpoints.
    pub(crate) sends: AtomicU32,
    /// The connections on which it was sent. It is not sent on one of them again: its answers all name this attempt, so that
    /// a second answer to the earlier send would be taken for the answer to the later one.
    pub(crate) used_connections: Mutex<Vec<ConnectionId>>,
    /// What was seen of its sends.
    pub(crate) evidence: Mutex<SendEvidence>,
}

impl AdmittedRequest {
    /// Returns the time until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    pub(super) fn lock_used_connections(&self) -> MutexGuard<'_, Vec<ConnectionId>> {
        let used = self.used_connections.lock();
        used.expect("no holder of the lock panics")
    }

    /// Returns whether the request was sent on a connection more than once.
    pub(super) fn is_resent_on(&self, connection: ConnectionId) -> bool {
        let used = self.lock_used_connections();
        used.iter().filter(|id| **id == connection).count() > 1
    }

    pub(super) fn lock_evidence(&self) -> MutexGuard<'_, SendEvidence> {
        let evidence = self.evidence.lock();
        evidence.expect("no holder of the lock panics")
    }

    /// Returns the services that may continue its stream.
    pub(super) fn scope(&self) -> Scope<'_> {
        Scope {
            route: &self.route,
            service: &self.service,
        }
    }

    /// Returns whether the build that an endpoint runs may serve the request.
    pub(super) fn accepts_build_at(&self, endpoint: &str, fleet: &Fleet) -> bool {
        let build = self.build.get();
        build.is_none_or(|build| fleet.runs(endpoint, *build))
    }

    /// Returns the fingerprint that identifies repeated submissions of this request by the same caller. It is
    /// computed lazily, as most requests never need it.
    ///
    /// The model, the adapter and the service are not included: the content is what crashes an endpoint, and a
    /// caller who varies them could otherwise crash three endpoints with each combination.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.target.path_and_query();
            let path = path.map_or("", http::uri::PathAndQuery::as_str);
            let parts = [self.method.as_str(), &self.route.host, path];
            let parts = parts.into_iter().map(str::as_bytes);
            let parts = parts.chain(self.caller_identity());
            Fingerprint::of(parts.chain([&*self.body]))
        })
    }

    /// Returns the parts of its prompt that other requests may share.
    pub(crate) fn prompt_parts(&self) -> &Arc<[Part]> {
        self.prompt_parts.get_or_init(|| {
            let ids = request::shared_prompt_parts(&self.headers);
            let parts = ids.into_iter().take(MAX_PARTS).map(Part::of);
            parts.collect()
        })
    }

    /// Returns the caller as it is compared between requests that share a part of their prompts.
    pub(super) fn prompt_caller(&self) -> prompt::Caller {
        prompt::Caller::of(self.caller_identity())
    }

    /// Returns what identifies the caller in the fingerprint. If the organisation is known, data supplied by the
    /// client is ignored, since a client could use it to impersonate another caller or appear as a new one each
    /// time.
    fn caller_identity(&self) -> [&[u8]; 2] {
        match self.caller.organisation() {
            Some(organisation) => [b"organisation", organisation.name.as_bytes()],
            None => request::caller_credentials(&self.headers),
        }
    }

    /// Returns the record of this request as a possible cause of an endpoint's crash. `known` is what was known of the
    /// parts of its prompt when the answer began.
    pub(crate) fn suspect(&self, known: &Knowledge) -> Suspect {
        Suspect {
            fingerprint: self.fingerprint(),
            parts: Arc::clone(self.prompt_parts()),
            known: known.clone(),
            caller: self.prompt_caller(),
            id: Arc::from(&*self.info.id),
            route: Arc::clone(&self.route.name),
            adapter: self.adapter_name(),
        }
    }

    fn adapter_name(&self) -> Arc<str> {
        let adapter = self.info.adapter.as_ref();
        adapter.map_or_else(Arc::default, |key| Arc::clone(&key.adapter))
    }

    /// Estimates the number of bytes transferred if the request is sent to another failure domain.
    pub(crate) fn cross_domain_bytes(&self) -> usize {
        /// The headers of request and answer.
        const HEADER_BYTES: usize = 900;
        /// One event of an answer, including transport headers and chunk framing.
        const EVENT_BYTES: usize = 80;
        const TOKENS_PER_EVENT: usize = 5;
        let events = self.info.answer_tokens as usize / TOKENS_PER_EVENT;
        HEADER_BYTES + self.body.len() + events * EVENT_BYTES
    }
}
