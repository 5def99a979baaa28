//! Watches which instances are live.
//!
//! Three sources agree here: the platform's list, which lags; probes between peers; and what
//! peers say of each other. Each daemon probes one peer a beat, in a shuffled round, and asks two
//! others to try when there is no answer, so its traffic does not grow with the fleet. News of
//! changes travels on probes and their answers. Source of the scheme: Das, Gupta and Motivala,
//! "SWIM", DSN 2002.
//!
//! A member counts as *ended* only on proof: a newer life of the same instance, or its
//! disappearance from the platform's list. Silence makes it *gone*, which is enough to take over
//! its work and not enough to believe that it has stopped.

mod controller;
mod member;

pub use controller::{Action, Config, Controller, Listed};
pub use member::{Member, News, State};
