//! The endpoints that this daemon owns. Each one is run by its own task.

mod orders;
mod send;
mod task;

use std::sync::Arc;

use ploverwick_ports::roster::EndpointEntry;

use crate::node::Node;

/// Starts an endpoint's task unless it is already running.
pub(crate) fn ensure(node: &Arc<Node>, entry: &EndpointEntry) {
    if let Some((sender, commands)) = node.endpoint_tasks.open(&entry.name) {
        let node = Arc::clone(node);
        tokio::spawn(task::run(node, entry.clone(), sender, commands));
    }
}
