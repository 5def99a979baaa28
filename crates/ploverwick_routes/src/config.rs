//! One version of a complete configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{Organisations, Route};

/// A service that routes refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The maximum number of connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// The capacity of its endpoints, if they serve models.
    pub engine: Option<Engine>,
}

/// The capacity of the endpoints of a service that serves models.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The number of requests in one batch.
    pub slots: u32,
    /// The memory, in tokens, for running requests and cached prompts.
    pub token_capacity: u64,
    /// The memory, in bytes, that a token of a running request occupies; 0 if unknown.
    pub bytes_per_token: u64,
    /// The number of generated tokens in one event of a stream, 1 or more.
    pub event_tokens: u32,
    /// The number of adapters that an endpoint may hold, including those being loaded.
    pub adapter_slots: usize,
    /// The loads of base models per second that the weight store allows over all endpoints.
    pub loads_per_s: f64,
    /// The memory of an endpoint for base models and adapters in kilobytes; `None` if it is not limited.
    pub memory_kb: Option<u64>,
    /// The base models.
    pub models: Vec<Model>,
}

/// A base model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The name.
    pub name: Arc<str>,
    /// The size of its weights in kilobytes; 0 if unknown.
    pub weights_kb: u64,
    /// The size of each of its adapters in kilobytes; 0 if unknown.
    pub adapter_kb: u64,
}

impl Engine {
    /// Returns whether an endpoint can hold a base model.
    pub fn fits_base(&self, model: &Model) -> bool {
        self.fits(model.weights_kb)
    }

    /// Returns whether an endpoint can hold a base model and one adapter of it.
    pub fn fits_adapter(&self, model: &Model) -> bool {
        self.fits(model.weights_kb.saturating_add(model.adapter_kb))
    }

    fn fits(&self, mb: u64) -> bool {
        self.memory_kb.is_none_or(|memory| mb <= memory)
    }

    /// Returns a base model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| *model.name == *name)
    }
}

/// Limits on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum length of the header section in bytes.
    pub header_bytes: usize,
    /// The maximum length of the body in bytes.
    pub body_bytes: usize,
    /// The maximum time in which the header section must arrive.
    pub header_timeout: Duration,
    /// The maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration sets others.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration, with routes indexed by host and services by name.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// The version; a later configuration has a higher one.
    pub version: u64,
    /// The limits on what clients may send.
    pub limits: Limits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Service>,
    organisations: Option<Organisations>,
}

impl Config {
    /// Creates a configuration without organisations.
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>, services: Vec<Service>) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            // Sorted by descending length, so that the first match is the longest.
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

    /// Adds the organisations; requests then need one of their keys.
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
    /// The port and the letter case of the host are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let list = match self.routes.get(name) {
            Some(list) => list,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Iterates over the routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Returns whether any organisation has a quota.
    pub fn has_quotas(&self) -> bool {
        let organisations = self.organisations.as_ref();
        organisations.is_some_and(|all| all.iter().any(|one| one.quota.is_some()))
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Iterates over the services in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
