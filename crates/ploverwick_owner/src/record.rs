//! Records of the log's ownership stream.

use ploverwick_names::{Endpoint, Life, Token, Variant};
use serde::{Deserialize, Serialize};

/// A record of the ownership stream. Records take effect in log order: the latest claim of an
/// endpoint wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// The process claims the endpoint; the record's offset is the fencing token.
    Claim {
        /// The endpoint.
        endpoint: Endpoint,
        /// The new owner.
        life: Life,
    },
    /// The process sends nothing new to the endpoint after this record.
    Release {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner that releases it.
        life: Life,
    },
    /// Nothing that the process sent to the endpoint is running or can still arrive.
    Quit {
        /// The endpoint.
        endpoint: Endpoint,
        /// The earlier owner.
        life: Life,
    },
    /// The process is about to unload an adapter from an engine that does not check fencing tokens.
    /// It sends the order only if this record precedes the next claim of the endpoint.
    Intent {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner.
        life: Life,
        /// The owner's token when it wrote this record.
        token: Token,
        /// The adapter version to unload.
        variant: Variant,
    },
    /// The unload announced by a [`Record::Intent`] has completed or will never be sent.
    Outcome {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner.
        life: Life,
        /// The adapter version of the announced unload.
        variant: Variant,
    },
}

impl Record {
    /// Returns the endpoint that the record concerns.
    pub fn endpoint(&self) -> &Endpoint {
        match self {
            Self::Claim { endpoint, .. }
            | Self::Release { endpoint, .. }
            | Self::Quit { endpoint, .. }
            | Self::Intent { endpoint, .. }
            | Self::Outcome { endpoint, .. } => endpoint,
        }
    }
}
