//! Numeric identifiers.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

ids! {
    /// Distinguishes a process from its restarts: the milliseconds since the Unix epoch at its start.
    Incarnation;
    /// The offset of a record in one stream of the platform's log.
    Offset;
    /// The fencing token of an owner's orders: the log offset of its claim. A higher token is newer.
    Token;
}

impl From<Offset> for Token {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}
