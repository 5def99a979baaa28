//! An index of the known incarnations of endpoints by the platform's identifier that they share.
//!
//! Each heartbeat is compared with the other incarnations of its endpoint. Without an index, reading the list
//! would take quadratic time: nine million comparisons for 3,000 endpoints.

use std::collections::HashMap;
use std::sync::Arc;

use ploverwick_platform::endpoint_list;

/// The incarnations of endpoints: one per endpoint, except for a short time after a restart.
#[derive(Debug, Default)]
pub(crate) struct Incarnations(HashMap<Arc<str>, Vec<Arc<str>>>);

impl Incarnations {
    /// Adds an incarnation, if it is not known yet.
    pub(crate) fn add(&mut self, id: &Arc<str>) {
        let platform_id = endpoint_list::platform_id(id);
        match self.0.get_mut(platform_id) {
            Some(incarnations) if incarnations.contains(id) => {}
            Some(incarnations) => incarnations.push(Arc::clone(id)),
            None => {
                self.0.insert(Arc::from(platform_id), vec![Arc::clone(id)]);
            }
        }
    }

    /// Removes an incarnation.
    pub(crate) fn remove(&mut self, id: &str) {
        let platform_id = endpoint_list::platform_id(id);
        let Some(incarnations) = self.0.get_mut(platform_id) else {
            return;
        };
        incarnations.retain(|incarnation| **incarnation != *id);
        if incarnations.is_empty() {
            self.0.remove(platform_id);
        }
    }

    /// Returns the incarnations of an endpoint.
    pub(crate) fn of(&self, platform_id: &str) -> &[Arc<str>] {
        self.0.get(platform_id).map_or(&[], Vec::as_slice)
    }
}
