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
    /// Tells two lives of one process apart: milliseconds since the Unix epoch at its start.
    Incarnation;
    /// Places a record in one stream of the platform's log.
    Offset;
    /// Fences an owner's orders: the log offset of its claim. Higher is newer.
    Token;
}

impl From<Offset> for Token {
    fn from(offset: Offset) -> Self {
        Self(offset.0)
    }
}
