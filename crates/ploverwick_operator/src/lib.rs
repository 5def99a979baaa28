//! What operators do to a fleet: publish a table, look at its status and its time line.

mod fleet;
mod publish;
mod stream;

pub use fleet::{Fleet, Reading, Unread};
pub use publish::{PublishError, Published, publish};
pub use stream::{Entry, Stream, StreamError};
