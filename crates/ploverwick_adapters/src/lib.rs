//! Tracks which endpoints hold which adapters and decides where to load them.
//!
//! Every instance keeps a [`Directory`] of the adapters held by each endpoint. In each failure
//! domain, one instance at a time is the placer: it holds the [`Lease`] that permits it to send
//! orders to the endpoints of its domain, and keeps the [`Slots`] of each of them.

mod announcements;
mod budget;
mod capacity;
mod congestion;
mod directory;
mod domain;
mod key;
mod lease;
mod load_limit;
mod load_wait;
mod order;
mod permit;
mod placer;
mod slots;
mod staleness;
mod version_history;
mod watermark;
mod window;

pub use budget::{Budget, Demand};
pub use capacity::{Capacity, ModelSize};
pub use directory::Directory;
pub use domain::{Domain, choose_domain};
pub use key::{Copy, Key};
pub use lease::{Grant, Lease, LeasePolicy};
pub use load_limit::{LoadLimit, LoadLimiter};
pub use load_wait::LoadWait;
pub use order::{Answer, Op, Order, Report};
pub use permit::Permit;
pub use placer::{Declined, Need, Placer, Request, Target};
pub use slots::{Event, Slots, Step, Wanted};
pub use staleness::StalenessPolicy;
pub use version_history::{Since, VersionHistory};
pub use watermark::Watermark;
pub use window::Window;
