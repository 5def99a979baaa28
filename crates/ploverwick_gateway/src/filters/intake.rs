//! Refuses requests that have not been sent to an endpoint when a stopping instance takes no more.

use std::time::Duration;

use ploverwick_codes::Code;

use super::reply::Reply;
use crate::shared::Shared;

/// The `Retry-After` of an instance that stops. A new connection reaches another instance.
const RETRY_AFTER: Duration = Duration::ZERO;

/// Performs a step of a request that has certainly not run.
///
/// # Errors
/// Fails with the step, or if the instance takes no more requests before it is complete.
pub(super) async fn bounded<T>(
    shared: &Shared,
    step: impl Future<Output = Result<T, Reply>>,
) -> Result<T, Reply> {
    tokio::select! {
        biased;
        () = shared.intake_ended() => {
            Err(Reply::new(Code::Draining, "").closing().retry_after(RETRY_AFTER))
        }
        result = step => result,
    }
}
