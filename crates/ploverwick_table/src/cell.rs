//! The parts of a table: row subjects, columns and cell values.

use std::fmt;
use std::str::FromStr;

use ploverwick_codes::diagnostic::Rule;
use ploverwick_names::{Adapter, Group, Version};
use serde::{Deserialize, Serialize};

use crate::Selector;

const GROUP_PREFIX: &str = "group:";
const ALL: &str = "*";
const MAX_WEIGHT: f64 = 1000.0;
const MAX_PRIORITY: u8 = 9;
const MAX_REQUESTS_PER_SECOND: f64 = 1_000_000.0;

/// The adapters that a row applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Subject {
    /// Every adapter.
    All,
    /// A group of adapters.
    Group(Group),
    /// One adapter.
    Adapter(Adapter),
}

/// The setting that a column controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// The version used for requests that do not name one.
    Version,
    /// The group that an adapter belongs to.
    Group,
    /// The adapter's scheduling weight under contention, above 0 and up to 1000.
    Weight,
    /// The scheduling priority, 0 to 9; 9 runs first.
    Priority,
    /// The maximum number of requests admitted per second across the fleet.
    Limit,
}

/// A column: the setting it controls and the requests it applies to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Column {
    /// The setting that the column controls.
    pub field: Field,
    /// The requests that the column applies to.
    pub selector: Selector,
}

/// The value of a cell.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    /// A version.
    Version(Version),
    /// A group.
    Group(Group),
    /// A weight.
    Weight(f64),
    /// A priority.
    Priority(u8),
    /// A limit in requests per second.
    Limit(f64),
}

impl Field {
    /// All fields with their headers.
    pub const ALL: &'static [(Self, &'static str)] = &[
        (Self::Version, "version"),
        (Self::Group, "group"),
        (Self::Weight, "weight"),
        (Self::Priority, "priority"),
        (Self::Limit, "limit"),
    ];

    /// Returns the header of the field's column without a selector.
    pub fn header(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Group => "group",
            Self::Weight => "weight",
            Self::Priority => "priority",
            Self::Limit => "limit",
        }
    }

    /// Returns whether the field is allowed in every kind of row and may have a selector.
    pub fn is_policy(self) -> bool {
        matches!(self, Self::Weight | Self::Priority | Self::Limit)
    }
}

impl FromStr for Subject {
    type Err = Rule;

    fn from_str(text: &str) -> Result<Self, Rule> {
        if text == ALL {
            return Ok(Self::All);
        }
        let malformed = |_| Rule::SubjectMalformed;
        match text.strip_prefix(GROUP_PREFIX) {
            Some(group) => Group::new(group).map(Self::Group).map_err(malformed),
            None => Adapter::new(text).map(Self::Adapter).map_err(malformed),
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str(ALL),
            Self::Group(group) => write!(f, "{GROUP_PREFIX}{group}"),
            Self::Adapter(adapter) => adapter.fmt(f),
        }
    }
}

impl FromStr for Column {
    type Err = Rule;

    fn from_str(text: &str) -> Result<Self, Rule> {
        let (header, selector) = match text.split_once('[') {
            Some((header, rest)) => {
                let inner = rest.strip_suffix(']').ok_or(Rule::SelectorMalformed)?;
                (header.trim(), Selector::parse(inner)?)
            }
            None => (text, Selector::default()),
        };
        let (field, _) = Field::ALL
            .iter()
            .find(|(_, known)| *known == header)
            .ok_or(Rule::ColumnUnknown)?;
        let unselective = selector == Selector::default();
        if !unselective && !field.is_policy() {
            return Err(Rule::SelectorMalformed);
        }
        Ok(Self {
            field: *field,
            selector,
        })
    }
}

impl fmt::Display for Column {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.field.header(), self.selector)
    }
}

impl Value {
    /// Parses the text of a cell in a column of the given field.
    ///
    /// # Errors
    /// Returns the rule that the text violates.
    pub fn parse(field: Field, text: &str) -> Result<Self, Rule> {
        match field {
            Field::Version => Version::new(text)
                .map(Self::Version)
                .map_err(|_| Rule::VersionMalformed),
            Field::Group => Group::new(text)
                .map(Self::Group)
                .map_err(|_| Rule::SubjectMalformed),
            Field::Weight => parse_number(text, f64::MIN_POSITIVE, MAX_WEIGHT)
                .map(Self::Weight)
                .ok_or(Rule::WeightMalformed),
            Field::Priority => text
                .parse::<u8>()
                .ok()
                .filter(|priority| *priority <= MAX_PRIORITY)
                .map(Self::Priority)
                .ok_or(Rule::PriorityMalformed),
            Field::Limit => parse_number(text, 0.0, MAX_REQUESTS_PER_SECOND)
                .map(Self::Limit)
                .ok_or(Rule::LimitMalformed),
        }
    }
}

fn parse_number(text: &str, min: f64, max: f64) -> Option<f64> {
    let number = text.parse::<f64>().ok()?;
    (min..=max).contains(&number).then_some(number)
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Version(version) => version.fmt(f),
            Self::Group(group) => group.fmt(f),
            Self::Weight(number) | Self::Limit(number) => number.fmt(f),
            Self::Priority(priority) => priority.fmt(f),
        }
    }
}

macro_rules! impl_string_conversions {
    ($($name:ident)*) => {$(
        impl TryFrom<String> for $name {
            type Error = &'static str;
            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse().map_err(Rule::summary)
            }
        }

        impl From<$name> for String {
            fn from(value: $name) -> Self {
                value.to_string()
            }
        }
    )*};
}

impl_string_conversions! { Subject Column }
