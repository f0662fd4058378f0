//! Gets the folded state from agents while the log does not give it.
//!
//! What could go wrong: an entry is replaced while the log is out, and has nothing to serve with
//! for hours. Agents hold the same folded state; the one that goes furthest is taken, and what is
//! taken never goes backwards, since followers refuse an older state than their own.

use crate::daemon::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use state::{Config, Health, Snapshots, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use wire::AskKind;

/// How long to wait for one agent.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);

/// How often agents are asked while the log gives nothing.
const INTERVAL: Duration = Duration::from_millis(500);

/// The state counts as current if the log showed it to be complete this recently; a read waits up
/// to two seconds for news.
const MAX_STATE_AGE: Duration = Duration::from_secs(10);

/// How many agents are asked at a time.
const MAX_AGENTS: usize = 4;

/// What takes the states of agents in.
pub(crate) struct Bootstrap {
    pub(crate) shared: Arc<Shared>,
    /// Addresses from the settings, for an entry that knows nothing yet.
    pub(crate) peers: Vec<CompactString>,
    pub(crate) health: watch::Receiver<Health>,
    pub(crate) config: mpsc::Sender<Config>,
    pub(crate) system: mpsc::Sender<System>,
}

impl Bootstrap {
    /// Asks agents until the task is dropped, as long as the log does not show the state.
    pub(crate) async fn run(self) {
        let mut offset = 0;
        loop {
            if !self.health.borrow().is_fresh(MAX_STATE_AGE) {
                let agents = self.select_agents(offset);
                let requests = agents.iter().map(|address| self.fetch_state(address));
                futures_util::future::join_all(requests).await;
                offset += MAX_AGENTS;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Some of the agents known, other ones each turn.
    fn select_agents(&self, offset: usize) -> Vec<CompactString> {
        let view = self.shared.view.borrow().clone();
        let mut all: Vec<_> = view.targets().map(|target| target.spec.agent.clone()).collect();
        all.extend(self.peers.iter().cloned());
        all.sort();
        all.dedup();
        let count = all.len();
        all.into_iter().cycle().skip(offset % count.max(1)).take(MAX_AGENTS.min(count)).collect()
    }

    async fn fetch_state(&self, address: &CompactString) {
        let peer = self.shared.peers.get(address);
        let request = async {
            let session = peer.session(AGENT_TIMEOUT).await?;
            session.ask(AskKind::Snapshot, Bytes::new()).await
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
            // A full queue holds states that are as good.
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
