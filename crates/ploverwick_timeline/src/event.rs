//! One event on the time line.

use std::borrow::Cow;
use std::fmt;

use ploverwick_names::{Adapter, Endpoint, Request};
use serde::{Deserialize, Serialize};

use crate::clock::Stamp;

/// What an event is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request arrived at an entry or ended there.
    Request,
    /// An attempt was sent to an endpoint or ended.
    Attempt,
    /// An adapter was ordered, loaded or unloaded.
    Load,
    /// A key was claimed or a claim was lost.
    Claim,
    /// A table was accepted, refused or adopted.
    Table,
    /// An endpoint changed its owner.
    Ownership,
    /// A member came, left or was suspected.
    Member,
    /// A fault was switched on or off.
    Fault,
}

impl Kind {
    /// Returns the kind's name, as it stands in JSON.
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

/// One event of one process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it happened on the hybrid clock.
    pub stamp: Stamp,
    /// The process: a daemon's instance or a stand-in's name.
    pub process: Cow<'static, str>,
    /// What it is about.
    pub kind: Kind,
    /// The request concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Request>,
    /// The adapter concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<Adapter>,
    /// The endpoint concerned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<Endpoint>,
    /// What happened. Never holds a prompt or a key.
    pub what: Cow<'static, str>,
}

impl Event {
    /// Makes an event; [`crate::Recorder`] fills in stamp and process.
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

    /// Adds the request concerned.
    #[must_use]
    pub fn request(mut self, request: &Request) -> Self {
        self.request = Some(request.clone());
        self
    }

    /// Adds the adapter concerned.
    #[must_use]
    pub fn adapter(mut self, adapter: &Adapter) -> Self {
        self.adapter = Some(adapter.clone());
        self
    }

    /// Adds the endpoint concerned.
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
