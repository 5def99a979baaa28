//! Where adapters are held, and which endpoint loads one next.
//!
//! Every instance keeps a [`Directory`] of what endpoints hold. In each failure domain one
//! instance at a time, the placer, gives orders to the endpoints of its domain: it keeps a
//! [`Shelf`] for each and holds the [`Tenure`] that entitles it to do so.

mod directory;
mod home;
mod horizon;
mod key;
mod lineage;
mod order;
mod pace;
mod placer;
mod shelf;
mod supersession;
mod tenure;
mod window;

pub use directory::Directory;
pub use home::{Domain, home};
pub use horizon::Horizon;
pub use key::{Copy, Key};
pub use lineage::{Lineage, Since};
pub use order::{Answer, Op, Order, Report};
pub use pace::{Ceiling, Pace};
pub use placer::{Need, Placer, Site};
pub use shelf::{Event, Shelf, Step};
pub use supersession::Supersession;
pub use tenure::{Grant, Tenure, Terms};
pub use window::Window;
