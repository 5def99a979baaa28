//! Finds out which organisation calls, by the key that a request carries.
//!
//! The key goes no further than this: what follows knows its digest and its holder.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use ploverwick_codes::Code;
use ploverwick_platform::request::{self, Credential};
use ploverwick_routes::{Config, KeyDigest, Organisation, Route};

use super::reply::Reply;
use super::task::Task;
use crate::metrics;
use crate::shared::Shared;

/// When to come back to an instance that cannot confirm its configuration: a second is the pace at which it
/// is confirmed once the store answers.
const CONFIRMED: Duration = Duration::from_secs(1);

/// Who calls.
#[derive(Debug, Clone)]
pub(crate) enum Caller {
    /// The configuration has no organisations.
    Unnamed,
    /// The route needs no key.
    Anonymous,
    /// The holder of a key.
    Holder {
        key: KeyDigest,
        organisation: Arc<Organisation>,
    },
}

impl Caller {
    /// Returns the organisation, if there is one.
    pub(crate) fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Self::Unnamed | Self::Anonymous => None,
            Self::Holder { organisation, .. } => Some(organisation),
        }
    }

    /// Returns what endpoints are told.
    pub(super) fn told(&self) -> request::Caller<'_> {
        match self {
            Self::Unnamed => request::Caller::Unnamed,
            Self::Anonymous => request::Caller::Anonymous,
            Self::Holder { organisation, .. } => request::Caller::Organisation(&organisation.name),
        }
    }
}

/// Finds the caller of the request `id`, whose headers have just been read.
///
/// # Errors
/// Fails if the route needs a key and the request has no valid one, or if it is not certain enough that
/// the key was not revoked.
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
    // The client sent it no later than now, and nothing that was acknowledged a bound ago is unknown. What
    // becomes of it later is no matter of this bound any more.
    if shared.is_stale() {
        refused(shared, id, &route.name, config.version, "stale");
        return Err(Reply::new(Code::ConfigurationStale, "")
            .retry_after(CONFIRMED)
            .closing());
    }
    let found = match request::credential(headers) {
        Credential::Key(key) => holder(config, key),
        Credential::Missing => Err("missing"),
        Credential::Several => Err("several"),
    };
    found.map_err(|cause| {
        refused(shared, id, &route.name, config.version, cause);
        Reply::new(Code::KeyUnknown, "")
    })
}

/// Finds the caller anew, right before a request is sent: the key may have been taken away while it waited.
///
/// # Errors
/// Fails if the key is not valid any more.
pub(super) fn again(shared: &Shared, task: &Task) -> Result<Caller, Reply> {
    let Caller::Holder { key, .. } = &task.caller else {
        return Ok(task.caller.clone());
    };
    let config = shared.state().config.clone();
    let found = match &config {
        Some(config) if config.organisations().is_none() => return Ok(Caller::Anonymous),
        Some(config) => holder(config, *key),
        None => Err("no_configuration"),
    };
    found.map_err(|cause| {
        let version = config.map_or(0, |config| config.version);
        refused(shared, &task.call.id, &task.route.name, version, cause);
        Reply::new(Code::KeyUnknown, "")
    })
}

/// Finds the holder of a key, or says why there is none.
fn holder(config: &Config, key: KeyDigest) -> Result<Caller, &'static str> {
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

/// Counts a request that is refused for its key, and says by which configuration and how old that can be. The
/// key is in neither.
fn refused(shared: &Shared, id: &str, route: &str, version: u64, cause: &'static str) {
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
