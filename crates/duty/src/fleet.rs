//! A planner's view of the agents of its pool and of the entries.

use async_trait::async_trait;
use compact_str::CompactString;
use conf::Name;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use wire::{EntryStatus, Load};

/// An agent to observe.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Agent {
    /// The agent's target.
    pub target: Name,
    /// The agent's address, `host:port`.
    pub address: CompactString,
}

/// The last load received from a target's agent.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// The load.
    pub load: Load,
    /// When the load was received.
    pub received_at: Instant,
}

/// The last reports from the agents of the pool and from the entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observation {
    /// The last load of each target; targets whose agents have not answered yet are missing.
    pub targets: BTreeMap<Name, LoadReport>,
    /// The newest status of each entry that agents have received pings from.
    pub entries: BTreeMap<CompactString, EntryStatus>,
}

/// The highest age of a load that the planner relies on: three rounds of pings in a pool of 350
/// agents.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(30);

impl Observation {
    /// The load of a target, unless it is too old.
    pub fn fresh(&self, target: &str) -> Option<&Load> {
        let report = self
            .targets
            .get(target)
            .filter(|report| report.received_at.elapsed() <= MAX_REPORT_AGE);
        report.map(|report| &report.load)
    }

    /// Prompt and output tokens per second that callers offer at all entries together.
    pub fn offered(&self) -> (u64, u64) {
        self.entries.values().fold((0, 0), |(prompt, output), status| {
            (prompt + status.prompt_rate, output + status.output_rate)
        })
    }

    /// Records the status of an entry, if it is the newest one.
    pub fn record_entry(&mut self, status: EntryStatus) {
        let current = self.entries.get(status.entry.as_str());
        if current.is_none_or(|current| status.age_ms <= current.age_ms) {
            self.entries.insert(status.entry.as_str().into(), status);
        }
    }
}

/// The connections of a planner to the agents of its pool.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// Observes exactly these agents and returns their last reports; an empty list closes all
    /// connections.
    async fn observe(&self, agents: &[Agent]) -> Observation;
}
