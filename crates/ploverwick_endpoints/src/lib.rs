//! Tracks the state of endpoints on one instance and selects an endpoint for each request.
//!
//! This crate performs no I/O and reads no clock: callers pass in the current time and deliver the
//! messages. An instance knows its own requests exactly, and those of its peers as of their last message.

mod absences;
mod answer_timeout;
mod backpressure;
pub mod brittleness;
mod budget;
mod build;
pub mod build_history;
pub mod build_registry;
mod capacity;
mod draining_reports;
mod entry;
mod event_scanner;
mod exchanges;
pub mod execution;
mod fleet;
mod health;
mod heartbeats;
mod instance_count;
mod interference;
mod late_answer;
mod limit;
mod limits;
pub mod list_updates;
mod load;
pub mod lookup;
pub mod numbering;
pub mod origins;
mod pauses;
mod peer_loads;
mod reachability;
pub mod refusals;
pub mod relays;
mod resumption;
pub mod service_rate;
pub mod sharers;
pub mod slots;
pub mod totals;

pub use absences::Absences;
pub use answer_timeout::{answer_timeout, brittle_answer_timeout};
pub use backpressure::Backpressure;
pub use brittleness::{BrittleService, Brittleness};
pub use budget::{Balance, Budget, RetryPolicy};
pub use build::Build;
pub use build_history::{BuildHistory, Serving};
pub use build_registry::BuildRegistry;
pub use capacity::{
    Capacity, EndpointKey, EndpointObservations, Figure, LogByte, MAX_CHANGED_FIGURES,
    MAX_OBSERVED_ENDPOINTS, Observations, REFRESHED_FIGURES, StepMeter,
};
pub use draining_reports::DrainingReports;
pub use entry::{Entry, Held, State};
pub use event_scanner::{EventScanner, Scan};
pub use exchanges::{Echo, Exchanges};
pub use fleet::{Cost, Fleet, Query};
pub use health::{Health, Outcome};
pub use heartbeats::{Heartbeat, Heartbeats};
pub use instance_count::InstanceCount;
pub use interference::Pacing;
pub use late_answer::LateAnswer;
pub use limit::{Limit, Share};
pub use limits::{Change, LimitUpdate, Limits};
pub use load::Load;
pub use lookup::Lookup;
pub use numbering::Numbering;
pub use origins::{Attempt, Origins};
pub use pauses::Pauses;
pub use reachability::{Links, Reachability};
pub use refusals::{Evidence, Refusals};
pub use relays::Relays;
pub use resumption::{Resumption, Step};
