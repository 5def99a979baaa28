//! Parses the `model` field of a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Adapter, Base, NameError, Version};

/// A model reference in a request: `base:adapter@version`.
///
/// The version is optional, as in `llama:fr-grade`; the table may then pin one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Model {
    /// The base model.
    pub base: Base,
    /// The adapter on top of the base model.
    pub adapter: Adapter,
    /// The adapter's version, if given.
    pub version: Option<Version>,
}

/// The reason why a text is not a model reference.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ModelError {
    /// There was no `:` between base and adapter.
    #[error("model {0:?} lacks ':'; write base:adapter@version")]
    NoAdapter(String),
    /// One of the parts was not a valid name.
    #[error("model {text:?} has a bad {part}: {source}")]
    BadPart {
        /// The whole text.
        text: String,
        /// Which part was bad: `base`, `adapter` or `version`.
        part: &'static str,
        /// The rule that the part breaks.
        source: NameError,
    },
}

impl FromStr for Model {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, ModelError> {
        let Some((base, rest)) = text.split_once(':') else {
            return Err(ModelError::NoAdapter(text.to_owned()));
        };
        let (adapter, version) = match rest.split_once('@') {
            Some((adapter, version)) => (adapter, Some(version)),
            None => (rest, None),
        };
        let bad = |part| {
            move |source| ModelError::BadPart {
                text: text.to_owned(),
                part,
                source,
            }
        };
        Ok(Self {
            base: Base::new(base).map_err(bad("base"))?,
            adapter: Adapter::new(adapter).map_err(bad("adapter"))?,
            version: version
                .map(Version::new)
                .transpose()
                .map_err(bad("version"))?,
        })
    }
}

impl TryFrom<String> for Model {
    type Error = ModelError;
    fn try_from(text: String) -> Result<Self, ModelError> {
        text.parse()
    }
}

impl From<Model> for String {
    fn from(model: Model) -> Self {
        model.to_string()
    }
}

impl fmt::Display for Model {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.base, self.adapter)?;
        match &self.version {
            Some(version) => write!(f, "@{version}"),
            None => Ok(()),
        }
    }
}

/// A version of an adapter, which occupies one slot of an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Variant {
    /// The adapter.
    pub adapter: Adapter,
    /// The version.
    pub version: Version,
}

impl fmt::Display for Variant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
