//! The structure of the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use ploverwick_names::{Caller, Domain, Instance as InstanceName};
use serde::Deserialize;

macro_rules! millis {
    ($($(#[$doc:meta])* $method:ident $field:ident;)*) => {$(
        $(#[$doc])*
        pub fn $method(&self) -> Duration {
            Duration::from_millis(self.$field)
        }
    )*};
}

/// All settings of an instance.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The instance's identity.
    pub instance: Instance,
    /// Listening addresses.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Limits on loads from the weight store.
    #[serde(default)]
    pub store: Store,
    /// Limits on connections, bodies and queues.
    #[serde(default)]
    pub limits: Limits,
    /// Deadlines and retries of requests.
    #[serde(default)]
    pub requests: Requests,
    /// Reads and snapshots of the table stream.
    #[serde(default)]
    pub table: TableStream,
    /// Ownership of endpoints.
    #[serde(default)]
    pub ownership: Ownership,
    /// Claims of idempotency keys.
    #[serde(default)]
    pub claims: Claims,
    /// Failure detection between peers.
    #[serde(default)]
    pub membership: Membership,
    /// Graceful shutdown.
    #[serde(default)]
    pub drain: Drain,
    /// Authentication of callers.
    #[serde(default)]
    pub access: Access,
    /// Plain HTTP services.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Logging.
    #[serde(default)]
    pub log: Logging,
    /// The timeline of events.
    #[serde(default)]
    pub timeline: Timeline,
}

/// The identity of an instance.
#[derive(Debug, Clone, Deserialize)]
pub struct Instance {
    /// The instance's name, unique in the fleet.
    pub name: InstanceName,
    /// The failure domain that it runs in.
    pub failure_domain: Domain,
    /// The region that it runs in.
    pub region: String,
}

/// Listening addresses of an instance.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for operators and metrics.
    pub admin: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// The address of the log service.
    pub log: SocketAddr,
    /// The address of the roster, the platform's list of instances and endpoints.
    pub roster: SocketAddr,
    /// The request timeout for both services, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
    /// The interval between reads of the roster, in milliseconds.
    #[serde(default = "Platform::default_roster_poll_ms")]
    pub roster_poll_ms: u64,
}

impl Platform {
    fn default_timeout_ms() -> u64 {
        1000
    }

    fn default_roster_poll_ms() -> u64 {
        500
    }

    millis! {
        /// Returns the request timeout.
        timeout timeout_ms;
        /// Returns the interval between reads of the roster.
        roster_poll roster_poll_ms;
    }
}

/// Limits on loads from the weight store, for all instances together.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Store {
    /// The maximum number of loads started per second.
    pub loads_per_s: f64,
    /// The maximum number of concurrent loads.
    pub loads_at_once: u32,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            loads_per_s: 9.0,
            loads_at_once: 4,
        }
    }
}

/// Limits on connections, bodies and queues.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive a body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The maximum number of concurrent caller connections.
    pub connections: usize,
    /// The maximum number of requests queued for one endpoint.
    pub queue_per_endpoint: usize,
    /// The maximum total size of the responses stored for repeated idempotency keys, in bytes.
    pub kept_answers_bytes: usize,
}

impl Limits {
    millis! {
        /// Returns the maximum time to receive a body.
        body_timeout body_timeout_ms;
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_timeout_ms: 10_000,
            connections: 4096,
            queue_per_endpoint: 256,
            kept_answers_bytes: 64 << 20,
        }
    }
}

/// Deadlines and retries of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Requests {
    /// The default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum deadline that a request may specify, in milliseconds.
    pub deadline_max_ms: u64,
    /// The maximum number of endpoints tried for one request.
    pub attempts: u32,
    /// The number of retries allowed per 100 first attempts.
    pub retries_per_100: u32,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            deadline_ms: 60_000,
            deadline_max_ms: 600_000,
            attempts: 4,
            retries_per_100: 20,
        }
    }
}

/// Reads and snapshots of the table stream.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct TableStream {
    /// The long-poll timeout of one read of the log, in milliseconds.
    pub poll_ms: u64,
    /// The interval between snapshots of the table, in milliseconds.
    pub snapshot_ms: u64,
}

impl TableStream {
    millis! {
        /// Returns the long-poll timeout of one read of the log.
        poll poll_ms;
        /// Returns the interval between snapshots of the table.
        snapshot snapshot_ms;
    }
}

impl Default for TableStream {
    fn default() -> Self {
        Self {
            poll_ms: 1000,
            snapshot_ms: 600_000,
        }
    }
}

/// Ownership of endpoints.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Ownership {
    /// How long an order may still take effect after its sender has ended or its response was
    /// lost, in milliseconds.
    pub order_lag_ms: u64,
    /// The interval at which an owner repeats its claim, so that the log's retention does not
    /// remove it, in milliseconds.
    pub refresh_ms: u64,
    /// The interval at which an endpoint's report is requested, in milliseconds.
    pub report_ms: u64,
    /// The maximum age of a report on arrival, in milliseconds.
    pub report_lag_ms: u64,
}

