//! Customers: whose request it is, by the key that it carries.
//!
//! Keys are known here by their digests only, so that none can reach a log line, a metric or another
//! process. The digests of a configuration are indexed once, when it comes into force: a request costs
//! one digest and one lookup, however many customers there are.

use compact_str::CompactString;
use sha2::{Digest as _, Sha256};
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::fmt;
use std::sync::Arc;

/// The name of a customer.
pub type CustomerName = CompactString;

/// The result of finding out whose a request is.
pub type Result<T, E = Unknown> = std::result::Result<T, E>;

/// The request carries no key of a customer, though it needs one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no key of a customer")]
pub struct Unknown;

/// The SHA-256 digest of a key.
///
/// How long a lookup takes tells nothing of a key: who guesses can't choose the digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest(..)")
    }
}

/// What a request carries to show whose it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Credential {
    /// Nothing.
    #[default]
    None,
    /// One key.
    Key(KeyDigest),
    /// Something that is not one key: several, or another scheme.
    Invalid,
}

/// A customer as operators configured it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Customer {
    /// Its name.
    pub name: CustomerName,
    /// Its rank, which goes before the route's: 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Whose a request is.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Caller {
    /// Nobody asks: no customers are configured.
    #[default]
    Unchecked,
    /// Nobody's: its route is open to all, and it carries no key of a customer.
    Anonymous,
    /// A customer's.
    Customer(Arc<Customer>),
}

impl Caller {
    /// The customer, if it is one's.
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
}

impl Customers {
    /// Adds a customer with its keys.
    pub fn add(&mut self, customer: Customer, keys: impl IntoIterator<Item = KeyDigest>) {
        let customer = Arc::new(customer);
        for key in keys {
            match self.by_key.entry(key) {
                Entry::Vacant(free) => {
                    free.insert(customer.clone());
                }
                Entry::Occupied(held) => {
                    // Both can't be served by it; the first stays, so that all entries agree.
                    log::warn!(target: "config", holder = held.get().name.as_str(),
                        customer = customer.name.as_str(); "key held by two customers");
                }
            }
        }
    }

    /// How many keys there are.
    pub fn key_count(&self) -> usize {
        self.by_key.len()
    }

    /// Whose a request is; `open` says that its route needs no key.
    pub fn caller(&self, credential: Credential, open: bool) -> Result<Caller> {
        let customer = match credential {
            Credential::Key(key) => self.by_key.get(&key),
            Credential::None | Credential::Invalid => None,
        };
        match customer {
            Some(customer) => Ok(Caller::Customer(customer.clone())),
            None if open => Ok(Caller::Anonymous),
            None => Err(Unknown),
        }
    }
}
