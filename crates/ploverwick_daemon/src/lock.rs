//! Locks on state that tasks share for single steps.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock. No code panics while it holds one, so the data are whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
