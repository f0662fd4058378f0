//! Keeps shared state current: index, target table, connections, and the status sent to agents.

use crate::daemon::Shared;
use crate::view::ConfigView;
use compact_str::CompactString;
use policy::drain::VmState;
use policy::subset::{self, Member};
use state::Config;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Applies each change of the configuration until the task is dropped.
pub(crate) async fn follow_config(
    shared: Arc<Shared>,
    mut config: watch::Receiver<Arc<Config>>,
    views: watch::Sender<Arc<ConfigView>>,
) {
    loop {
        let current = config.borrow_and_update().clone();
        let view = Arc::new(ConfigView::new(&current, &shared.peers));
        shared.decisions.targets.apply_config(&view, shared.decisions.now());
        views.send_replace(view.clone());
        let configured = view.targets().map(|target| target.spec.agent.clone()).collect();
        shared.peers.update_persistent(&connection_subset(&shared, &view), &configured);
        let end = view.end;
        shared.metrics.config_offset.set(i64::try_from(end).unwrap_or(i64::MAX));
        shared.peers.context().update_entry_status(|status| status.config_offset = end);
        if config.changed().await.is_err() {
            return;
        }
    }
}

/// Interval between updates of time-dependent state.
const INTERVAL: Duration = Duration::from_millis(500);

/// Updates time-dependent state until the task is dropped.
pub(crate) async fn run_periodic(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        let decisions = &shared.decisions;
        decisions.targets.set_vms(
            |target| {
                if shared.members.is_leaving(target) { VmState::Leaving } else { VmState::Unknown }
            },
            decisions.now(),
        );
        shared.peers.context().update_entry_status(|status| decisions.report_demand(status));
    }
}

/// Returns the agents to stay connected to: all of them, or a subset in a large fleet.
fn connection_subset(shared: &Shared, view: &ConfigView) -> HashSet<CompactString> {
    let mut targets: Vec<_> = view.targets().collect();
    targets.sort_by(|a, b| a.name.cmp(&b.name));
    let members = targets.iter().map(|target| Member {
        target: policy::hash(&target.name),
        domain: policy::hash(&target.spec.domain),
    });
    let members: Vec<_> = members.collect();
    let entry = policy::hash(&shared.peers.context().name);
    let indexes = subset::choose(&subset::Settings::default(), entry, &members);
    indexes.into_iter().map(|index| targets[index].spec.agent.clone()).collect()
}
