//! Resolves the policy that the table defines for a request.

use jiff::Timestamp;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_table::policy;
use serde_json::Value;

use super::{Exchange, refuse};
use crate::node::Node;

/// Sets the policy and, if the request names no version, the one that the table pins.
pub(super) fn apply(node: &Node, exchange: &mut Exchange) -> Result<(), Verdict> {
    let table = node.current_table.borrow().table.clone();
    let adapter = &exchange.model.adapter;
    let resolved = policy::resolve(&table, adapter, Some(&exchange.hall), Timestamp::now());
    let Some(policy) = resolved else {
        let message = format!("the table has no row for {adapter}");
        return Err(refuse(Code::ModelUnknown, message));
    };
    if exchange.model.version.is_none() {
        let Some(version) = policy.version.clone() else {
            let message = format!("{} names no version", exchange.model);
            return Err(refuse(Code::VersionMissing, message));
        };
        exchange.model.version = Some(version);
        rewrite_model(exchange)?;
    }
    // A caller may lower the priority that the table grants, but not raise it.
    let granted = policy.priority;
    exchange.priority = Some(
        exchange
            .priority
            .map_or(granted, |asked| asked.min(granted)),
    );
    exchange.policy = Some(policy);
    Ok(())
}

/// Writes the resolved model into the body, so that the engine runs exactly that version.
fn rewrite_model(exchange: &mut Exchange) -> Result<(), Verdict> {
    let malformed = |error: serde_json::Error| refuse(Code::BodyMalformed, error.to_string());
    let mut body: Value = serde_json::from_slice(&exchange.body).map_err(malformed)?;
    body["model"] = Value::String(exchange.model.to_string());
    exchange.body = serde_json::to_vec(&body).map_err(malformed)?.into();
    Ok(())
}
