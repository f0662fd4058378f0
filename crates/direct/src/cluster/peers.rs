//! What is known of the other entries: where they are, and the work that they told of.

use crate::cluster::entry_state::{EntryState, Others, ServiceLoad, Work, short_hash};
use crate::cluster::groups::Member;
use crate::cluster::loads::Loads;
use policy::Hash;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Peers that are sent one datagram; with more, they take turns, but for those whom entries that read
/// the log for all have to tell so. Coordinators know what is booked, so the rest may be as old as it
/// takes: 16 datagrams each 300 ms are 12 KB a second, however many entries there are.
const AT_ONCE: usize = 16;

/// What a peer said counts for this long, for each round in which it tells all others.
const FRESH: Duration = Duration::from_millis(700);

/// What is known of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    addresses: Vec<SocketAddr>,
    /// Where among them the next turn begins.
    told: usize,
    members: Arc<[Member]>,
    heard: HashMap<u64, Peer>,
    totals: HashMap<u32, Others>,
}

#[derive(Debug)]
struct Peer {
    run: u64,
    sequence: u64,
    at: Instant,
    work: Vec<(u32, Others)>,
    loads: Vec<ServiceLoad>,
}

impl Peers {
    /// The other entries' work at an engine.
    pub fn load_at(&self, engine: Hash) -> Others {
        self.lock().totals.get(&short_hash(engine)).copied().unwrap_or_default()
    }

    /// How many other entries were heard lately.
    pub fn reachable_count(&self) -> u32 {
        u32::try_from(self.lock().heard.len()).unwrap_or(u32::MAX)
    }

    /// Whether another entry was heard lately.
    pub fn is_reachable(&self, entry: Hash) -> bool {
        self.lock().heard.contains_key(&entry)
    }

    /// Takes in which entries live and where they are, this one included.
    pub fn set_members(&self, mut members: Vec<Member>) {
        members.sort_by_key(|member| member.key);
        let mut inner = self.lock();
        inner.addresses = members.iter().filter_map(|member| member.address).collect();
        if *inner.members != *members {
            inner.members = members.into();
        }
    }

    /// The entries that live, this one included.
    pub fn members(&self) -> Arc<[Member]> {
        self.lock().members.clone()
    }

    /// The entries to be told now: `all`, or those whose turn it is. What silent ones said expires.
    pub fn turn(&self, all: bool, now: Instant) -> Vec<SocketAddr> {
        let mut inner = self.lock();
        inner.expire(now);
        if all { inner.addresses.clone() } else { inner.next() }
    }

    /// Whether an entry lives at this address.
    pub fn is_known(&self, ip: IpAddr) -> bool {
        self.lock().addresses.iter().any(|address| address.ip() == ip)
    }

    /// Takes in an entry's state; `false` if a newer one is known.
    pub fn observe(&self, state: EntryState, loads: &Loads, now: Instant) -> bool {
        self.lock().hear(state, loads, now)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Takes in a peer's state; `false` if a newer one is known.
    fn hear(&mut self, state: EntryState, loads: &Loads, now: Instant) -> bool {
        let EntryState { entry, run, sequence, work, loads: told, .. } = state;
        let known = self.heard.get(&entry);
        if known.is_some_and(|peer| peer.run == run && peer.sequence >= sequence) {
            return false;
        }
        let before = known.filter(|peer| peer.run == run).map(|peer| &*peer.loads);
        for load in &told {
            let before = before.and_then(|rows| rows.iter().find(|b| b.service == load.service));
            loads.observe(before, load);
        }
        self.forget(entry);
        let work = work.map(Work::rows).unwrap_or_default();
        for (engine, others) in &work {
            let total = self.totals.entry(*engine).or_default();
            total.prefill_tokens += others.prefill_tokens;
            total.streams += others.streams;
        }
        self.heard.insert(entry, Peer { run, sequence, at: now, work, loads: told });
        true
    }

    fn forget(&mut self, entry: u64) {
        let Some(peer) = self.heard.remove(&entry) else { return };
        for (engine, others) in peer.work {
            if let Some(total) = self.totals.get_mut(&engine) {
                total.prefill_tokens = total.prefill_tokens.saturating_sub(others.prefill_tokens);
                total.streams = total.streams.saturating_sub(others.streams);
            }
        }
    }

    /// The peers whose turn it is to be told.
    fn next(&mut self) -> Vec<SocketAddr> {
        let all = self.addresses.len();
        let turn = self.addresses.iter().cycle().skip(self.told).take(all.min(AT_ONCE));
        let turn = turn.copied().collect();
        self.told = (self.told + AT_ONCE).checked_rem(all).unwrap_or_default();
        turn
    }

    fn expire(&mut self, now: Instant) {
        let rounds = self.addresses.len().div_ceil(AT_ONCE).max(1);
        let fresh = FRESH * u32::try_from(rounds).unwrap_or(u32::MAX);
        let silent = self.heard.iter().filter(|(_, peer)| now.duration_since(peer.at) > fresh);
        let silent: Vec<u64> = silent.map(|(entry, _)| *entry).collect();
        for entry in silent {
            log::info!(target: "peers", entry; "entry silent");
            self.forget(entry);
        }
        self.totals.retain(|_, others| *others != Others::default());
    }
}
