//! Keeps the tables for requests, and the connections to agents, in step with the configuration.

use crate::daemon::Shared;
use crate::view::View;
use state::Config;
use std::collections::HashSet;
use std::sync::Arc;
use tokio::sync::watch;

/// Rebuilds the tables after each change until the task is dropped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut config: watch::Receiver<Arc<Config>>,
    views: watch::Sender<Arc<View>>,
) {
    loop {
        let current = config.borrow_and_update().clone();
        let view = View::new(&current, &shared.peers);
        let kept: HashSet<_> = view.targets().map(|site| site.spec.agent.clone()).collect();
        shared.peers.keep(&kept);
        let end = view.end;
        views.send_replace(Arc::new(view));
        shared.metrics.config_offset.set(i64::try_from(end).unwrap_or(i64::MAX));
        shared.peers.link().show(|sighting| sighting.config_offset = end);
        if config.changed().await.is_err() {
            return;
        }
    }
}
