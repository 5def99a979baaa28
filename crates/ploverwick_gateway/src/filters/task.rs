//! A request that was admitted.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use ploverwick_platform::request::{self, RequestInfo};
use ploverwick_quarantine::{Fingerprint, Suspect};
use ploverwick_routes::{Organisation, Route};
use tokio::time::Instant;

use super::identify::Caller;
use super::quota::Charge;

/// The table's most urgent priority; the platform counts the other way round.
pub(super) const MOST_URGENT: u8 = 9;

/// What holds for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Terms {
    /// The priority towards the endpoint, 0 first.
    pub(crate) priority: u8,
    /// The weight against other requests.
    pub(crate) weight: f64,
}

impl Terms {
    /// Returns the terms of a request that the table does not cover: the organisation's priority goes before
    /// the route's.
    pub(crate) fn of(route: &Route, organisation: Option<&Arc<Organisation>>) -> Self {
        let own = organisation.and_then(|organisation| organisation.priority);
        Self {
            priority: own.unwrap_or(route.priority).min(MOST_URGENT),
            weight: 1.0,
        }
    }
}

/// A request with all that decides how it is handled.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) call: RequestInfo,
    pub(crate) caller: Caller,
    pub(crate) route: Arc<Route>,
    pub(crate) service: Arc<str>,
    pub(crate) received: Instant,
    /// When the client or the operator will not wait any longer.
    pub(crate) deadline: Instant,
    /// When the client leaves if no answer has begun.
    pub(crate) begin_by: Instant,
    /// What the operators' table says.
    pub(crate) terms: Terms,
    /// The version of the configuration that chose the route.
    pub(crate) config: u64,
    pub(crate) fingerprint: OnceLock<Fingerprint>,
    /// What it counts as against its organisation's quota.
    pub(crate) charge: Option<Charge>,
}

impl Task {
    /// Returns the time that is left.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns what makes it the same request as another attempt of the same caller. Worked out when it
    /// is first asked for: most requests never are.
    ///
    /// The model, the adapter and the service are no part of it: what ends an endpoint is the content, and
    /// a caller who varies them would end three endpoints with each.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.target.path_and_query();
            let path = path.map_or("", http::uri::PathAndQuery::as_str);
            let parts = [self.method.as_str(), &self.route.host, path];
            let parts = parts.into_iter().map(str::as_bytes);
            let parts = parts.chain(self.identity());
            Fingerprint::of(parts.chain([&*self.body]))
        })
    }

    /// Returns what tells its caller from others. Where an organisation is known nothing that the client wrote
    /// counts: it could pass for another one, or for a new one each time.
    fn identity(&self) -> [&[u8]; 2] {
        match self.caller.organisation() {
            Some(organisation) => [b"organisation", organisation.name.as_bytes()],
            None => request::caller_credentials(&self.headers),
        }
    }

    /// Returns what is remembered of it if its endpoint may have ended under it.
    pub(crate) fn suspect(&self) -> Suspect {
        Suspect {
            fingerprint: self.fingerprint(),
            id: Arc::from(&*self.call.id),
        }
    }

    /// Returns about how many bytes an endpoint in another failure domain would cost.
    pub(crate) fn bytes(&self) -> usize {
        /// Headers of request and answer.
        const HEADERS: usize = 900;
        /// One event of an answer, with its share of headers and chunks.
        const EVENT: usize = 80;
        /// Tokens in an event.
        const TOKENS: usize = 5;
        let events = self.call.answer_tokens as usize / TOKENS;
        HEADERS + self.body.len() + events * EVENT
    }
}
