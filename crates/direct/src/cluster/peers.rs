//! The other entries: their addresses, and the work that they reported.

use crate::cluster::entry_state::{EntryState, PeerLoad, ServiceLoad, Work, short_hash};
use crate::cluster::groups::Member;
use crate::cluster::loads::Loads;
use policy::Hash;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of peers that receive one datagram. With more peers they take turns, except
/// that designated readers of the log send to all of them. Coordinators record all reservations, so
/// other state may be older: 16 datagrams each 300 ms are 12 KB per second, however many entries
/// there are.
const MAX_RECIPIENTS: usize = 16;

/// How long the state of a peer is valid, multiplied by the number of rounds that it needs to send
/// to all others.
const STATE_TTL: Duration = Duration::from_millis(700);

/// The other entries.
#[derive(Debug, Default)]
pub struct Peers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    addresses: Vec<SocketAddr>,
    /// The index of the first address of the next round.
    next: usize,
    members: Arc<[Member]>,
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

    /// Returns the number of other entries whose datagrams currently arrive.
    pub fn reachable_count(&self) -> u32 {
        u32::try_from(self.lock().peers.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the datagrams of another entry currently arrive.
    pub fn is_reachable(&self, entry: Hash) -> bool {
        self.lock().peers.contains_key(&entry)
    }

    /// Sets the live entries with their addresses, including this one.
    pub fn set_members(&self, mut members: Vec<Member>) {
        members.sort_by_key(|member| member.key);
        let mut inner = self.lock();
        inner.addresses = members.iter().filter_map(|member| member.address).collect();
        if *inner.members != *members {
            inner.members = members.into();
        }
    }

    /// Returns the live entries, including this one.
    pub fn members(&self) -> Arc<[Member]> {
        self.lock().members.clone()
    }

    /// Returns the recipients of the next datagram: `all`, or those whose turn it is. Drops the
    /// state of peers that are no longer reachable.
    pub fn recipients(&self, all: bool, now: Instant) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        inner.expire(now);
        if all { inner.addresses.clone() } else { inner.next_recipients() }
    }

    /// Returns whether a live entry has this address.
    pub fn is_known(&self, ip: IpAddr) -> bool {
        self.lock().addresses.iter().any(|address| address.ip() == ip)
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
    fn next_recipients(&mut self) -> Vec<SocketAddr> {
        let count = self.addresses.len();
        let round = self.addresses.iter().cycle().skip(self.next).take(count.min(MAX_RECIPIENTS));
        let round = round.copied().collect();
        self.next = (self.next + MAX_RECIPIENTS).checked_rem(count).unwrap_or_default();
        round
    }

    fn expire(&mut self, now: Instant) {
        let rounds = self.addresses.len().div_ceil(MAX_RECIPIENTS).max(1);
        let ttl = STATE_TTL * u32::try_from(rounds).unwrap_or(u32::MAX);
        let unreachable =
            self.peers.iter().filter(|(_, peer)| now.duration_since(peer.received_at) > ttl);
        let unreachable: Vec<u64> = unreachable.map(|(entry, _)| *entry).collect();
        for entry in unreachable {
            log::info!(target: "peers", entry; "entry silent");
            self.remove(entry);
        }
        self.totals.retain(|_, load| *load != PeerLoad::default());
    }
}
