//! Names and identifiers shared by every crate.
//!
//! Names are shared immutable strings: cloning one copies a pointer, so that a name can travel
//! with each request, event and log line. Identifiers are newtypes, so that an offset is never
//! mistaken for an incarnation.

mod id;
mod life;
mod model;
mod moment;
mod name;

pub use id::{Incarnation, Offset, Token};
pub use life::Life;
pub use model::{Model, ModelError, Variant};
pub use moment::Moment;
pub use name::{
    Adapter, Base, Caller, Domain, Endpoint, Group, Hall, Instance, MAX_LEN, NameError, Request,
    Version,
};
