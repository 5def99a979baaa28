//! Refuses requests while this daemon is not ready.

use std::time::Duration;

use ploverwick_codes::Code;
use ploverwick_codes::attempt::Verdict;
use ploverwick_table::history;

use super::{Exchange, refuse};
use crate::node::Node;

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request while the daemon is draining, and before it has a table.
pub(super) fn apply(node: &Node, _: &mut Exchange) -> Result<(), Verdict> {
    if node.is_draining() {
        let verdict = refuse(Code::Draining, "this instance is leaving");
        return Err(verdict.retry_after(Duration::ZERO));
    }
    if node.current_table.borrow().version == history::NO_VERSION {
        return Err(refuse(Code::NoTable, "no table is in force").retry_after(RETRY_AFTER));
    }
    Ok(())
}
