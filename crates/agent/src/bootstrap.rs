//! Fetches state snapshots from other agents while the log is unavailable.
//!
//! Otherwise an agent on a VM that is replaced during an outage of the log would have no
//! configuration of its own target.

use crate::peer;
use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use state::{Config, Health, Snapshot, Snapshots, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use wire::QueryKind;

/// How long to wait for the reply of one agent.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between queries to agents while the log is unavailable.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// The state counts as current if it was complete up to the end of the log this recently.
const MAX_LOG_AGE: Duration = Duration::from_secs(10);

/// Passes the state of other agents to the followers of the log.
pub(crate) struct Bootstrap {
    pub(crate) shared: Arc<Shared>,
    /// Addresses of agents from the settings, for use before any configuration is read.
    pub(crate) peers: Vec<CompactString>,
    pub(crate) health: watch::Receiver<Health>,
    pub(crate) config: mpsc::Sender<Config>,
    pub(crate) system: mpsc::Sender<System>,
}

impl Bootstrap {
    /// Requests a snapshot from one agent after the other while the state from the log is not
    /// current.
    pub(crate) async fn run(self) {
        for round in 0.. {
            tokio::time::sleep(QUERY_INTERVAL).await;
            if self.health.borrow().is_fresh(MAX_LOG_AGE) {
                continue;
            }
            let addresses = self.addresses();
            if let Some(address) = addresses.get(round % addresses.len().max(1)) {
                self.query(address).await;
            }
        }
    }

    fn addresses(&self) -> Vec<CompactString> {
        let config = self.shared.config.borrow();
        let others = config.targets().filter(|(name, _)| **name != self.shared.target);
        let mut addresses: Vec<_> = others.map(|(_, target)| target.agent.clone()).collect();
        addresses.extend(self.peers.iter().cloned());
        addresses.sort();
        addresses.dedup();
        addresses
    }

    async fn query(&self, address: &CompactString) {
        let query = peer::query(&self.shared, address, QueryKind::Snapshot, Bytes::new());
        let Ok(Ok(reply)) = tokio::time::timeout(QUERY_TIMEOUT, query).await else { return };
        let Ok(snapshots) = Snapshots::read(address, &reply) else {
            return log::warn!(peer = address.as_str(); "state-unreadable");
        };
        if let Some(Ok(config)) = snapshots.open::<Config>(plat::CONFIG_STREAM) {
            // If the queue is full, it already holds states from other agents.
            let _ = self.config.try_send(config);
        }
        if let Some(Ok(system)) = snapshots.open::<System>(plat::SYSTEM_STREAM) {
            let _ = self.system.try_send(system);
        }
    }
}

/// Returns the state as a snapshot for a peer.
pub(crate) fn snapshot(shared: &Shared) -> Bytes {
    let config = Snapshot::of(plat::CONFIG_STREAM, &**shared.config.borrow());
    let system = Snapshot::of(plat::SYSTEM_STREAM, &**shared.system.borrow());
    Snapshots { all: vec![config, system] }.bytes()
}
