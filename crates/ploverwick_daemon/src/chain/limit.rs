//! Enforces the rate limits in the table.

use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;

use super::{Exchange, refuse};
use crate::lock::lock;
use crate::node::Node;

/// Takes a token from every limit that applies to the request.
pub(super) fn apply(node: &Node, exchange: &mut Exchange) -> Result<(), Verdict> {
    let Some(policy) = &exchange.policy else {
        return Ok(());
    };
    if policy.limits.is_empty() {
        return Ok(());
    }
    let sharers = node.sharers();
    let now = node.now();
    let mut rates = lock(&node.rates);
    for limit in &policy.limits {
        rates
            .take_shared(&limit.subject, &limit.column, limit.rate, sharers, now)
            .map_err(|wait| {
                let message = format!("{} of {} is reached", limit.column, limit.subject);
                refuse(Code::LimitReached, message).retry_after(wait)
            })?;
    }
    Ok(())
}
