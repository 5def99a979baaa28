//! State shared by all tasks of a daemon.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Instant;

use ploverwick_limits::{RateLimiter, Sharers};
use ploverwick_members::Controller as Members;
use ploverwick_names::{Endpoint, Life, Moment, Offset, Request};
use ploverwick_owner::ownership::Controller as Ownership;
use ploverwick_ports::client::Client;
use ploverwick_ports::log::Log;
use ploverwick_ports::roster::Listing;
use ploverwick_settings::Settings;
use ploverwick_table::Table;
use ploverwick_table::history::History;
use ploverwick_timeline::{Event, Recorder};
use tokio::sync::watch;

use crate::budget::{LoadBudget, RetryBudget};
use crate::commands::EndpointTasks;
use crate::lock::lock;
use crate::peer_connections::PeerConnections;
use crate::response::ResponseCache;
use crate::scribes::Scribes;

/// The current table and its version.
#[derive(Debug, Clone, Default)]
pub(crate) struct CurrentTable {
    /// The version, or 0 before the first table.
    pub(crate) version: Offset,
    pub(crate) table: Arc<Table>,
}

/// State shared by all tasks of a daemon.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) life: Life,
    pub(crate) client: Client,
    pub(crate) log: Log,
    pub(crate) recorder: Recorder,
    pub(crate) current_table: watch::Sender<CurrentTable>,
    pub(crate) history: Mutex<History>,
    pub(crate) listing: watch::Sender<Arc<Listing>>,
    /// When this daemon first found itself in the platform's list of instances.
    pub(crate) listed_at: OnceLock<Moment>,
    pub(crate) members: Mutex<Members>,
    pub(crate) ownership: Mutex<Ownership>,
    /// When the log last responded to a read of the ownership stream.
    pub(crate) log_read_at: Mutex<Moment>,
    pub(crate) endpoint_tasks: EndpointTasks,
    pub(crate) scribes: Scribes,
    pub(crate) responses: ResponseCache,
    pub(crate) peer_connections: PeerConnections,
    pub(crate) load_budget: Mutex<LoadBudget>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) rates: Mutex<RateLimiter>,
    pub(crate) endpoint_status: Mutex<BTreeMap<Endpoint, crate::status::OwnedEndpoint>>,
    pub(crate) draining: AtomicBool,
    pub(crate) started: Instant,
    pub(crate) requests: AtomicU64,
}

impl Node {
    /// Returns the current time of the monotonic clock.
    pub(crate) fn now(&self) -> Moment {
        Moment::default() + self.started.elapsed()
    }

    /// Records an event on the timeline.
    pub(crate) fn record(&self, event: Event) {
        self.recorder.record(event);
    }

    /// Creates a request ID that is unique across processes.
    pub(crate) fn new_request(&self) -> Request {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}{number}", self.request_prefix());
        Request::new(&text).expect("an instance's name and numbers are a name")
    }

    /// Returns the prefix of the IDs of all requests of this process.
    pub(crate) fn request_prefix(&self) -> String {
        format!("{}-{}-", self.life.instance, self.life.incarnation)
    }

    /// Returns whether this daemon is draining and refuses new requests.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns how many instances share the table's limits, once this daemon is listed. Before that
    /// it may know only itself and would use the whole of each limit.
    pub(crate) fn sharers(&self) -> Sharers {
        match self.listed_at.get() {
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
