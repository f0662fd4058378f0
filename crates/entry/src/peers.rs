//! All agents that the entry knows, by address.

use crate::peer::Peer;
use crate::random::Random;
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use tokio::task::AbortHandle;
use wire::{AttemptId, Dialler, Key, Sighting};

/// What all connections of an entry share.
pub(crate) struct Link {
    pub(crate) dialler: Arc<dyn Dialler>,
    pub(crate) key: Key,
    pub(crate) name: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) random: Arc<Random>,
    next_attempt: AtomicU64,
    sighting: RwLock<Sighting>,
}

/// All agents.
pub(crate) struct Peers {
    link: Arc<Link>,
    known: RwLock<HashMap<CompactString, Known>>,
}

struct Known {
    peer: Arc<Peer>,
    task: AbortHandle,
}

impl Link {
    /// Makes what the connections of the entry `name` share.
    pub(crate) fn new(
        dialler: Arc<dyn Dialler>,
        key: Key,
        name: CompactString,
        random: Arc<Random>,
    ) -> Self {
        let incarnation = random.number();
        let sighting = Sighting { entry: name.to_string(), incarnation, ..Sighting::default() };
        let (next_attempt, sighting) = (AtomicU64::new(1), RwLock::new(sighting));
        Self { dialler, key, name, incarnation, random, next_attempt, sighting }
    }

    /// A fresh id. One counter serves all connections, so an id is never used again and a late
    /// frame can't be taken for one of a later attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// What the entry says of itself with each ping.
    pub(crate) fn sighting(&self) -> Sighting {
        self.sighting.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes what the entry says of itself.
    pub(crate) fn show(&self, change: impl FnOnce(&mut Sighting)) {
        change(&mut self.sighting.write().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Peers {
    /// Makes the empty set.
    pub(crate) fn new(link: Arc<Link>) -> Self {
        Self { link, known: RwLock::default() }
    }

    /// What all connections share.
    pub(crate) fn link(&self) -> &Arc<Link> {
        &self.link
    }

    /// The agent at `address`, which is connected to from now on.
    pub(crate) fn get(&self, address: &CompactString) -> Arc<Peer> {
        if let Some(peer) = self.find(address) {
            return peer;
        }
        self.add(address, false)
    }

    /// The agent at `address`, if it is known.
    pub(crate) fn find(&self, address: &CompactString) -> Option<Arc<Peer>> {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.get(address).map(|known| known.peer.clone())
    }

    /// Keeps connections to these agents, and lets others close once they have no work.
    pub(crate) fn keep(&self, addresses: &HashSet<CompactString>) {
        for address in addresses {
            if self.find(address).is_none() {
                self.add(address, true);
            }
        }
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        for (address, known) in known.iter() {
            known.peer.keep(addresses.contains(address));
        }
    }

    fn add(&self, address: &CompactString, kept: bool) -> Arc<Peer> {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        let known = known.entry(address.clone()).or_insert_with(|| {
            let peer = Arc::new(Peer::new(address.clone(), kept));
            let task = tokio::spawn(peer.clone().run(self.link.clone())).abort_handle();
            Known { peer, task }
        });
        known.peer.clone()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        let known = self.known.get_mut().unwrap_or_else(PoisonError::into_inner);
        known.values().for_each(|known| known.task.abort());
    }
}
