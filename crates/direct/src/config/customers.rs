//! Customers, identified by the key that a request carries.
//!
//! Keys are held here only as digests, so that none can reach a log line, a metric or another
//! process. The digests of a configuration are indexed once, when it comes into force: a request
//! costs one digest and one lookup, however many customers there are.

use compact_str::CompactString;
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

/// The name of a customer.
pub type CustomerName = CompactString;

/// The result of identifying a caller.
pub type Result<T, E = UnknownCustomer> = std::result::Result<T, E>;

/// The request carries no customer's key, though its route requires one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no key of a customer")]
pub struct UnknownCustomer;

/// The SHA-256 digest of a key.
///
/// The time that a lookup takes reveals nothing about a key, since whoever guesses can't choose the
/// digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest(..)")
    }
}

/// The credential that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Credential {
    /// No credential.
    #[default]
    None,
    /// The digest of its key.
    Key(KeyDigest),
    /// Something other than a single key: several keys, or another scheme.
    Invalid,
}

/// What the limit of a customer counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unit {
    /// Tokens of prompt and output. A request that states none counts as this many.
    Tokens {
        /// The tokens of a request that states none.
        plain: f64,
    },
    /// Requests.
    Requests,
}

/// What a customer may use, over all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second; positive.
    pub rate: f64,
    /// Units that may be used at once; positive.
    pub burst: f64,
    /// Whether the burst follows from the rate, since operators set none.
    pub burst_is_default: bool,
    /// The unit.
    pub unit: Unit,
}

/// A customer, as operators configured it.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// Its priority, which overrides the route's: 0 is the most urgent.
    pub priority: Option<u8>,
    /// Its limit, if it has one.
    pub limit: Option<Limit>,
}

impl Customer {
    /// Its identity in decisions: the hash of its name.
    pub fn key(&self) -> policy::Hash {
        policy::hash(&self.name)
    }
}

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum Caller {
    /// Not checked: no customers are configured.
    #[default]
    Unchecked,
    /// Unknown: the route is public, and the request carries no customer's key.
    Anonymous,
    /// A customer.
    Customer(Arc<Customer>),
}

impl Caller {
    /// The customer, if the caller is one.
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Self::Customer(customer) => Some(customer),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}

/// The customers of one configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Customers {
    by_key: HashMap<KeyDigest, Arc<Customer>>,
    any_limit: bool,
    without_burst: Vec<CustomerName>,
}

impl Customers {
    /// Adds a customer with its keys.
    pub fn add(&mut self, customer: Customer, keys: impl IntoIterator<Item = KeyDigest>) {
        self.any_limit |= customer.limit.is_some();
        if customer.limit.is_some_and(|limit| limit.burst_is_default) {
            self.without_burst.push(customer.name.clone());
        }
        let customer = Arc::new(customer);
        for key in keys {
            match self.by_key.entry(key) {
                Entry::Vacant(free) => {
                    free.insert(customer.clone());
                }
                Entry::Occupied(held) => {
                    // A key can identify only one of them. The first one keeps it, so that all
                    // entries agree.
                    log::warn!(target: "config", holder = held.get().name.as_str(),
                        customer = customer.name.as_str(); "key held by two customers");
                }
            }
        }
    }

    /// The number of keys.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Those with a limit for which operators set a rate and no burst.
    pub fn without_burst(&self) -> &[CustomerName] {
        &self.without_burst
    }

    /// Whether any of them has a limit.
    pub fn any_limit(&self) -> bool {
        self.any_limit
    }

    /// Identifies the caller by its credential. A `public` route needs no key.
    pub fn caller(&self, credential: Credential, public: bool) -> Result<Caller> {
        let customer = match credential {
            Credential::Key(key) => self.by_key.get(&key),
            Credential::None | Credential::Invalid => None,
        };
        match customer {
            Some(customer) => Ok(Caller::Customer(customer.clone())),
            None if public => Ok(Caller::Anonymous),
            None => Err(UnknownCustomer),
        }
    }
}
