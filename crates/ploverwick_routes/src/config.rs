//! A whole configuration in one version.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{Organisations, Route};

/// A service behind the routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The most connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// What its endpoints are, if they serve models.
    pub engine: Option<Engine>,
}

/// What the endpoints of a service that serves models can hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The requests in one batch.
    pub slots: u32,
    /// The memory for tokens of running requests and kept prompts.
    pub token_capacity: u64,
    /// The adapters that an endpoint may hold, those on their way included.
    pub adapter_slots: usize,
    /// The loads of base models a second that the weight store allows over all endpoints.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<Arc<str>>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The longest header section in bytes.
    pub header_bytes: usize,
    /// The longest body in bytes.
    pub body_bytes: usize,
    /// The longest time that a header section may take to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Bounds that hold until a configuration names others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// Bounds on clients.
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    organisations: Option<Organisations>,
}

impl Config {
    /// Makes a configuration of its parts.
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            // The longest prefix wins, so it stands first.
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (Arc::clone(&service.name), service))
            .collect();
        Self {
            version,
            limits,
            routes: by_host,
            services,
            organisations: None,
        }
    }

    /// Adds the organisations whose keys requests need.
    #[must_use]
    pub fn with_organisations(mut self, organisations: Organisations) -> Self {
        self.organisations = Some(organisations);
        self
    }

    /// Returns the organisations; `None` if requests need no key.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.organisations.as_ref()
    }

    /// Finds the route for a host and a path; the longest matching prefix wins.
    ///
    /// A port behind the host is ignored, as is the case of its letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let list = match self.routes.get(name) {
            Some(list) => list,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns whether an organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        let organisations = self.organisations.as_ref();
        organisations.is_some_and(|all| all.iter().any(|one| one.quota.is_some()))
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over the services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
