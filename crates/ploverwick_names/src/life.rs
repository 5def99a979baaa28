//! One life of a daemon.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Instance};

/// One life of the daemon on an instance. A restart gives a new life under the same name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The instance.
    pub instance: Instance,
    /// Which of its lives; a later one is higher.
    pub incarnation: Incarnation,
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.incarnation)
    }
}
