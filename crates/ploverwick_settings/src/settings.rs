//! The shape of the settings.

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

/// All settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Who this daemon is.
    pub instance: Instance,
    /// Where it listens.
    pub listen: Listen,
    /// Where the platform's services are.
    pub platform: Platform,
    /// What the weight store allows.
    #[serde(default)]
    pub store: Store,
    /// Bounds at the edges.
    #[serde(default)]
    pub limits: Limits,
    /// How requests are handled.
    #[serde(default)]
    pub requests: Requests,
    /// How the table's stream is read.
    #[serde(default)]
    pub table: TableStream,
    /// How endpoints are owned.
    #[serde(default)]
    pub ownership: Ownership,
    /// How request keys are claimed.
    #[serde(default)]
    pub claims: Claims,
    /// How peers are watched.
    #[serde(default)]
    pub membership: Membership,
    /// How the daemon leaves.
    #[serde(default)]
    pub drain: Drain,
    /// Who may call.
    #[serde(default)]
    pub access: Access,
    /// The plain services.
    #[serde(default, rename = "service")]
    pub services: Vec<Service>,
    /// Logs.
    #[serde(default)]
    pub log: Logging,
    /// The time line.
    #[serde(default)]
    pub timeline: Timeline,
}

/// Who a daemon is.
#[derive(Debug, Clone, Deserialize)]
pub struct Instance {
    /// The instance's name, unique in the fleet.
    pub name: InstanceName,
    /// Its failure domain.
    pub failure_domain: Domain,
    /// Its region.
    pub region: String,
}

/// Where a daemon listens.
#[derive(Debug, Clone, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators and metrics.
    pub admin: SocketAddr,
}

/// Where the platform's services are.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// The log service.
    pub log: SocketAddr,
    /// The list of instances.
    pub roster: SocketAddr,
    /// How long to wait for an answer, in milliseconds.
    #[serde(default = "Platform::default_timeout_ms")]
    pub timeout_ms: u64,
    /// How often to read the list, in milliseconds.
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
        /// Returns how long to wait for an answer.
        timeout timeout_ms;
        /// Returns how often to read the list.
        roster_poll roster_poll_ms;
    }
}

/// What the weight store allows the whole fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Store {
    /// Loads started a second.
    pub loads_per_s: f64,
    /// Loads running at once.
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

/// Bounds at the edges.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a body may take to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The most connections of callers at once.
    pub connections: usize,
    /// The most requests waiting for one endpoint.
    pub queue_per_endpoint: usize,
    /// How many bytes of answers are kept for callers that repeat a key.
    pub kept_answers_bytes: usize,
}

impl Limits {
    millis! {
        /// Returns how long a body may take to arrive.
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

/// How requests are handled.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Requests {
    /// The deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// The longest deadline that a request may name, in milliseconds.
    pub deadline_max_ms: u64,
    /// How many endpoints may be tried for one request.
    pub attempts: u32,
    /// Retries allowed per 100 first attempts.
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

/// How the table's stream is read.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct TableStream {
    /// How long one read waits for news, in milliseconds.
    pub poll_ms: u64,
    /// How often a snapshot is appended, in milliseconds.
    pub snapshot_ms: u64,
}

impl TableStream {
    millis! {
        /// Returns how long one read waits for news.
        poll poll_ms;
        /// Returns how often a snapshot is appended.
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

/// How endpoints are owned.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Ownership {
    /// How long an order may still arrive after its sender ended, in milliseconds.
    pub order_lag_ms: u64,
    /// How often a claim is appended again, in milliseconds.
    pub refresh_ms: u64,
    /// How often an endpoint is asked for its report, in milliseconds.
    pub report_ms: u64,
    /// How old a report may be when it comes, in milliseconds.
    pub report_lag_ms: u64,
}

impl Ownership {
    millis! {
        /// Returns how long an order may still arrive after its sender ended.
        order_lag order_lag_ms;
        /// Returns how often a claim is appended again.
        refresh refresh_ms;
        /// Returns how often an endpoint is asked for its report.
        report report_ms;
        /// Returns how old a report may be when it comes.
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

/// How request keys are claimed.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Claims {
    /// The number of partitions of keys.
    pub partitions: u32,
    /// How often a partition's claims are appended, in milliseconds.
    pub batch_ms: u64,
    /// How long a key is remembered, in milliseconds.
    pub window_ms: u64,
    /// How long to wait for the log to confirm a claim, in milliseconds.
    pub timeout_ms: u64,
}

impl Claims {
    millis! {
        /// Returns how often a partition's claims are appended.
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

/// How peers are watched.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Membership {
    /// How often a peer is probed, in milliseconds.
    pub beat_ms: u64,
    /// How long to wait for a probe's answer, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How long a silent peer is suspected before it counts as gone, in milliseconds.
    pub suspect_ms: u64,
    /// How late the platform's list may be, in milliseconds.
    pub list_lag_ms: u64,
}

impl Membership {
    millis! {
        /// Returns how often a peer is probed.
        beat beat_ms;
        /// Returns how long to wait for a probe's answer.
        probe_timeout probe_timeout_ms;
        /// Returns how long a silent peer is suspected.
        suspect suspect_ms;
        /// Returns how late the platform's list may be.
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

/// How a daemon leaves.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Drain {
    /// How long running requests may take to finish, in milliseconds.
    pub grace_ms: u64,
    /// How long the daemon reports that it is not ready before it refuses requests, in
    /// milliseconds.
    pub announce_ms: u64,
}

impl Drain {
    millis! {
        /// Returns how long running requests may take to finish.
        grace grace_ms;
        /// Returns how long the daemon reports that it is not ready before it refuses requests.
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

/// Who may call.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Access {
    /// Whether a request without a token is taken.
    pub anonymous: bool,
    /// The callers known by a token.
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
    /// The text that follows `Authorization: Bearer`.
    pub token: String,
}

impl std::fmt::Debug for CallerToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token must not reach a log.
        write!(f, "CallerToken({})", self.name)
    }
}

/// A plain service.
#[derive(Debug, Clone, Deserialize)]
pub struct Service {
    /// The prefix of its paths, with a slash at both ends.
    pub prefix: String,
    /// The name by which the platform lists its endpoints.
    pub serves: String,
    /// Methods whose calls may not be repeated.
    #[serde(default = "Service::default_not_repeatable")]
    pub not_repeatable: Vec<String>,
}

impl Service {
    fn default_not_repeatable() -> Vec<String> {
        ["POST", "PATCH", "DELETE"].map(String::from).to_vec()
    }
}

/// Logs.
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

/// The time line.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Timeline {
    /// The number of events kept.
    pub events: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Self { events: 8192 }
    }
}
