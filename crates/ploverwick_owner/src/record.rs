//! Records of the log's stream of owners.

use ploverwick_names::{Endpoint, Life, Token, Variant};
use serde::{Deserialize, Serialize};

/// A record of the stream of owners. Its order in the log decides.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// The life takes the endpoint; the record's offset is the fencing token.
    Claim {
        /// The endpoint.
        endpoint: Endpoint,
        /// The new owner.
        life: Life,
    },
    /// The life sends the endpoint nothing new from here on.
    Release {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner that leaves.
        life: Life,
    },
    /// Nothing that the life sent to the endpoint is running or can still arrive.
    Quit {
        /// The endpoint.
        endpoint: Endpoint,
        /// The earlier owner.
        life: Life,
    },
    /// The life is about to order an unload from an engine that checks no token.
    Intent {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner.
        life: Life,
        /// Its token when it wrote this.
        token: Token,
        /// What it is about to unload.
        variant: Variant,
    },
    /// The unload that the life announced was done, or will never be sent.
    Outcome {
        /// The endpoint.
        endpoint: Endpoint,
        /// The owner.
        life: Life,
        /// What it had announced.
        variant: Variant,
    },
}

impl Record {
    /// Returns the endpoint that the record is about.
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
