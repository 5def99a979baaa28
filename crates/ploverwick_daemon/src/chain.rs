//! The chain of filters that a request passes before it is relayed.
//!
//! [`read()`] parses the request into an [`Exchange`]. Each of the [`FILTERS`] then checks it in order
//! and may refuse it. The request has not been sent anywhere yet, so every refusal means "not run".

mod identify;
mod limit;
mod read;
mod ready;
mod resolve;

use bytes::Bytes;
use ploverwick_claims::Key;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::{Attempt, Verdict};
use ploverwick_names::{Caller, Hall, Model, Moment, Request, Variant};
use ploverwick_table::policy::Policy;

use crate::node::Node;

pub(crate) use identify::identify;
pub(crate) use read::{deadline, idempotency_key, read, read_body, remaining};

/// An idempotency key and the time of its creation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct IdempotencyKey {
    /// The digest of caller and key.
    pub(crate) key: Key,
    /// When the caller created the key, in milliseconds since the Unix epoch.
    pub(crate) made_ms: u64,
}

/// A request to a model on its way through the chain.
#[derive(Debug, Clone)]
pub(crate) struct Exchange {
    pub(crate) request: Request,
    pub(crate) caller: Caller,
    pub(crate) path: String,
    pub(crate) model: Model,
    pub(crate) body: Bytes,
    pub(crate) stream: bool,
    pub(crate) hall: Hall,
    pub(crate) priority: Option<u8>,
    pub(crate) deadline: Moment,
    pub(crate) idempotent: bool,
    pub(crate) idempotency_key: Option<IdempotencyKey>,
    pub(crate) resume_after: u64,
    pub(crate) policy: Option<Policy>,
}

impl Exchange {
    /// Returns the adapter version that the request runs on, or `None` before it is resolved.
    pub(crate) fn variant(&self) -> Option<Variant> {
        let version = self.model.version.clone()?;
        Some(Variant {
            adapter: self.model.adapter.clone(),
            version,
        })
    }
}

/// A filter of the chain. Its name is the label in the metrics.
struct Filter {
    name: &'static str,
    apply: fn(&Node, &mut Exchange) -> Result<(), Verdict>,
}

/// The filters, in the order of application.
const FILTERS: &[Filter] = &[
    Filter {
        name: "ready",
        apply: ready::apply,
    },
    Filter {
        name: "resolve",
        apply: resolve::apply,
    },
    Filter {
        name: "limit",
        apply: limit::apply,
    },
];

/// Applies all filters to a request.
///
/// # Errors
/// Returns the verdict of the first filter that refuses it.
pub(crate) fn pass(node: &Node, exchange: &mut Exchange) -> Result<(), Verdict> {
    for filter in FILTERS {
        (filter.apply)(node, exchange).inspect_err(|verdict| {
            let code = verdict.code().name();
            metrics::counter!("ploverwick_filter_refusals", "filter" => filter.name, "code" => code)
                .increment(1);
        })?;
    }
    Ok(())
}

/// Creates the verdict of a request that was not sent.
pub(crate) fn refuse(code: Code, message: impl Into<String>) -> Verdict {
    Attempt::new().refuse(code, message)
}
