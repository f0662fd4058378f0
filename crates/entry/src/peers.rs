//! The agents that the entry connects to, by address.

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
use wire::{AttemptId, Dialler, EntryStatus, Key};

/// State shared by all connections of an entry.
pub(crate) struct PeerContext {
    pub(crate) dialler: Arc<dyn Dialler>,
    pub(crate) key: Key,
    pub(crate) name: CompactString,
    pub(crate) incarnation: u64,
    pub(crate) random: Arc<Random>,
    pub(crate) decisions: Arc<Decisions>,
    pub(crate) processes: Processes,
    next_attempt: AtomicU64,
    entry_status: RwLock<EntryStatus>,
    entry_statuses_requested_at: Mutex<Option<Duration>>,
    persistent_count: AtomicUsize,
}

/// All known agents.
pub(crate) struct Peers {
    context: Arc<PeerContext>,
    agents: RwLock<HashMap<CompactString, PeerTask>>,
}

struct PeerTask {
    peer: Arc<Peer>,
    task: AbortHandle,
}

impl PeerContext {
    /// Creates the state shared by the connections of the entry `name`.
    pub(crate) fn new(
        dialler: Arc<dyn Dialler>,
        key: Key,
        name: CompactString,
        random: Arc<Random>,
        decisions: Arc<Decisions>,
    ) -> Self {
        let incarnation = random.number();
        let entry_status =
            EntryStatus { entry: name.to_string(), incarnation, ..EntryStatus::default() };
        let (next_attempt, entry_status) = (AtomicU64::new(1), RwLock::new(entry_status));
        let (entry_statuses_requested_at, persistent_count) =
            (Mutex::default(), AtomicUsize::new(0));
        Self {
            dialler,
            key,
            name,
            incarnation,
            random,
            decisions,
            processes: Processes::default(),
            next_attempt,
            entry_status,
            entry_statuses_requested_at,
            persistent_count,
        }
    }

    /// Returns a new attempt id. Ids are unique over all connections, so that a late frame can't be
    /// mistaken for one of a later attempt.
    pub(crate) fn next_attempt(&self) -> AttemptId {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the entry's status as sent with each ping.
    pub(crate) fn entry_status(&self) -> EntryStatus {
        /// Maximum number of callers whose usage is reported to each of many agents.
        const MAX_USAGES: usize = 4;
        let mut entry_status =
            self.entry_status.read().unwrap_or_else(PoisonError::into_inner).clone();
        if self.has_many_agents() {
            entry_status.usages.truncate(MAX_USAGES);
        }
        entry_status
    }

    /// Returns whether to request an agent's view of the other entries now, and records the request
    /// if so.
    pub(crate) fn take_entry_statuses_due(&self) -> bool {
        /// Each response has about 36 entry statuses of up to 0.4 KB at the design size; one every
        /// five seconds stays below 3 KB/s.
        const INTERVAL: Duration = Duration::from_secs(5);
        let now = self.decisions.now();
        let mut requested_at =
            self.entry_statuses_requested_at.lock().unwrap_or_else(PoisonError::into_inner);
        let due =
            requested_at.is_none_or(|requested_at| now.saturating_sub(requested_at) >= INTERVAL);
        if due {
            *requested_at = Some(now);
        }
        due
    }

    /// Sets the number of persistent connections.
    pub(crate) fn set_persistent_count(&self, count: usize) {
        self.persistent_count.store(count, Ordering::Relaxed);
    }

    /// Returns the interval between pings to an agent without open requests. Responses carry the
    /// agent's load, so the interval bounds the load's age. It is longer with many agents, so that
    /// control traffic stays below 7 KB/s: 48 agents every 4 s are 2.5 KB/s.
    pub(crate) fn ping_interval(&self) -> Duration {
        match self.has_many_agents() {
            true => Duration::from_secs(4),
            false => Duration::from_secs(1),
        }
    }

    fn has_many_agents(&self) -> bool {
        /// Maximum number of agents that are each pinged every second with the complete status.
        const FEW_AGENTS: usize = 24;
        self.persistent_count.load(Ordering::Relaxed) > FEW_AGENTS
    }

    /// Modifies the entry's status.
    pub(crate) fn update_entry_status(&self, change: impl FnOnce(&mut EntryStatus)) {
        change(&mut self.entry_status.write().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Peers {
    /// Creates an empty set.
    pub(crate) fn new(context: Arc<PeerContext>) -> Self {
        Self { context, agents: RwLock::default() }
    }

    /// Returns the state shared by all connections.
    pub(crate) fn context(&self) -> &Arc<PeerContext> {
        &self.context
    }

    /// Returns the agent at `address`, and starts its connection task if there is none.
    pub(crate) fn get(&self, address: &CompactString) -> Arc<Peer> {
        if let Some(peer) = self.find(address) {
            return peer;
        }
        self.add(address, false)
    }

    /// Returns the agent at `address` if it is known.
    pub(crate) fn find(&self, address: &CompactString) -> Option<Arc<Peer>> {
        let known = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        known.get(address).map(|known| known.peer.clone())
    }

    /// Keeps the connections to `persistent` open and lets others close when idle. Removes agents
    /// that are neither in `configured` nor connected.
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
            PeerTask { peer, task }
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
