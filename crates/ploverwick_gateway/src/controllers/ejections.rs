//! Reports endpoints that this instance ejects.

use crate::metrics;
use crate::shared::Shared;

/// Reports that an endpoint is ejected. `cause` is the last outcome of a request there.
pub(crate) fn report(shared: &Shared, endpoint: &str, cause: &'static str) {
    metrics::endpoint_ejected(cause);
    if shared.log_limiter.allow(shared.now()) {
        spdlog::info!("endpoint_ejected endpoint={} cause={}", endpoint, cause);
    }
}
