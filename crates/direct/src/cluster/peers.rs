//! The other entries: their addresses, and the work that they reported.

use crate::cluster::entry_state::{
    EntryState, PeerLoad, ServiceLoad, Work, decode_fullness, short_hash,
};
use crate::cluster::groups::Member;
use crate::cluster::loads::Loads;
use crate::cluster::members::{Addresses, Members};
use policy::Hash;
use policy::distance::Topology;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The maximum number of peers that receive one datagram. With more peers they take turns.
/// Coordinators record all reservations, so other state may be older: 16 datagrams each 300 ms are
/// 12 KB per second, however many entries there are.
const MAX_RECIPIENTS: usize = 16;

/// How many of them are in the same failure domain if there are that many. Bytes between failure
/// domains are paid for.
const MAX_NEAR_RECIPIENTS: usize = 12;

/// The longest interval at which state is sent to a peer in another region because of the distance;
/// it is longer only where all peers take turns for that long. With half of the bytes between
/// regions, the state there is as old as that of a peer behind a small link.
const MAX_REMOTE_INTERVAL: Duration = Duration::from_millis(300);

/// How long the state of a peer is valid, multiplied by the number of rounds that it needs to send
/// to all others, up to [`MAX_STATE_ROUNDS`].
const STATE_TTL: Duration = Duration::from_millis(700);

/// For how long the demand that a peer has counted is remembered, so that what it adds later can be
/// told from what it had counted before.
const COUNTS_TTL: Duration = Duration::from_secs(60);

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

/// The peers that receive the next datagram.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Recipients {
    /// Their addresses.
    pub addresses: Vec<SocketAddr>,
    /// The number of peers whose turn it was, including those in other regions that get the next
    /// datagram instead.
    pub turns: usize,
}

/// When a peer in another region had its last turn, and when state was last sent to it.
#[derive(Debug, Clone, Copy)]
struct RemoteTurn {
    turn: Instant,
    sent: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    remote_turns: HashMap<SocketAddr, RemoteTurn>,
    /// The indexes of the first near and far address of the next round.
    next: (usize, usize),
    /// Peers whose state was received lately.
    peers: HashMap<u64, Peer>,
    /// How many of them have a valid state.
    valid: u32,
    totals: HashMap<u32, PeerLoad>,
    /// The demand at them by service, in the units of [`ServiceLoad`].
    demands: HashMap<u32, u64>,
    /// The sum of how full they are, as told in [`EntryState`].
    fullness: u64,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    received_at: Instant,
    /// Its work; none once its state is no longer valid.
    work: Option<Vec<(u32, PeerLoad)>>,
    loads: Vec<ServiceLoad>,
    fullness: u32,
}

impl Peers {
    /// Creates the peers of an entry that has not heard of any other, in these regions.
    pub fn new(topology: Topology) -> Self {
        Self { directory: Members::new(topology), inner: Mutex::default() }
    }

    /// Returns the work of the other entries at an engine.
    pub fn load_at(&self, engine: Hash) -> PeerLoad {
        self.lock().totals.get(&short_hash(engine)).copied().unwrap_or_default()
    }

    /// Returns how many requests for a service another entry serves at a time, on average over those
    /// whose state is known; `None` if there is none.
    pub fn mean_demand(&self, service: &str) -> Option<f64> {
        let inner = self.lock();
        let total = inner.demands.get(&short_hash(policy::hash(service))).copied();
        let demand = u32::try_from(total.unwrap_or_default()).unwrap_or(u32::MAX);
        let total = ServiceLoad { demand, ..ServiceLoad::default() }.demand();
        (inner.valid > 0).then(|| total / f64::from(inner.valid))
    }

    /// Returns how full the other entries are on average, of those whose state is known; `None` if
    /// there is none.
    pub fn mean_fullness(&self) -> Option<f64> {
        let inner = self.lock();
        (inner.valid > 0).then(|| decode_fullness(inner.fullness) / f64::from(inner.valid))
    }

    /// Returns the number of other entries whose work is currently known.
    pub fn reachable_count(&self) -> u32 {
        self.lock().valid
    }

    /// Returns whether another entry currently responds: its datagrams arrive, or, where the
    /// entries take turns, it acknowledges probes.
    pub fn is_reachable(&self, entry: Hash) -> bool {
        let takes_turns = self.directory.addresses().count() > MAX_RECIPIENTS;
        let is_valid = |peer: &Peer| peer.work.is_some();
        self.lock().peers.get(&entry).is_some_and(is_valid)
            || (takes_turns && self.directory.is_alive(entry))
    }

    /// Returns the live entries, including this one.
    pub fn members(&self) -> Arc<[Member]> {
        self.directory.snapshot()
    }

