//! How instances follow the topics of a store through few readers.
//!
//! A record would wake a waiting read of every instance, and each of these reads is a call. So a few
//! instances of each failure domain read, and tell the others by datagrams what came; whoever misses
//! something reads it itself. Calls then grow with the failure domains and not with the instances.
//!
//! Pure state: callers pass the time in, make the calls and carry the messages.

mod circle;
mod feed;
pub mod freshness;
pub mod parts;
mod position;

pub use circle::{Circle, Peer, Place, Reading, circle};
pub use feed::{Feed, Fit, Step};
pub use position::Position;
