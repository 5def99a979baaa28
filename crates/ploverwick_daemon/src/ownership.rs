//! The stream of claims on endpoints, and records that are appended to it.

use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_owner::record::Record;
use ploverwick_ports::client::CallError;

use crate::node::Node;

/// The name of the stream.
pub(crate) const STREAM: &str = "owners";
/// The pause after a failed append.
const PAUSE: Duration = Duration::from_millis(200);

/// Appends records to the stream.
///
/// # Errors
/// Fails as the log does.
pub(crate) async fn append(node: &Node, records: Vec<Record>) -> Result<Offset, CallError> {
    let texts = records
        .iter()
        .map(|record| serde_json::to_string(record).unwrap_or_default());
    node.log.append(STREAM, texts.collect()).await
}

/// Appends a record, again and again until the log confirms it. Twice does no harm.
pub(crate) async fn append_surely(node: &Node, record: Record) {
    while append(node, vec![record.clone()]).await.is_err() {
        tokio::time::sleep(PAUSE).await;
    }
}