    /// Returns the peers whose turn it is to receive the next datagram; those in other regions only
    /// at every second turn. Drops the work of peers whose state was not renewed.
    pub fn recipients(&self, now: Instant) -> Recipients {
        let addresses = self.directory.addresses();
        let mut inner = self.lock();
        inner.expire(&addresses, now);
        inner.next_recipients(&addresses, now)
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
        let EntryState {
            entry, incarnation, sequence, work, loads: service_loads, fullness, ..
        } = state;
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
        self.invalidate(entry);
        let work = work.map(Work::rows).unwrap_or_default();
        for (engine, load) in &work {
            let total = self.totals.entry(*engine).or_default();
            total.prefill_tokens += load.prefill_tokens;
            total.streams += load.streams;
        }
        for load in &service_loads {
            *self.demands.entry(load.service).or_default() += u64::from(load.demand);
        }
        self.fullness += u64::from(fullness);
        self.valid += 1;
        let (work, loads) = (Some(work), service_loads);
        let received_at = now;
        self.peers
            .insert(entry, Peer { incarnation, sequence, received_at, work, loads, fullness });
        true
    }

    /// Drops the work of a peer, but not what it has counted.
    fn invalidate(&mut self, entry: u64) {
        let Some(peer) = self.peers.get_mut(&entry) else { return };
        let Some(work) = peer.work.take() else { return };
        self.valid -= 1;
        self.fullness = self.fullness.saturating_sub(peer.fullness.into());
        for load in &peer.loads {
            if let Some(total) = self.demands.get_mut(&load.service) {
                *total = total.saturating_sub(load.demand.into());
            }
        }
        for (engine, load) in work {
            if let Some(total) = self.totals.get_mut(&engine) {
                total.prefill_tokens = total.prefill_tokens.saturating_sub(load.prefill_tokens);
                total.streams = total.streams.saturating_sub(load.streams);
            }
        }
    }

    /// Returns the peers whose turn it is, and advances to the next round.
    fn next_recipients(&mut self, addresses: &Addresses, now: Instant) -> Recipients {
        let (near, far) = recipient_counts(addresses);
        let mut round = turn(&addresses.near, &mut self.next.0, near);
        round.extend(turn(&addresses.far, &mut self.next.1, far));
        let turns = round.len();
        round.retain(|address| {
            !addresses.other_regions.contains(address) || self.is_due(*address, now)
        });
        if self.remote_turns.len() > addresses.other_regions.len() {
            self.remote_turns.retain(|address, _| addresses.other_regions.contains(address));
        }
        Recipients { addresses: round, turns }
    }

    /// Returns whether state is sent to a peer in another region at this turn: after one that was
    /// skipped, or if the next turn would be too late.
    fn is_due(&mut self, address: SocketAddr, now: Instant) -> bool {
        let Some(known) = self.remote_turns.get_mut(&address) else {
            self.remote_turns.insert(address, RemoteTurn { turn: now, sent: now });
            return true;
        };
        let next = now + now.duration_since(known.turn);
        let was_skipped = known.sent < known.turn;
        let due = was_skipped || next.duration_since(known.sent) > MAX_REMOTE_INTERVAL;
        known.turn = now;
        if due {
            known.sent = now;
        }
        due
    }

    fn expire(&mut self, addresses: &Addresses, now: Instant) {
        let (near, far) = recipient_counts(addresses);
        let near_rounds = addresses.near.len().div_ceil(near.max(1));
        let far_rounds = addresses.far.len().div_ceil(far.max(1));
        let rounds = near_rounds.max(far_rounds).clamp(1, MAX_STATE_ROUNDS);
        let ttl = STATE_TTL * u32::try_from(rounds).unwrap_or(u32::MAX);
        let is_silent =
            |peer: &Peer| peer.work.is_some() && now.duration_since(peer.received_at) > ttl;
        let silent = self.peers.iter().filter(|(_, peer)| is_silent(peer));
        for entry in silent.map(|(entry, _)| *entry).collect::<Vec<u64>>() {
            self.invalidate(entry);
        }
        self.peers.retain(|_, peer| now.duration_since(peer.received_at) < COUNTS_TTL);
        self.totals.retain(|_, load| *load != PeerLoad::default());
        self.demands.retain(|_, demand| *demand > 0);
    }
}

/// How many recipients a datagram has in the same failure domain, and in others.
fn recipient_counts(addresses: &Addresses) -> (usize, usize) {
    let near = addresses.near.len().min(MAX_NEAR_RECIPIENTS);
    let far = addresses.far.len().min(MAX_RECIPIENTS - near);
    let near = addresses.near.len().min(MAX_RECIPIENTS - far);
    (near, far)
}

/// Takes the next `count` addresses in turn.
fn turn(addresses: &[SocketAddr], next: &mut usize, count: usize) -> Vec<SocketAddr> {
    let indexes = (*next..).take(count);
    let taken = indexes.filter_map(|at| addresses.get(at.checked_rem(addresses.len())?).copied());
    let taken = taken.collect();
    *next = (*next + count).checked_rem(addresses.len()).unwrap_or_default();
    taken
}
