//! Tracks how far the other processes have applied the configuration, as they report it.
//!
//! Agents report it with their load, entries through the agents that they are connected to.
//! Operators use it to see whether a change is in force everywhere, and which process lags.

use compact_str::{CompactString, ToCompactString};
use plat::Offset;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use wire::{EntryStatus, Load};

/// The last reported status of another process.
#[derive(Debug, Clone, PartialEq)]
pub struct ProcessStatus {
    /// The entry's name, or the name of the agent's target.
    pub name: CompactString,
    /// The offset up to which it has applied the `config` stream.
    pub config_offset: Offset,
    /// Time since the report.
    pub age: Duration,
    /// The target's load, if it is an agent.
    pub load: Option<Load>,
}

/// The last reported status of each other process.
#[derive(Default)]
pub(crate) struct Processes {
    agents: Mutex<HashMap<CompactString, (Load, Instant)>>,
    entries: Mutex<HashMap<CompactString, (Offset, Instant)>>,
}

/// Time without a report after which an entry is considered gone; it covers several rounds of
/// queries to agents.
const ENTRY_EXPIRY: Duration = Duration::from_secs(20);

impl Processes {
    /// Records the load reported by the agent at `address`.
    pub(crate) fn observe_agent(&self, address: &CompactString, load: &Load) {
        let mut agents = self.agents();
        match agents.get_mut(address) {
            Some(reported) => *reported = (load.clone(), Instant::now()),
            None => {
                agents.insert(address.clone(), (load.clone(), Instant::now()));
            }
        }
    }

    /// Records the entries reported by an agent.
    pub(crate) fn observe_entries(&self, statuses: &[EntryStatus]) {
        let now = Instant::now();
        let mut entries = self.entries();
        for status in statuses {
            let age = Duration::from_millis(status.age_ms);
            let at = now.checked_sub(age).unwrap_or(now);
            let reported = (status.config_offset, at);
            let known = entries.entry(status.entry.to_compact_string()).or_insert(reported);
            // Several agents report the same entry; an older report must not replace a newer one.
            if at >= known.1 {
                *known = reported;
            }
        }
    }

    /// Returns the last reported status of the agent at `address`.
    pub(crate) fn agent(&self, target: &str, address: &CompactString) -> Option<ProcessStatus> {
        let agents = self.agents();
        let (load, at) = agents.get(address)?;
        Some(ProcessStatus {
            name: target.into(),
            config_offset: load.config_offset,
            age: at.elapsed(),
            load: Some(load.clone()),
        })
    }

    /// Returns the entries that were seen recently.
    pub(crate) fn recent_entries(&self) -> Vec<ProcessStatus> {
        let mut entries = self.entries();
        entries.retain(|_, (_, at)| at.elapsed() < ENTRY_EXPIRY);
        let reported = entries.iter().map(|(name, (offset, at))| ProcessStatus {
            name: name.clone(),
            config_offset: *offset,
            age: at.elapsed(),
            load: None,
        });
        reported.collect()
    }

    fn agents(&self) -> MutexGuard<'_, HashMap<CompactString, (Load, Instant)>> {
        self.agents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn entries(&self) -> MutexGuard<'_, HashMap<CompactString, (Offset, Instant)>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
