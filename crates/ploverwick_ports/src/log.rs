//! Client of the platform's append-only log.
//!
//! Protocol: `POST /streams/S/append` with `{"records": [..]}` returns `{"first": offset}`;
//! `GET /streams/S/read?from=F&wait_ms=W` returns a [`Batch`]. Offsets start at 1.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use ploverwick_names::Offset;
use serde::{Deserialize, Serialize};

use crate::client::{CallError, Client};

/// Records to append atomically: in order, with no other record between them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The text of each record.
    pub records: Vec<String>,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first appended record.
    pub first: Offset,
}

/// A stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The offset in the stream.
    pub offset: Offset,
    /// The time of the append, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The text of the record.
    pub text: String,
}

/// The result of a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest retained offset, or `next` if no record is retained.
    pub start: Offset,
    /// The offset of the next append.
    pub next: Offset,
    /// The records starting at the requested offset.
    pub records: Vec<Record>,
}

impl Batch {
    /// Returns whether the batch reached the end of the stream at the time of the read.
    pub fn reaches_end(&self) -> bool {
        match self.records.last() {
            Some(last) => last.offset.0 + 1 == self.next.0,
            None => true,
        }
    }
}

/// A client of the log.
#[derive(Debug, Clone)]
pub struct Log {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Log {
    /// Creates a client of the log at `address`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    /// Appends records to a stream and returns the offset of the first.
    ///
    /// # Errors
    /// After [`CallError::ResponseLost`] the records may or may not be in the stream; read it to
    /// find out.
    pub async fn append(&self, stream: &str, records: Vec<String>) -> Result<Offset, CallError> {
        let path = format!("/streams/{stream}/append");
        let argument = Append { records };
        let appended: Appended = self
            .client
            .call(
                Method::POST,
                self.address,
                &path,
                Some(&argument),
                self.timeout,
            )
            .await?;
        Ok(appended.first)
    }

    /// Reads a stream starting at `from`, waiting up to `wait` if there are no records yet.
    ///
    /// # Errors
    /// Fails if the log cannot be reached or does not respond in time.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        wait: Duration,
    ) -> Result<Batch, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/read?from={from}&wait_ms={wait_ms}");
        let timeout = self.timeout + wait;
        self.client
            .call::<(), _>(Method::GET, self.address, &path, None, timeout)
            .await
    }
}
