//! The part of an entry that the administration API uses.

use async_trait::async_trait;
use compact_str::CompactString;
use plat::Offset;
use state::{Config, Registry, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The kind of a process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessKind {
    /// An entry.
    Entry,
    /// The agent of a target.
    Agent,
}

impl ProcessKind {
    /// The name of the kind.
    pub fn name(self) -> &'static str {
        match self {
            ProcessKind::Entry => "entry",
            ProcessKind::Agent => "agent",
        }
    }
}

/// A process of the fleet, as it last reported its status.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Its kind.
    pub kind: ProcessKind,
    /// The entry's name, or the name of the agent's target.
    pub name: CompactString,
    /// The offset up to which it has applied the `config` stream; none if it has not reported.
    pub config_offset: Option<Offset>,
    /// Age of that report.
    pub age: Option<Duration>,
    /// Whether the target accepts new work.
    pub accepting: bool,
    /// The engine's current role.
    pub role: CompactString,
    /// The names that the target serves.
    pub serves: Vec<CompactString>,
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that wait for the target.
    pub waiting: u32,
}

/// The entry's view of the fleet.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// All processes, including configured ones that have not reported.
    async fn processes(&self) -> Vec<Process>;

    /// Where a recent request was sent and why, one line per step; none if this entry has no record
    /// of it.
    async fn explain(&self, request: &str) -> Option<Vec<String>>;

    /// The entry's metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// The part of an entry that the administration API uses.
#[derive(Clone)]
pub struct Context {
    /// The entry's name.
    pub name: CompactString,
    /// The configuration that the entry has applied.
    pub config: watch::Receiver<Arc<Config>>,
    /// The claims and orders that the entry has applied.
    pub system: watch::Receiver<Arc<System>>,
    /// Publishes resources.
    pub registry: Registry,
    /// The fleet.
    pub fleet: Arc<dyn Fleet>,
}
