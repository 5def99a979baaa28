//! Names and identifiers shared by every crate.
//!
//! Names are shared immutable strings that are cheap to clone, so that each request, event and log line can
//! carry them. Identifiers are newtypes, so that an offset cannot be mistaken for an incarnation.

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
    Adapter, Base, Caller, Domain, Endpoint, Group, Hall, Instance, MAX_NAME_BYTES, NameError,
    Request, Version,
};
