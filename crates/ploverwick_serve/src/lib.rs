//! An HTTP/1 server with limits, used by daemons and stand-ins.

mod body;
mod reply;
mod server;
mod stop;

pub use body::{ReadError, read_body};
pub use reply::{Body, Reply, bytes, json, stream, text};
pub use server::{Bounds, Handler, Server};
pub use stop::{StopGuard, StopSignal, stop_channel};
