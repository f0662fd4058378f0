//! The other entries: their addresses, and the work that they reported.

use crate::cluster::entry_state::{EntryState, PeerLoad, ServiceLoad, Work, short_hash};
use crate::cluster::groups::Member;
use crate::cluster::loads::Loads;
use crate::cluster::members::Members;
use policy::Hash;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of peers that receive one datagram. With more peers they take turns.
/// Coordinators record all reservations, so other state may be older: 16 datagrams each 300 ms are
/// 12 KB per second, however many entries there are.
const MAX_RECIPIENTS: usize = 16;

/// How long the state of a peer is valid, multiplied by the number of rounds that it needs to send
/// to all others, up to [`MAX_STATE_ROUNDS`].
const STATE_TTL: Duration = Duration::from_millis(700);

/// With more rounds than this, the state of some peers is unknown at any time, and is estimated
/// from that of the others: older state says nothing of an engine's queue.
const MAX_STATE_ROUNDS: usize = 3;

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    /// Which entries are alive.
    pub directory: Members,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The index of the first address of the next round.
    next: usize,
    /// Peers whose state is still valid.
    peers: HashMap<u64, Peer>,
    totals: HashMap<u32, PeerLoad>,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    received_at: Instant,
    work: Vec<(u32, PeerLoad)>,
    loads: Vec<ServiceLoad>,
}

impl Peers {
    /// Returns the work of the other entries at an engine.
    pub fn load_at(&self, engine: Hash) -> PeerLoad {
        self.lock().totals.get(&short_hash(engine)).copied().unwrap_or_default()
    }

    /// Returns the number of other entries whose work is currently known.
    pub fn reachable_count(&self) -> u32 {
        u32::try_from(self.lock().peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether another entry currently responds: its datagrams arrive, or, where the
    /// entries take turns, it acknowledges probes.
    pub fn is_reachable(&self, entry: Hash) -> bool {
        let takes_turns = self.directory.addresses().len() > MAX_RECIPIENTS;
        self.lock().peers.contains_key(&entry) || (takes_turns && self.directory.is_alive(entry))
    }

    /// Returns the live entries, including this one.
    pub fn members(&self) -> Arc<[Member]> {
        self.directory.snapshot()
    }

    /// Returns the peers whose turn it is to receive the next datagram. Drops the state of peers
    /// that was not renewed.
    pub fn recipients(&self, now: Instant) -> Vec<SocketAddr> {
        let addresses = self.directory.addresses();
        let mut inner = self.lock();
        inner.expire(addresses.len(), now);
        inner.next_recipients(&addresses)
    }

    /// Applies the state of an entry; returns `false` if a newer one is known.
    pub fn observe(&self, state: EntryState, loads: &Loads, now: Instant) -> bool {
        self.lock().observe(state, loads, now)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Applies the state of a peer; returns `false` if a newer one is known.
    fn observe(&mut self, state: EntryState, loads: &Loads, now: Instant) -> bool {
        let EntryState { entry, incarnation, sequence, work, loads: service_loads, .. } = state;
        let known = self.peers.get(&entry);
        if known.is_some_and(|peer| peer.incarnation == incarnation && peer.sequence >= sequence) {
            return false;
        }
        let previous =
            known.filter(|peer| peer.incarnation == incarnation).map(|peer| &*peer.loads);
        for load in &service_loads {
            let previous =
                previous.and_then(|rows| rows.iter().find(|row| row.service == load.service));
            loads.observe(previous, load);
        }
        self.remove(entry);
        let work = work.map(Work::rows).unwrap_or_default();
        for (engine, load) in &work {
            let total = self.totals.entry(*engine).or_default();
            total.prefill_tokens += load.prefill_tokens;
            total.streams += load.streams;
        }
        self.peers.insert(
            entry,
            Peer { incarnation, sequence, received_at: now, work, loads: service_loads },
        );
        true
    }

    fn remove(&mut self, entry: u64) {
        let Some(peer) = self.peers.remove(&entry) else { return };
        for (engine, load) in peer.work {
            if let Some(total) = self.totals.get_mut(&engine) {
                total.prefill_tokens = total.prefill_tokens.saturating_sub(load.prefill_tokens);
                total.streams = total.streams.saturating_sub(load.streams);
            }
        }
    }

    /// Returns the peers whose turn it is, and advances to the next round.
    fn next_recipients(&mut self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let count = addresses.len();
        let indexes = (self.next..).take(count.min(MAX_RECIPIENTS));
        let round = indexes.filter_map(|at| addresses.get(at.checked_rem(count)?).copied());
        let round = round.collect();
        self.next = (self.next + MAX_RECIPIENTS).checked_rem(count).unwrap_or_default();
        round
    }

    fn expire(&mut self, peers: usize, now: Instant) {
        let rounds = peers.div_ceil(MAX_RECIPIENTS).clamp(1, MAX_STATE_ROUNDS);
        let ttl = STATE_TTL * u32::try_from(rounds).unwrap_or(u32::MAX);
        let unreachable =
            self.peers.iter().filter(|(_, peer)| now.duration_since(peer.received_at) > ttl);
        let unreachable: Vec<u64> = unreachable.map(|(entry, _)| *entry).collect();
        for entry in unreachable {
            log::debug!(target: "peers", entry; "entry silent");
            self.remove(entry);
        }
        self.totals.retain(|_, load| *load != PeerLoad::default());
    }
}
