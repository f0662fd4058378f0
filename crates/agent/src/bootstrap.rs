//! Gets the folded state from other agents while the log does not give it.
//!
//! A VM that is replaced during an outage of the log would otherwise not know its own target.

use crate::peer;
use crate::shared::Shared;
use bytes::Bytes;
use compact_str::CompactString;
use state::{Config, Health, Snapshot, Snapshots, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use wire::AskKind;

/// How long to wait for one agent.
const ASK_TIME: Duration = Duration::from_secs(1);

/// How often agents are asked while the log gives nothing.
const EVERY: Duration = Duration::from_secs(1);

/// The state counts as current if the log showed it to be complete this recently.
const FRESH: Duration = Duration::from_secs(10);

/// What takes the states of other agents in.
pub(crate) struct Bootstrap {
    pub(crate) shared: Arc<Shared>,
    /// Addresses from the settings, for an agent that knows nothing yet.
    pub(crate) peers: Vec<CompactString>,
    pub(crate) health: watch::Receiver<Health>,
    pub(crate) config: mpsc::Sender<Config>,
    pub(crate) system: mpsc::Sender<System>,
}

impl Bootstrap {
    /// Asks one agent after the other as long as the log does not show the state.
    pub(crate) async fn run(self) {
        for turn in 0.. {
            tokio::time::sleep(EVERY).await;
            if self.health.borrow().is_fresh(FRESH) {
                continue;
            }
            let all = self.agents();
            if let Some(address) = all.get(turn % all.len().max(1)) {
                self.ask(address).await;
            }
        }
    }

    fn agents(&self) -> Vec<CompactString> {
        let config = self.shared.config.borrow();
        let others = config.targets().filter(|(name, _)| **name != self.shared.target);
        let mut all: Vec<_> = others.map(|(_, target)| target.agent.clone()).collect();
        all.extend(self.peers.iter().cloned());
        all.sort();
        all.dedup();
        all
    }

    async fn ask(&self, address: &CompactString) {
        let asking = peer::ask(&self.shared, address, AskKind::Snapshot, Bytes::new());
        let Ok(Ok(reply)) = tokio::time::timeout(ASK_TIME, asking).await else { return };
        let Ok(snapshots) = Snapshots::read(address, &reply) else {
            return log::warn!(peer = address.as_str(); "state-unreadable");
        };
        if let Some(Ok(config)) = snapshots.open::<Config>(plat::CONFIG_STREAM) {
            // A full queue holds states that are as good.
            let _ = self.config.try_send(config);
        }
        if let Some(Ok(system)) = snapshots.open::<System>(plat::SYSTEM_STREAM) {
            let _ = self.system.try_send(system);
        }
    }
}

/// The folded state for a peer that asks.
pub(crate) fn snapshot(shared: &Shared) -> Bytes {
    let config = Snapshot::of(plat::CONFIG_STREAM, &**shared.config.borrow());
    let system = Snapshot::of(plat::SYSTEM_STREAM, &**shared.system.borrow());
    Snapshots { all: vec![config, system] }.bytes()
}
