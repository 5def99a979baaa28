//! Publishing and reading the operators' table in the platform's store.

use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use ploverwick_platform::TABLE_TOPIC;
use ploverwick_platform::store::{Error, Store};
use ploverwick_platform::table::{Assembler, encode};

/// The table's topic has a single partition.
const PARTITIONS: u32 = 1;

/// The published table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// The version, which is the base of the next publication.
    pub version: u64,
    /// The text, as CSV; `None` if none was published yet.
    pub text: Option<String>,
}

/// Reads the published table.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn show(store: SocketAddr) -> Result<Published> {
    let snapshot = Store::new(store, PARTITIONS).newest(TABLE_TOPIC).await?;
    let mut assembly = Assembler::default();
    let mut text = None;
    for record in &snapshot.records {
        text = assembly.take(record)?.or(text);
    }
    Ok(Published {
        version: snapshot.end.offset,
        text,
    })
}

/// Publishes a table, unless another one has been published since version `base`, and returns its version.
///
/// # Errors
/// Fails if the table is invalid, if another one has been published since `base`, or if the store does not
/// answer; in the last case the table may have been published anyway.
pub async fn publish(store: SocketAddr, text: &str, base: u64) -> Result<u64> {
    if let Err(findings) = ploverwick_table::parse::parse(text) {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        bail!("the table has faults:\n{}", lines.join("\n"));
    }
    let records = encode(text);
    let store = Store::new(store, PARTITIONS);
    match store.append(TABLE_TOPIC, &records, Some(base)).await {
        Ok(()) => Ok(base + records.len() as u64),
        Err(Error::Conflict) => bail!(
            "another table was published since version {base}; \
             take `table show`, merge, and publish with its version as the base"
        ),
        Err(error) => {
            Err(error).context("publish the table; check with `table show` before trying again")
        }
    }
}
