//! Finds what the table says of a request.

use jiff::Timestamp;
use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_table::policy;
use serde_json::Value;

use super::{Exchange, refuse};
use crate::node::Node;

/// Fills in the terms and, if the table pins one, the version.
pub(super) fn apply(node: &Node, exchange: &mut Exchange) -> Result<(), Verdict> {
    let table = node.in_force.borrow().table.clone();
    let adapter = &exchange.model.adapter;
    let resolved = policy::resolve(&table, adapter, Some(&exchange.hall), Timestamp::now());
    let Some(terms) = resolved else {
        let message = format!("the table has no row for {adapter}");
        return Err(refuse(Code::ModelUnknown, message));
    };
    if exchange.model.version.is_none() {
        let Some(version) = terms.version.clone() else {
            let message = format!("{} names no version", exchange.model);
            return Err(refuse(Code::VersionMissing, message));
        };
        exchange.model.version = Some(version);
        rewrite_model(exchange)?;
    }
    // A caller may ask for less urgency than the table grants, never for more.
    let granted = terms.priority;
    exchange.priority = Some(
        exchange
            .priority
            .map_or(granted, |asked| asked.min(granted)),
    );
    exchange.terms = Some(terms);
    Ok(())
}

/// Puts the resolved model into the body, so that the engine is asked for exactly that version.
fn rewrite_model(exchange: &mut Exchange) -> Result<(), Verdict> {
    let malformed = |error: serde_json::Error| refuse(Code::BodyMalformed, error.to_string());
    let mut body: Value = serde_json::from_slice(&exchange.body).map_err(malformed)?;
    body["model"] = Value::String(exchange.model.to_string());
    exchange.body = serde_json::to_vec(&body).map_err(malformed)?.into();
    Ok(())
}
