//! The other entries by key, with counts and a digest that are kept up to date, so that nothing
//! walks over all entries for each datagram.

use super::Update;
use crate::{Hash, mix};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::ops::Bound;

/// The other entries.
#[derive(Debug, Default)]
pub(super) struct PeerList {
    peers: BTreeMap<Hash, Update>,
    /// How many live entries have each address.
    addresses: HashMap<IpAddr, usize>,
    live: usize,
    departed: usize,
    digest: Hash,
    version: u64,
}

impl PeerList {
    /// The part of one live entry in the digest.
    pub(super) fn digest_of(update: &Update) -> Hash {
        mix(update.node.key, update.incarnation)
    }

    pub(super) fn get(&self, key: Hash) -> Option<&Update> {
        self.peers.get(&key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Update> {
        self.peers.values()
    }

    /// All live entries in the order of their keys, starting at `from`.
    pub(super) fn live_from(&self, from: Hash) -> impl Iterator<Item = &Update> {
        let entries = self.peers.range(from..).chain(self.peers.range(..from));
        entries.map(|(_, update)| update).filter(|update| update.status.is_live())
    }

    pub(super) fn page(&self, after: Hash, max: usize) -> (Vec<Update>, Option<Hash>) {
        let mut rest = self.peers.range((Bound::Excluded(after), Bound::Unbounded));
        let page: Vec<Update> = rest.by_ref().take(max).map(|(_, update)| *update).collect();
        let next = rest.next().and_then(|_| page.last()).map(|last| last.node.key);
        (page, next)
    }

    pub(super) fn live_count(&self) -> usize {
        self.live
    }

    /// The number of entries that have not left as planned.
    pub(super) fn count(&self) -> usize {
        self.peers.len() - self.departed
    }

    pub(super) fn digest(&self) -> Hash {
        self.digest
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn is_live_address(&self, ip: IpAddr) -> bool {
        self.addresses.contains_key(&ip)
    }

    pub(super) fn insert(&mut self, update: Update) {
        self.remove(update.node.key);
        if update.status.is_live() {
            self.live += 1;
            self.digest ^= Self::digest_of(&update);
            *self.addresses.entry(update.node.address.ip()).or_default() += 1;
        }
        if update.status == super::Status::Left {
            self.departed += 1;
        }
        self.peers.insert(update.node.key, update);
    }

    pub(super) fn remove(&mut self, key: Hash) {
        self.version += 1;
        let Some(update) = self.peers.remove(&key) else { return };
        if update.status == super::Status::Left {
            self.departed -= 1;
        }
        if !update.status.is_live() {
            return;
        }
        self.live -= 1;
        self.digest ^= Self::digest_of(&update);
        let ip = update.node.address.ip();
        if let Some(count) = self.addresses.get_mut(&ip) {
            *count -= 1;
            if *count == 0 {
                self.addresses.remove(&ip);
            }
        }
    }
}
