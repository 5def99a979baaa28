//! Validated names, stored as shared immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text was empty.
    #[error("a name is empty; give at least one character")]
    Empty,
    /// The text was longer than [`MAX_NAME_BYTES`] bytes.
    #[error("a name has {0} bytes; the limit is {MAX_NAME_BYTES}")]
    TooLong(usize),
    /// The text contained a character outside `a-z A-Z 0-9 . _ -`.
    #[error("character {0:?} is not allowed in a name; use letters, digits, '.', '_' and '-'")]
    BadChar(char),
}

/// Checks that a text has the length and the characters of a name.
///
/// # Errors
/// Returns the first rule that `text` breaks.
fn validate(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
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
            /// Creates a name after validating `text`.
            ///
            /// # Errors
            /// Returns the rule that `text` breaks; see [`NameError`].
            pub fn new(text: &str) -> Result<Self, NameError> {
                validate(text)?;
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
    /// The name of a `LoRA` adapter.
    Adapter;
    /// The version of an adapter.
    Version;
    /// The name of a base model.
    Base;
    /// The name of a caller, as listed in the settings.
    Caller;
    /// The name of a failure domain.
    Domain;
    /// The name of an endpoint: a replica of a model engine or of a plain service.
    Endpoint;
    /// The name of a group of adapters that the table declares.
    Group;
    /// The name of a location that requests originate from; see the glossary.
    Hall;
    /// The name of an entry instance, which runs one daemon.
    Instance;
    /// The identifier of a request across all processes.
    Request;
}
