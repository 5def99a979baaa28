//! Events on the timeline.

use std::borrow::Cow;
use std::fmt;

use ploverwick_names::{Adapter, Endpoint, Request};
use serde::{Deserialize, Serialize};

use crate::clock::Stamp;

/// The category of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request arrived at an entry instance or completed there.
    Request,
    /// An attempt was sent to an endpoint or completed.
    Attempt,
    /// An adapter was ordered, loaded or unloaded.
    Load,
    /// An idempotency key was claimed or a claim was lost.
    Claim,
    /// A table patch was accepted or rejected, or a snapshot was adopted.
    Table,
    /// The owner of an endpoint changed.
    Ownership,
    /// A member joined, left or was suspected of failure.
    Member,
    /// An injected fault was enabled or disabled.
    Fault,
}

impl Kind {
    /// Returns the name, as used in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Attempt => "attempt",
            Self::Load => "load",
            Self::Claim => "claim",
            Self::Table => "table",
            Self::Ownership => "ownership",
            Self::Member => "member",
            Self::Fault => "fault",
        }
    }
}

/// An event recorded by a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The hybrid logical clock timestamp.
    pub stamp: Stamp,
    /// The name of the process: a daemon's instance or a stand-in.
    pub process: Cow<'static, str>,
    /// The category.
    pub kind: Kind,
    /// The related request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// The related adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Adapter>,
    /// The related endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<Endpoint>,
    /// The description. It never contains prompts or keys.
    pub what: Cow<'static, str>,
}

impl Event {
    /// Creates an event; [`crate::Recorder`] sets the stamp and the process.
    pub fn new(kind: Kind, what: impl Into<Cow<'static, str>>) -> Self {
        Self {
            stamp: Stamp::default(),
            process: Cow::Borrowed(""),
            kind,
            request: None,
            adapter: None,
            endpoint: None,
            what: what.into(),
        }
    }

    /// Sets the related request.
    #[must_use]
    pub fn request(mut self, request: &Request) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Sets the related adapter.
    #[must_use]
    pub fn adapter(mut self, adapter: &Adapter) -> Self {
        self.adapter = Some(adapter.clone());
        self
    }

    /// Sets the related endpoint.
    #[must_use]
    pub fn endpoint(mut self, endpoint: &Endpoint) -> Self {
        self.endpoint = Some(endpoint.clone());
        self
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {:<14} {:<9} {}",
            self.stamp.millis(),
            self.process,
            self.kind.name(),
            self.what
        )?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        if let Some(adapter) = &self.adapter {
            write!(f, " adapter={adapter}")?;
        }
        if let Some(endpoint) = &self.endpoint {
            write!(f, " endpoint={endpoint}")?;
        }
        Ok(())
    }
}
