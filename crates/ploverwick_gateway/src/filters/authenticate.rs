//! Identifies the calling organisation by the API key of a request.
//!
//! The key itself does not leave this module; later filters see only its digest and its organisation.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use ploverwick_codes::Code;
use ploverwick_platform::request::{self, Credential};
use ploverwick_routes::{Config, KeyDigest, Organisation, Route};

use super::admitted_request::AdmittedRequest;
use super::reply::Reply;
use crate::metrics;
use crate::shared::Shared;

/// The `Retry-After` of an instance that cannot confirm its configuration. Once the store answers, the
/// configuration is confirmed every second.
const STALE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The caller of a request.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// The configuration defines no organisations.
    Unnamed,
    /// The route requires no key.
    Anonymous,
    /// The organisation that a valid key belongs to.
    Holder {
        key: KeyDigest,
        organisation: Arc<Organisation>,
    },
}

impl Caller {
    /// Returns the organisation, if the caller has one.
    pub(crate) fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Unnamed | Self::Anonymous => None,
            Self::Holder { organisation, .. } => Some(organisation),
        }
    }

    /// Returns the caller as it is sent to endpoints.
    pub(super) fn for_endpoint(&self) -> request::Caller<'_> {
        match self {
            Self::Unnamed => request::Caller::Unnamed,
            Self::Anonymous => request::Caller::Anonymous,
            Self::Holder { organisation, .. } => request::Caller::Organisation(&organisation.name),
        }
    }
}

/// Identifies the caller of the request `id`, whose headers have just been read.
///
/// # Errors
/// Fails if the route requires a key and the request has no valid one, or if the configuration is so old
/// that the key may have been revoked.
pub(super) fn run(
    shared: &Shared,
    config: &Config,
    route: &Route,
    id: &str,
    headers: &HeaderMap,
) -> Result<Caller, Reply> {
    if config.organisations().is_none() {
        return Ok(Caller::Unnamed);
    }
    if !route.needs_key {
        return Ok(Caller::Anonymous);
    }
    // The client sent the key no later than now, and every revocation acknowledged longer ago than the bound
    // is known. Revocations after this point are not subject to the bound for this request.
    if shared.is_stale() {
        record_refusal(shared, id, &route.name, config.version, "stale");
        return Err(Reply::new(Code::ConfigurationStale, "")
            .retry_after(STALE_RETRY_AFTER)
            .closing());
    }
    let found = match request::credential(headers) {
        Credential::Key(key) => find_holder(config, key),
        Credential::Missing => Err("missing"),
        Credential::Several => Err("several"),
    };
    found.map_err(|cause| {
        record_refusal(shared, id, &route.name, config.version, cause);
        Reply::new(Code::KeyUnknown, "")
    })
}

/// Identifies the caller again right before a request is sent, since the key may have been revoked while
/// the request waited.
///
/// # Errors
/// Fails if the key is no longer valid.
pub(super) fn revalidate(shared: &Shared, request: &AdmittedRequest) -> Result<Caller, Reply> {
    let Caller::Holder { key, .. } = &request.caller else {
        return Ok(request.caller.clone());
    };
    let config = shared.state().config.clone();
    let found = match &config {
        Some(config) if config.organisations().is_none() => return Ok(Caller::Anonymous),
        Some(config) => find_holder(config, *key),
        None => Err("no_configuration"),
    };
    found.map_err(|cause| {
        let version = config.map_or(0, |config| config.version);
        record_refusal(
            shared,
            &request.info.id,
            &request.route.name,
            version,
            cause,
        );
        Reply::new(Code::KeyUnknown, "")
    })
}

/// Finds the organisation that holds a key, or returns the cause for the log and metrics.
fn find_holder(config: &Config, key: KeyDigest) -> Result<Caller, &'static str> {
    let organisations = config.organisations();
    let holder = organisations.and_then(|organisations| organisations.find_by_key(&key));
    match holder {
        Some(organisation) => Ok(Caller::Holder {
            key,
            organisation: Arc::clone(organisation),
        }),
        None => Err("unknown"),
    }
}

/// Records in the metrics and the log that a request was refused because of its key. The log line includes the
/// version and maximum age of the configuration; neither contains the key.
fn record_refusal(shared: &Shared, id: &str, route: &str, version: u64, cause: &'static str) {
    metrics::key_refused(cause);
    let now = shared.now();
    if !shared.log_limiter.allow(now) {
        return;
    }
    let age = shared.state().freshness.age(now);
    spdlog::info!(
        "key_refused id={} route={} config={} age_ms={:?} cause={}",
        id,
        route,
        version,
        age.map(|age| age.as_millis()),
        cause
    );
}
