//! The endpoints that this daemon owns, each with a task of its own.

mod orders;
mod send;
mod task;

use std::sync::Arc;

use ploverwick_ports::roster::EndpointEntry;

use crate::node::Node;

/// Starts an endpoint's task, unless it runs.
pub(crate) fn ensure(node: &Arc<Node>, entry: &EndpointEntry) {
    if let Some((sender, commands)) = node.owners.open(&entry.name) {
        let node = Arc::clone(node);
        tokio::spawn(task::run(node, entry.clone(), sender, commands));
    }
}
