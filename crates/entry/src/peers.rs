//! All agents that the entry knows, by address.

use crate::decisions::Decisions;
use crate::peer::Peer;
use crate::processes::Processes;
use crate::random::Random;
use compact_str::CompactString;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;
use tokio::task::AbortHandle;
use wire::{AttemptId, Dialler, Key, Sighting};

/// What all connections of an entry share.
pub(crate) struct PeerContext {
    pub(crate) dialler: Arc<dyn Dialler>,
    pub(crate) key: Key,
    pub(crate) name: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) random: Arc<Random>,
    pub(crate) decisions: Arc<Decisions>,
    pub(crate) processes: Processes,
    next_attempt: AtomicU64,
    sighting: RwLock<Sighting>,
    sightings_requested_at: Mutex<Option<Duration>>,
    persistent: AtomicUsize,
}

/// All agents.
pub(crate) struct Peers {
    context: Arc<PeerContext>,
    agents: RwLock<HashMap<CompactString, ConnectedPeer>>,
}

struct ConnectedPeer {
    peer: Arc<Peer>,
    task: AbortHandle,
}

impl PeerContext {
    /// Makes what the connections of the entry `name` share.
    pub(crate) fn new(
        dialler: Arc<dyn Dialler>,
        key: Key,
        name: CompactString,
        random: Arc<Random>,
        decisions: Arc<Decisions>,
    ) -> Self {
        let incarnation = random.number();
        let sighting = Sighting { entry: name.to_string(), incarnation, ..Sighting::default() };
        let (next_attempt, sighting) = (AtomicU64::new(1), RwLock::new(sighting));
        let (sightings_requested_at, persistent) = (Mutex::default(), AtomicUsize::new(0));
        Self {
            dialler,
            key,
            name,
            incarnation,
            random,
            decisions,
            processes: Processes::default(),
            next_attempt,
            sighting,
            sightings_requested_at,
            persistent,
        }
    }

    /// A fresh id. One counter serves all connections, so an id is never used again and a late
    /// frame can't be taken for one of a later attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// What the entry says of itself with each ping.
    pub(crate) fn sighting(&self) -> Sighting {
        /// Callers told about when there are many agents to tell.
        const MAX_USAGES: usize = 4;
        let mut sighting = self.sighting.read().unwrap_or_else(PoisonError::into_inner).clone();
        if self.has_many_agents() {
            sighting.usages.truncate(MAX_USAGES);
        }
        sighting
    }

    /// Whether an agent should be asked now which entries it hears from.
    pub(crate) fn take_sightings_due(&self) -> bool {
        /// Each answer holds some 36 sightings of up to 0.4 KB at the size to design for, so that
        /// one every five seconds stays under 3 KB/s.
        const INTERVAL: Duration = Duration::from_secs(5);
        let now = self.decisions.now();
        let mut sightings_requested_at =
            self.sightings_requested_at.lock().unwrap_or_else(PoisonError::into_inner);
        let due = sightings_requested_at.is_none_or(|sightings_requested_at| {
            now.saturating_sub(sightings_requested_at) >= INTERVAL
        });
        if due {
            *sightings_requested_at = Some(now);
        }
        due
    }

    /// Sets how many agents are kept in touch with.
    pub(crate) fn set_persistent_count(&self, persistent: usize) {
        self.persistent.store(persistent, Ordering::Relaxed);
    }

    /// How often an agent without open requests is pinged: its answers carry its load, so this
    /// bounds the load's age. With many agents it is longer, to stay under the 7 KB/s that control
    /// may cost: 48 agents every 4 s are 2.5 KB/s.
    pub(crate) fn ping_interval(&self) -> Duration {
        match self.has_many_agents() {
            true => Duration::from_secs(4),
            false => Duration::from_secs(1),
        }
    }

    fn has_many_agents(&self) -> bool {
        /// Agents up to which each is pinged every second with all that there is to tell.
        const FEW_AGENTS: usize = 24;
        self.persistent.load(Ordering::Relaxed) > FEW_AGENTS
    }

    /// Changes what the entry says of itself.
    pub(crate) fn update_sighting(&self, change: impl FnOnce(&mut Sighting)) {
        change(&mut self.sighting.write().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Peers {
    /// Makes the empty set.
    pub(crate) fn new(context: Arc<PeerContext>) -> Self {
        Self { context, agents: RwLock::default() }
    }

    /// What all connections share.
    pub(crate) fn context(&self) -> &Arc<PeerContext> {
        &self.context
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
        let known = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        known.get(address).map(|known| known.peer.clone())
    }

    /// Keeps connections to `kept`, lets others close once they have no work, and forgets those
    /// not in `configured` that are closed.
    pub(crate) fn update_persistent(
        &self,
        persistent: &HashSet<CompactString>,
        configured: &HashSet<CompactString>,
    ) {
        self.context.set_persistent_count(persistent.len());
        for address in persistent {
            if self.find(address).is_none() {
                self.add(address, true);
            }
        }
        let mut known = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        known.retain(|address, known| {
            known.peer.set_persistent(persistent.contains(address));
            let retained = configured.contains(address) || known.peer.is_connected();
            if !retained {
                known.task.abort();
            }
            retained
        });
    }

    fn add(&self, address: &CompactString, persistent: bool) -> Arc<Peer> {
        let mut known = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        let known = known.entry(address.clone()).or_insert_with(|| {
            let peer = Arc::new(Peer::new(address.clone(), persistent));
            let task = tokio::spawn(peer.clone().run(self.context.clone())).abort_handle();
            ConnectedPeer { peer, task }
        });
        known.peer.clone()
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        let known = self.agents.get_mut().unwrap_or_else(PoisonError::into_inner);
        known.values().for_each(|known| known.task.abort());
    }
}
