//! The platform's append-only log.
//!
//! Dialect: `POST /streams/S/append` with `{"records": [..]}` gives `{"first": offset}`;
//! `GET /streams/S/read?from=F&wait_ms=W` gives a [`Batch`]. Offsets start at 1.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use ploverwick_names::Offset;
use serde::{Deserialize, Serialize};

use crate::client::{Client, Fault};

/// Records to append, in order and without another record between them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Append {
    /// The records' texts.
    pub records: Vec<String>,
}

/// Where an append went.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// The offset of the first record.
    pub first: Offset,
}

/// A record as the log holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its place in the stream.
    pub offset: Offset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Its text.
    pub text: String,
}

/// What a read gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The oldest offset that the log still holds, or the next one if it holds none.
    pub start: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// The records from the offset asked for on.
    pub records: Vec<Record>,
}

impl Batch {
    /// Says whether the batch reaches the end of the stream as it was when it was read.
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
    /// Makes a client of the log at `address`.
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
    /// After [`Fault::Lost`] the records may or may not be in the stream: read it to find out.
    pub async fn append(&self, stream: &str, records: Vec<String>) -> Result<Offset, Fault> {
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

    /// Reads a stream from an offset on, waiting up to `wait` if there is nothing yet.
    ///
    /// # Errors
    /// Fails if the log cannot be reached or does not answer in time.
    pub async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, Fault> {
        let wait_ms = wait.as_millis();
        let path = format!("/streams/{stream}/read?from={from}&wait_ms={wait_ms}");
        let timeout = self.timeout + wait;
        self.client
            .call::<(), _>(Method::GET, self.address, &path, None, timeout)
            .await
    }
}
