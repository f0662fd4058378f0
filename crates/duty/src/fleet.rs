//! How a planner sees the agents of its pool and the entries.

use async_trait::async_trait;
use compact_str::CompactString;
use conf::Name;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;
use wire::{EntryStatus, Load};

/// An agent to be observed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Agent {
    /// Its target.
    pub target: Name,
    /// Its address, `host:port`.
    pub address: CompactString,
}

/// What was last seen of a target.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// Its load.
    pub load: Load,
    /// When it was received.
    pub at: Instant,
}

/// What was last seen of the pool and of the entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observation {
    /// What each agent said of its target; those never reached are left out.
    pub targets: BTreeMap<Name, Seen>,
    /// The entries that agents have heard from, each by its newest sighting.
    pub entries: BTreeMap<CompactString, EntryStatus>,
}

/// How old a load may be to be acted on: three rounds of pings of a pool of 350 agents.
pub const STALE: Duration = Duration::from_secs(30);

impl Observation {
    /// What a target's agent said lately.
    pub fn fresh(&self, target: &str) -> Option<&Load> {
        let seen = self.targets.get(target).filter(|seen| seen.at.elapsed() <= STALE);
        seen.map(|seen| &seen.load)
    }

    /// Prompt and output tokens a second that callers offer at all entries together.
    pub fn offered(&self) -> (u64, u64) {
        self.entries.values().fold((0, 0), |(prompt, output), sighting| {
            (prompt + sighting.prompt_rate, output + sighting.output_rate)
        })
    }

    /// Takes a sighting in, if it is the newest of its entry.
    pub fn sight(&mut self, sighting: EntryStatus) {
        let known = self.entries.get(sighting.entry.as_str());
        if known.is_none_or(|known| sighting.age_ms <= known.age_ms) {
            self.entries.insert(sighting.entry.as_str().into(), sighting);
        }
    }
}

/// The agents of a pool, as a planner reaches them.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// Keeps to these agents, and returns what was last seen of them; none ends all connections.
    async fn observe(&self, agents: &[Agent]) -> Observation;
}