impl Ownership {
    millis! {
        /// Returns how long an order may still take effect after its sender has ended or its
        /// response was lost.
        order_lag order_lag_ms;
        /// Returns the interval at which an owner repeats its claim.
        refresh refresh_ms;
        /// Returns the interval at which an endpoint's report is requested.
        report report_ms;
        /// Returns the maximum age of a report on arrival.
        report_lag report_lag_ms;
    }
}

impl Default for Ownership {
    fn default() -> Self {
        Self {
            order_lag_ms: 2000,
            refresh_ms: 600_000,
            report_ms: 500,
            report_lag_ms: 1000,
        }
    }
}

/// Claims of idempotency keys.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Claims {
    /// The number of partitions of keys.
    pub partitions: u32,
    /// The interval between batches of a partition's claims, in milliseconds.
    pub batch_ms: u64,
    /// How long a key is remembered, in milliseconds.
    pub window_ms: u64,
    /// How long to wait for the log to confirm a claim, in milliseconds.
    pub timeout_ms: u64,
}

impl Claims {
    millis! {
        /// Returns the interval between batches of a partition's claims.
        batch batch_ms;
        /// Returns how long a key is remembered.
        window window_ms;
        /// Returns how long to wait for the log to confirm a claim.
        timeout timeout_ms;
    }
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            partitions: 8,
            batch_ms: 20,
            window_ms: 600_000,
            timeout_ms: 2000,
        }
    }
}

/// Failure detection between peers.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// The interval between probes, in milliseconds.
    pub beat_ms: u64,
    /// The timeout of a probe, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How long an unresponsive peer is suspected before it counts as gone, in milliseconds.
    pub suspect_ms: u64,
    /// The maximum delay until a change appears in the roster, in milliseconds.
    pub list_lag_ms: u64,
}

impl Membership {
    millis! {
        /// Returns the interval between probes.
        beat beat_ms;
        /// Returns the timeout of a probe.
        probe_timeout probe_timeout_ms;
        /// Returns how long an unresponsive peer is suspected before it counts as gone.
        suspect suspect_ms;
        /// Returns the maximum delay until a change appears in the roster.
        list_lag list_lag_ms;
    }
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            beat_ms: 500,
            probe_timeout_ms: 250,
            suspect_ms: 2000,
            list_lag_ms: 30_000,
        }
    }
}

/// Graceful shutdown.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Drain {
    /// How long running requests may take to finish, in milliseconds.
    pub grace_ms: u64,
    /// How long the instance reports that it is not ready before it refuses requests, in
    /// milliseconds.
    pub announce_ms: u64,
}

impl Drain {
    millis! {
        /// Returns how long running requests may take to finish.
        grace grace_ms;
        /// Returns how long the instance reports that it is not ready before it refuses requests.
        announce announce_ms;
    }
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            grace_ms: 600_000,
            announce_ms: 1000,
        }
    }
}

/// Authentication of callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Access {
    /// Whether requests without a token are accepted.
    pub anonymous: bool,
    /// The callers that authenticate with a token.
    #[serde(rename = "caller")]
    pub callers: Vec<CallerToken>,
}

impl Default for Access {
    fn default() -> Self {
        Self {
            anonymous: true,
            callers: Vec::new(),
        }
    }
}

/// A caller and its token.
#[derive(Clone, Deserialize)]
pub struct CallerToken {
    /// The caller's name.
    pub name: Caller,
    /// The bearer token, as sent after `Authorization: Bearer`.
    pub token: String,
}

impl std::fmt::Debug for CallerToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token must not appear in logs.
        write!(f, "CallerToken({})", self.name)
    }
}

/// A plain HTTP service.
#[derive(Debug, Clone, Deserialize)]
pub struct Service {
    /// The prefix of its paths, with a slash at both ends.
    pub prefix: String,
    /// The name by which the platform lists its endpoints.
    pub serves: String,
    /// Methods whose requests must not be repeated.
    #[serde(default = "Service::default_not_repeatable")]
    pub not_repeatable: Vec<String>,
}

impl Service {
    fn default_not_repeatable() -> Vec<String> {
        ["POST", "PATCH", "DELETE"].map(String::from).to_vec()
    }
}

/// Logging.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Logging {
    /// `error`, `warn`, `info` or `debug`.
    pub level: String,
    /// `text` or `json`.
    pub format: String,
}

impl Default for Logging {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            format: "text".to_owned(),
        }
    }
}

/// The timeline of events.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Timeline {
    /// The maximum number of events kept.
    pub events: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { events: 8192 }
    }
}
