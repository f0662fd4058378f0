//! What the administration API sees of its entry.

use async_trait::async_trait;
use compact_str::CompactString;
use plat::Offset;
use state::{Config, Registry, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Which of our programs a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessKind {
    /// An entry.
    Entry,
    /// The agent beside a target.
    Agent,
}

impl ProcessKind {
    /// The program's name.
    pub fn name(self) -> &'static str {
        match self {
            ProcessKind::Entry => "entry",
            ProcessKind::Agent => "agent",
        }
    }
}

/// A process of the fleet as it last told of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// Which program it is.
    pub kind: ProcessKind,
    /// The entry's name, or the name of the agent's target.
    pub name: CompactString,
    /// The offset up to which it has applied the `config` stream; none if it was not heard.
    pub config_offset: Option<Offset>,
    /// How long ago it said so.
    pub age: Option<Duration>,
    /// Whether the target takes new work.
    pub accepting: bool,
    /// The role that the engine has.
    pub role: CompactString,
    /// What the target serves.
    pub serves: Vec<CompactString>,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// The fleet around the entry.
#[async_trait]
pub trait Fleet: Send + Sync {
    /// All other processes, also configured ones that were not heard.
    async fn processes(&self) -> Vec<Process>;

    /// Where a recent request was sent and why, one line a step; none if this entry doesn't know.
    async fn explain(&self, request: &str) -> Option<Vec<String>>;

    /// The entry's metrics in Prometheus's text form.
    fn metrics(&self) -> String;
}

/// What the administration API sees of its entry.
#[derive(Clone)]
pub struct Context {
    /// The entry's name.
    pub name: CompactString,
    /// The configuration as far as the entry has applied it.
    pub config: watch::Receiver<Arc<Config>>,
    /// Claims and orders as far as the entry has applied them.
    pub system: watch::Receiver<Arc<System>>,
    /// Publishes resources.
    pub registry: Registry,
    /// The fleet.
    pub fleet: Arc<dyn Fleet>,
}
