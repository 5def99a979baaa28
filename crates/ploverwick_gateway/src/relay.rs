//! Relayed connections: an instance whose links to the endpoints are down connects to them through another instance.
//!
//! The relay forwards bytes and decides nothing. Routes, keys, quotas, limits, versions, deadlines and retries stay with
//! the instance that the client called, so a relayed connection carries the same requests under the same rules as a direct
//! one. The relay connects only to endpoints on its own list, and never through a third instance.
//!
//! The requester sends one [`Open`] frame and receives one [`Reply`] frame. After [`Reply::Opened`], its bytes follow
//! unframed. The endpoint's bytes come in frames, and an empty frame marks that the endpoint closed the connection. Without
//! it the answer was cut off, be it at the endpoint or at the relay, even if the answer has no length of its own.
//!
//! An answer may end before its request was sent. The relay discards what the endpoint does not read, and leaves it to the
//! requester to close the connection first.

pub(crate) mod client;
pub(crate) mod connections;
pub(crate) mod server;

use std::sync::Arc;

use ploverwick_endpoints::relays::Refusal;
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;

/// The maximum size of a frame. It bounds what a relay buffers for each direction of a connection.
const MAX_FRAME_BYTES: usize = 8 * 1_024;

/// Requests a connection to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Open {
    /// The endpoint.
    pub(crate) endpoint: Arc<str>,
    /// The instance that requests the connection.
    pub(crate) instance: Arc<str>,
    /// The identifier of the request that needs the connection, for the logs of both instances.
    pub(crate) request: String,
}

/// Answers [`Open`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Reply {
    /// The connection is open.
    Opened,
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint did not answer in time.
    Timeout,
    /// The endpoint is not on the relay's list.
    NotListed,
    /// The relay's own links to the endpoints are down.
    Partitioned,
    /// The relay accepts no more connections.
    Busy,
}

impl Reply {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Refused => "refused",
            Self::Timeout => "timeout",
            Self::NotListed => "not_listed",
            Self::Partitioned => "partitioned",
            Self::Busy => "busy",
        }
    }

    /// Returns why the relay did not try to connect; `None` if it did.
    pub(crate) fn refusal(self) -> Option<Refusal> {
        match self {
            Self::Opened | Self::Refused | Self::Timeout | Self::NotListed => None,
            Self::Partitioned => Some(Refusal::Partitioned),
            Self::Busy => Some(Refusal::Busy),
        }
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
