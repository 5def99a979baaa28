//! Validated names, each a shared immutable string.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_LEN: usize = 128;

/// Says why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text was empty.
    #[error("a name is empty; give at least one character")]
    Empty,
    /// The text was longer than [`MAX_LEN`] bytes.
    #[error("a name has {0} bytes; the limit is {MAX_LEN}")]
    TooLong(usize),
    /// The text held a character outside `a-z A-Z 0-9 . _ -`.
    #[error("character {0:?} is not allowed in a name; use letters, digits, '.', '_' and '-'")]
    BadChar(char),
}

/// Checks the characters and the length of a name.
///
/// # Errors
/// Returns the first rule that `text` breaks.
fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(NameError::TooLong(text.len()));
    }
    match text.chars().find(|c| !is_name_char(*c)) {
        Some(bad) => Err(NameError::BadChar(bad)),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `text` and makes a name of it.
            ///
            /// # Errors
            /// Returns the rule that `text` breaks; see [`NameError`].
            pub fn new(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Names a `LoRA` adapter.
    Adapter;
    /// Names a version of an adapter.
    Version;
    /// Names a base model.
    Base;
    /// Names a caller, as the settings list it.
    Caller;
    /// Names a failure domain.
    Domain;
    /// Names a back end: a model engine's replica or a plain service's replica.
    Endpoint;
    /// Names a group of adapters declared in the table.
    Group;
    /// Names a place that demand comes from; see the glossary.
    Hall;
    /// Names an entry instance, on which one daemon runs.
    Instance;
    /// Identifies one request over all processes.
    Request;
}
