//! Serves HTTP/1 on a listener, with bounds, for daemons and stand-ins alike.

mod body;
mod reply;
mod server;
mod stop;

pub use body::{ReadError, read};
pub use reply::{Body, Reply, bytes, json, stream, text};
pub use server::{Bounds, Handler, Server};
pub use stop::{Stop, Stopper, stop};
