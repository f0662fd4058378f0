//! Keeps in step what requests read: tables, candidates, connections, and what others are told.

use crate::daemon::Shared;
use crate::view::View;
use compact_str::CompactString;
use policy::drain::VmState;
use policy::subset::{self, Member};
use state::Config;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Rebuilds the tables after each change of the configuration until the task is dropped.
pub(crate) async fn follow(
    shared: Arc<Shared>,
    mut config: watch::Receiver<Arc<Config>>,
    views: watch::Sender<Arc<View>>,
) {
    loop {
        let current = config.borrow_and_update().clone();
        let view = Arc::new(View::new(&current, &shared.peers));
        shared.decisions.board.configure(&view, shared.decisions.now());
        views.send_replace(view.clone());
        let known = view.targets().map(|site| site.spec.agent.clone()).collect();
        shared.peers.keep(&subset_of(&shared, &view), &known);
        let end = view.end;
        shared.metrics.config_offset.set(i64::try_from(end).unwrap_or(i64::MAX));
        shared.peers.link().show(|sighting| sighting.config_offset = end);
        if config.changed().await.is_err() {
            return;
        }
    }
}

/// How often what changes with time alone is brought up to date.
const TICK: Duration = Duration::from_millis(500);

/// Brings up to date what changes with time, until the task is dropped.
pub(crate) async fn tick(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TICK).await;
        let decisions = &shared.decisions;
        decisions.board.set_vms(
            |target| {
                if shared.members.is_leaving(target) { VmState::Leaving } else { VmState::Unknown }
            },
            decisions.now(),
        );
        shared.peers.link().show(|sighting| decisions.tell(sighting));
    }
}

/// The agents to keep in touch with: all, or a subset once the fleet is large.
fn subset_of(shared: &Shared, view: &View) -> HashSet<CompactString> {
    let mut sites: Vec<_> = view.targets().collect();
    sites.sort_by(|a, b| a.name.cmp(&b.name));
    let members = sites.iter().map(|site| Member {
        target: policy::hash(&site.name),
        domain: policy::hash(&site.spec.domain),
    });
    let members: Vec<_> = members.collect();
    let entry = policy::hash(&shared.peers.link().name);
    let chosen = subset::choose(&subset::Settings::default(), entry, &members);
    chosen.into_iter().map(|at| sites[at].spec.agent.clone()).collect()
}
