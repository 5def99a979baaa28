//! Appends records to the log's stream of endpoint ownership.

use std::time::Duration;

use ploverwick_names::Offset;
use ploverwick_owner::record::Record;
use ploverwick_ports::client::CallError;

use crate::node::Node;

/// The name of the stream in the log.
pub(crate) const STREAM: &str = "owners";
/// The delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Appends records to the stream.
///
/// # Errors
/// Returns the error of the log.
pub(crate) async fn append(node: &Node, records: Vec<Record>) -> Result<Offset, CallError> {
    let texts = records
        .iter()
        .map(|record| serde_json::to_string(record).unwrap_or_default());
    node.log.append(STREAM, texts.collect()).await
}

/// Appends a record and retries until the log confirms it. A duplicate record has no effect.
pub(crate) async fn append_with_retry(node: &Node, record: Record) {
    while append(node, vec![record.clone()]).await.is_err() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
