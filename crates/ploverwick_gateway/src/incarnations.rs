//! The lives of endpoints that are known, by the platform's identifier that they share.
//!
//! Each heartbeat is looked at beside the other lives of its endpoint. Without an index a read of the list would
//! take the square of the endpoints: nine million comparisons for 3,000 of them.

use std::collections::HashMap;
use std::sync::Arc;

use ploverwick_platform::roster;

/// The lives of endpoints; one each, but for a moment after a restart.
#[derive(Debug, Default)]
pub(crate) struct Incarnations(HashMap<Arc<str>, Vec<Arc<str>>>);

impl Incarnations {
    /// Adds a life, if it is not known yet.
    pub(crate) fn add(&mut self, id: &Arc<str>) {
        let instance = roster::platform_id(id);
        match self.0.get_mut(instance) {
            Some(lives) if lives.contains(id) => {}
            Some(lives) => lives.push(Arc::clone(id)),
            None => {
                self.0.insert(Arc::from(instance), vec![Arc::clone(id)]);
            }
        }
    }

    /// Removes a life.
    pub(crate) fn remove(&mut self, id: &str) {
        let instance = roster::platform_id(id);
        let Some(lives) = self.0.get_mut(instance) else {
            return;
        };
        lives.retain(|life| **life != *id);
        if lives.is_empty() {
            self.0.remove(instance);
        }
    }

    /// Returns the lives of an endpoint.
    pub(crate) fn of(&self, instance: &str) -> &[Arc<str>] {
        self.0.get(instance).map_or(&[], Vec::as_slice)
    }
}
