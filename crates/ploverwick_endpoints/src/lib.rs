//! What one instance knows of the endpoints, and which one it sends a request to.
//!
//! Pure state: callers pass the time in and carry the messages. An instance knows its own requests
//! exactly and those of its peers as of their last report.

mod absence;
mod budget;
mod census;
mod departures;
mod entry;
mod fleet;
mod health;
mod heartbeats;
mod limit;
mod limits;
mod load;
mod patience;
mod pauses;
mod reports;

pub use absence::Absence;
pub use budget::{Account, Budget, Rate};
pub use census::Census;
pub use departures::Departures;
pub use entry::{Entry, Held, State};
pub use fleet::{Cost, Fleet, Query};
pub use health::{Health, Outcome};
pub use heartbeats::{Heartbeat, Heartbeats};
pub use limit::{Limit, Part};
pub use limits::{Change, Limits, Told};
pub use load::Load;
pub use patience::patience;
pub use pauses::Pauses;
