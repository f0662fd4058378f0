//! Fetches state snapshots from agents while the log is unavailable.
//!
//! An entry that is replaced during a log outage would otherwise have no configuration, possibly
//! for hours. Agents hold the same state; the snapshot with the highest offset is applied. State
//! never goes backwards, because followers refuse a snapshot that is older than their own state.

use crate::daemon::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use state::{Config, Health, Snapshots, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use wire::QueryKind;

/// Maximum time to wait for one agent.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between rounds of queries while the state is not current.
const INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time since the log last showed the state to be complete for it to count as current. A
/// read waits up to two seconds for new records.
const MAX_STATE_AGE: Duration = Duration::from_secs(10);

/// Number of agents queried per round.
const AGENTS_PER_ROUND: usize = 4;

/// Receives snapshots of agents and passes them to the followers.
pub(crate) struct Bootstrap {
    pub(crate) shared: Arc<Shared>,
    /// Addresses of agents from the settings, for an entry without a configuration.
    pub(crate) peers: Vec<CompactString>,
    pub(crate) health: watch::Receiver<Health>,
    pub(crate) config: mpsc::Sender<Config>,
    pub(crate) system: mpsc::Sender<System>,
}

impl Bootstrap {
    /// Queries agents while the state is not current, until the task is dropped.
    pub(crate) async fn run(self) {
        let mut offset = 0;
        loop {
            if !self.health.borrow().is_fresh(MAX_STATE_AGE) {
                let agents = self.select_agents(offset);
                let requests = agents.iter().map(|address| self.fetch_state(address));
                futures_util::future::join_all(requests).await;
                offset += AGENTS_PER_ROUND;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Returns the agents to query in this round; each round continues where the last one ended.
    fn select_agents(&self, offset: usize) -> Vec<CompactString> {
        let view = self.shared.view.borrow().clone();
        let mut all: Vec<_> = view.targets().map(|target| target.spec.agent.clone()).collect();
        all.extend(self.peers.iter().cloned());
        all.sort();
        all.dedup();
        let count = all.len();
        all.into_iter()
            .cycle()
            .skip(offset % count.max(1))
            .take(AGENTS_PER_ROUND.min(count))
            .collect()
    }

    async fn fetch_state(&self, address: &CompactString) {
        let peer = self.shared.peers.get(address);
        let request = async {
            let session = peer.session(AGENT_TIMEOUT).await?;
            session.query(QueryKind::Snapshot, Bytes::new()).await
        };
        let reply = tokio::time::timeout(AGENT_TIMEOUT, request).await.ok().flatten();
        let Some(reply) = reply.filter(|reply| !reply.is_empty()) else { return };
        match Snapshots::read(address, &reply) {
            Ok(snapshots) => self.offer(address, &snapshots),
            Err(error) => log::warn!(peer = address.as_str(), error:% = error; "state-unreadable"),
        }
    }

    fn offer(&self, address: &str, snapshots: &Snapshots) {
        let unreadable = |error: state::Error| {
            log::warn!(peer = address, error:% = error; "state-unreadable");
        };
        match snapshots.open::<Config>(plat::CONFIG_STREAM) {
            // If the queue is full, it holds snapshots that serve as well.
            Some(Ok(config)) => drop(self.config.try_send(config)),
            Some(Err(error)) => unreadable(error),
            None => {}
        }
        match snapshots.open::<System>(plat::SYSTEM_STREAM) {
            Some(Ok(system)) => drop(self.system.try_send(system)),
            Some(Err(error)) => unreadable(error),
            None => {}
        }
    }
}
