//! The connections to all agents, opened when first needed.

use crate::peer::Peer;
use compact_str::CompactString;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use wire::{Dialler, Key, Load};

/// One agent's connection, locked while it is being opened.
type Slot = Arc<tokio::sync::Mutex<Option<Arc<Peer>>>>;

/// The connections to all agents, by address.
pub(crate) struct Peers {
    dialler: Arc<dyn Dialler>,
    key: Key,
    name: CompactString,
    incarnation: u64,
    open: Mutex<HashMap<CompactString, Slot>>,
}

impl Peers {
    /// Makes the empty set of connections of the entry `name`.
    pub(crate) fn new(dialler: Arc<dyn Dialler>, key: Key, name: CompactString) -> Self {
        Self { dialler, key, name, incarnation: rand::random(), open: Mutex::default() }
    }

    /// The connection to the agent at `address`, opened now if there is none.
    pub(crate) async fn get(&self, address: &CompactString) -> wire::Result<Arc<Peer>> {
        let slot = self.slot(address);
        let mut slot = slot.lock().await;
        if let Some(peer) = slot.as_ref().filter(|peer| peer.is_open()) {
            return Ok(peer.clone());
        }
        let dialler = self.dialler.as_ref();
        let connecting = Peer::connect(dialler, &self.key, &self.name, self.incarnation, address);
        let peer = Arc::new(connecting.await?);
        *slot = Some(peer.clone());
        Ok(peer)
    }

    /// The load of the agent at `address` as last heard.
    pub(crate) fn load(&self, address: &CompactString) -> Option<Load> {
        let slot = self.slot(address);
        let slot = slot.try_lock().ok()?;
        slot.as_ref()?.load()
    }

    fn slot(&self, address: &CompactString) -> Slot {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.entry(address.clone()).or_default().clone()
    }
}
