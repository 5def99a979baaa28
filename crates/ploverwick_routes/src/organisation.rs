//! Organisations: who calls, by which keys, and how much each may use.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use sha2::{Digest, Sha256};

/// The SHA-256 digest of an API key.
///
/// Keys are kept and looked up by their digests alone: nothing that prints or tells a configuration can
/// tell a key, and the time of a look-up depends on bits that no caller can choose.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digests a key.
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
    /// Each request counts as one.
    Requests,
    /// A request counts as its tokens.
    Tokens {
        /// What a request counts as that states no tokens.
        plain: u32,
    },
}

/// How much an organisation may use over all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Units a second, 0 or more. With a rate of 0 nothing may be used.
    pub rate: f64,
    /// Units that may be used at once besides, 0 or more.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

impl Quota {
    /// Lets nothing pass: the strictest reading of a quota that cannot be read.
    pub const NOTHING: Self = Self {
        rate: 0.0,
        burst: 0.0,
        unit: Unit::Requests,
    };

    /// Returns what a request counts as; `tokens` is what it states, if it does.
    pub fn cost(&self, tokens: Option<u32>) -> u32 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }

    /// Returns the quota that is kept where two are declared for one organisation.
    fn stricter(self, other: Self) -> Self {
        if other.rate < self.rate { other } else { self }
    }
}

/// An organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name, as endpoints get it.
    pub name: Arc<str>,
    /// The rank of its requests, 0 first; goes before the route's.
    pub priority: Option<u8>,
    /// How much it may use; `None` for no bound.
    pub quota: Option<Quota>,
}

/// An organisation as it is declared.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
}

/// What is wrong with a declaration; it names no key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The name is missing, empty, or cannot be told to endpoints. No key of it is valid.
    #[error(
        "organisation number {0} has no name that endpoints can be told; its keys are not valid"
    )]
    Nameless(usize),
    /// It is declared more than once. All its keys are valid, and the lowest quota holds.
    #[error("{0} is declared more than once; the lowest quota holds")]
    Twice(Arc<str>),
    /// A key is empty or no text. It is not valid.
    #[error("{0} has a key that is empty or no text; it is not valid")]
    Key(Arc<str>),
    /// Another organisation has one of its keys. It is valid for neither.
    #[error("{0} shares a key with another organisation; it is valid for neither")]
    SharedKey(Arc<str>),
    /// Its quota cannot be read. Nothing may be used.
    #[error("the quota of {0} cannot be read; nothing may be used until it is corrected")]
    Quota(Arc<str>),
    /// Its priority cannot be read. The route's holds.
    #[error("the priority of {0} cannot be read; that of the route holds")]
    Priority(Arc<str>),
}

/// All organisations of a configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Arc<Organisation>>,
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    faults: Vec<Fault>,
}

impl Organisations {
    /// Makes a directory of declarations; `faults` are those that were found while they were read.
    pub fn new(declarations: Vec<Declaration>, faults: Vec<Fault>) -> Self {
        let mut all = Self {
            faults,
            ..Self::default()
        };
        let mut keys: Vec<(KeyDigest, Arc<str>)> = Vec::new();
        for declaration in declarations {
            let name = Arc::clone(&declaration.organisation.name);
            keys.extend(declaration.keys.iter().map(|key| (*key, Arc::clone(&name))));
            all.declare(declaration.organisation);
        }
        let shared = shared_keys(&keys);
        for (key, name) in keys {
            if shared.contains(&key) {
                all.fault(Fault::SharedKey(name));
            } else if let Some(organisation) = all.by_name.get(&name) {
                all.by_key.insert(key, Arc::clone(organisation));
            }
        }
        all
    }

    fn declare(&mut self, mut organisation: Organisation) {
        let name = Arc::clone(&organisation.name);
        if let Some(earlier) = self.by_name.get(&name) {
            organisation.priority = earlier.priority.or(organisation.priority);
            organisation.quota = match (earlier.quota, organisation.quota) {
                (Some(one), Some(other)) => Some(one.stricter(other)),
                (one, other) => one.or(other),
            };
            self.fault(Fault::Twice(Arc::clone(&name)));
        }
        self.by_name.insert(name, Arc::new(organisation));
    }

    fn fault(&mut self, fault: Fault) {
        if !self.faults.contains(&fault) {
            self.faults.push(fault);
        }
    }

    /// Finds the organisation that holds a key.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    /// Finds an organisation by its name.
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Iterates over the organisations, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns how many keys are valid.
    pub fn keys(&self) -> usize {
        self.by_key.len()
    }

    /// Returns what is wrong with the declarations.
    pub fn faults(&self) -> &[Fault] {
        &self.faults
    }
}

/// Returns the keys that more than one organisation holds.
fn shared_keys(keys: &[(KeyDigest, Arc<str>)]) -> HashSet<KeyDigest> {
    let mut holders: HashMap<KeyDigest, &Arc<str>> = HashMap::new();
    let shared = keys.iter().filter(|(key, name)| {
        let first = holders.entry(*key).or_insert(name);
        *first != name
    });
    shared.map(|(key, _)| *key).collect()
}
