//! Operations on a fleet: publishing a table, and reading its status and timeline.

mod fleet;
mod publish;
mod stream;

pub use fleet::{Failure, Fleet, Responses};
pub use publish::{PublishError, PublishOutcome, publish};
pub use stream::{Entry, Stream, StreamError};
