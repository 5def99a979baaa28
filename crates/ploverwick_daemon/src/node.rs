//! What all tasks of a daemon share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use ploverwick_limits::{RateLimiter, Sharers};
use ploverwick_members::Controller as Members;
use ploverwick_names::{Endpoint, Life, Moment, Offset, Request};
use ploverwick_owner::ownership::Controller as Holds;
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_ports::roster::Listing;
use ploverwick_settings::Settings;
use ploverwick_table::Table;
use ploverwick_table::history::History;
use ploverwick_timeline::{Event, Recorder};
use tokio::sync::watch;

use crate::answer::Answers;
use crate::budget::{Loads, Retries};
use crate::commands::Owners;
use crate::links::Links;
use crate::lock::lock;
use crate::scribes::Scribes;

/// The table in force and its version.
#[derive(Debug, Clone, Default)]
pub(crate) struct InForce {
    /// The version; 0 before the first.
    pub(crate) version: Offset,
    /// The table.
    pub(crate) table: Arc<Table>,
}

/// What all tasks of a daemon share.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) life: Life,
    pub(crate) client: Client,
    pub(crate) log: Log,
    pub(crate) recorder: Recorder,
    pub(crate) in_force: watch::Sender<InForce>,
    pub(crate) history: Mutex<History>,
    pub(crate) listing: watch::Sender<Arc<Listing>>,
    /// When this daemon first read its own line in the list of instances.
    pub(crate) listed: OnceLock<Moment>,
    pub(crate) members: Mutex<Members>,
    pub(crate) holds: Mutex<Holds>,
    /// When the log last answered a read.
    pub(crate) log_read_at: Mutex<Moment>,
    pub(crate) owners: Owners,
    pub(crate) scribes: Scribes,
    pub(crate) answers: Answers,
    pub(crate) links: Links,
    pub(crate) loads: Mutex<Loads>,
    pub(crate) retries: Mutex<Retries>,
    pub(crate) rates: Mutex<RateLimiter>,
    pub(crate) endpoint_status: Mutex<BTreeMap<Endpoint, crate::status::OwnedEndpoint>>,
    pub(crate) draining: AtomicBool,
    pub(crate) started: Instant,
    pub(crate) requests: AtomicU64,
}

impl Node {
    /// Returns the time on the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        Moment::default() + self.started.elapsed()
    }

    /// Records an event on the time line.
    pub(crate) fn record(&self, event: Event) {
        self.recorder.record(event);
    }

    /// Makes a request's identifier, which tells this life from any other.
    pub(crate) fn new_request(&self) -> Request {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}{number}", self.request_prefix());
        Request::new(&text).expect("an instance's name and numbers are a name")
    }

    /// Returns what the identifiers of this life's requests start with.
    pub(crate) fn request_prefix(&self) -> String {
        format!("{}-{}-", self.life.instance, self.life.incarnation)
    }

    /// Says whether this daemon takes no new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns how the table's limits are split, once this daemon is listed. Before that it may know
    /// only itself and would take the whole of a limit.
    pub(crate) fn sharers(&self) -> Sharers {
        match self.listed.get() {
            None => Sharers::Unknown,
            Some(since) => Sharers::Known {
                count: self.fleet_size(),
                since: *since,
            },
        }
    }

    /// Returns the number of instances that share fleet-wide budgets.
    pub(crate) fn fleet_size(&self) -> usize {
        lock(&self.members).eligible().len().max(1)
    }
}
