//! Organisations: their API keys, priorities and quotas.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// The SHA-256 digest of an API key.
///
/// Only digests of keys are stored and looked up. Printing or sending a configuration therefore cannot leak a
/// key, and the timing of a look-up depends on bits that no caller can choose.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs one unit.
    Requests,
    /// A request costs as many units as it states tokens.
    Tokens {
        /// The cost of a request that states no number of tokens.
        ///
        /// A log line prints the name of the field, so it stays.
        plain: u32,
    },
}

/// A rate limit for an organisation over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The units per second, 0 or more. A rate of 0 allows no requests.
    pub rate: f64,
    /// The units that may be used at once in addition to the rate, 0 or more.
    pub burst: f64,
    /// What the quota counts.
    pub unit: Unit,
}

impl Quota {
    /// Allows no requests. Used for a quota that cannot be parsed, since the strictest limit is the safe one.
    pub const ZERO: Self = Self {
        rate: 0.0,
        burst: 0.0,
        unit: Unit::Requests,
    };

    /// Returns the cost of a request in units; `tokens` is the number of tokens that it states, if any.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }

    /// Returns the quota that applies if two are declared for one organisation.
    fn stricter(self, other: Self) -> Self {
        if other.rate < self.rate { other } else { self }
    }
}

/// An organisation with its priority and quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name, as it is passed to endpoints.
    pub name: Arc<str>,
    /// The priority of its requests, 0 being the most urgent; overrides that of the route.
    pub priority: Option<u8>,
    /// Its quota; `None` for no limit.
    pub quota: Option<Quota>,
}

/// The declaration of an organisation in a configuration.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// The organisation.
    pub organisation: Organisation,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// An error in the declaration of an organisation. It never contains a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DeclarationError {
    /// The name is missing, empty, or cannot be passed to endpoints. None of its keys is valid.
    #[error(
        "the organisation at index {0} has no name that can be passed to endpoints; its keys are not valid"
    )]
    InvalidName(usize),
    /// It is declared more than once. All its keys are valid, and the lowest quota applies.
    #[error("organisation {0} is declared more than once; the lowest quota applies")]
    Duplicate(Arc<str>),
    /// A key is empty or not a string. That key is not valid.
    #[error("organisation {0} has a key that is empty or not a string; the key is not valid")]
    InvalidKey(Arc<str>),
    /// Another organisation declares one of its keys. The key is valid for neither.
    #[error(
        "organisation {0} shares a key with another organisation; the key is valid for neither"
    )]
    SharedKey(Arc<str>),
    /// Its quota cannot be parsed. All its requests are refused.
    #[error(
        "the quota of organisation {0} is invalid; all its requests are refused until it is corrected"
    )]
    InvalidQuota(Arc<str>),
    /// Its priority cannot be parsed. That of the route applies.
    #[error("the priority of organisation {0} is invalid; that of the route applies")]
    InvalidPriority(Arc<str>),
}

/// All organisations of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    errors: Vec<DeclarationError>,
}

impl Organisations {
    /// Indexes declarations by key and name; `errors` are those found while the declarations were parsed.
    pub fn new(declarations: Vec<Declaration>, errors: Vec<DeclarationError>) -> Self {
        let mut all = Self {
            errors,
            ..Self::default()
        };
        let mut keys: Vec<(KeyDigest, Arc<str>)> = Vec::new();
        for declaration in declarations {
            let name = Arc::clone(&declaration.organisation.name);
            keys.extend(declaration.keys.iter().map(|key| (*key, Arc::clone(&name))));
            all.add(declaration.organisation);
        }
        let shared = shared_keys(&keys);
        for (key, name) in keys {
            if shared.contains(&key) {
                all.add_error(DeclarationError::SharedKey(name));
            } else if let Some(organisation) = all.by_name.get(&name) {
                all.by_key.insert(key, Arc::clone(organisation));
            }
        }
        all
    }

    fn add(&mut self, mut organisation: Organisation) {
        let name = Arc::clone(&organisation.name);
        if let Some(earlier) = self.by_name.get(&name) {
            organisation.priority = earlier.priority.or(organisation.priority);
            organisation.quota = match (earlier.quota, organisation.quota) {
                (Some(one), Some(other)) => Some(one.stricter(other)),
                (one, other) => one.or(other),
            };
            self.add_error(DeclarationError::Duplicate(Arc::clone(&name)));
        }
        self.by_name.insert(name, Arc::new(organisation));
    }

    fn add_error(&mut self, error: DeclarationError) {
        if !self.errors.contains(&error) {
            self.errors.push(error);
        }
    }

    /// Finds the organisation that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Finds an organisation by its name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Iterates over the organisations in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns the number of valid keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Returns the errors in the declarations.
    pub fn errors(&self) -> &[DeclarationError] {
        &self.errors
    }
}

/// Returns the keys that more than one organisation declares.
fn shared_keys(keys: &[(KeyDigest, Arc<str>)]) -> HashSet<KeyDigest> {
    let mut holders: HashMap<KeyDigest, &Arc<str>> = HashMap::new();
    let shared = keys.iter().filter(|(key, name)| {
        let first = holders.entry(*key).or_insert(name);
        *first != name
    });
    shared.map(|(key, _)| *key).collect()
}
