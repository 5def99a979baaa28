//! Identifies one run of a daemon.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Instance};

/// One run of the daemon on an instance. A restart begins a new one under the same instance name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The instance.
    pub instance: Instance,
    /// The incarnation of the daemon; a later run has a higher one.
    pub incarnation: Incarnation,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}
