//! The planner's duty, which the agents of a pool share among themselves.

use crate::shared::Shared;
use compact_str::CompactString;
use conf::resource::Phase;
use duty::{Context, Dial, Followed, Planner, Roles};
use policy::{hash, mix};
use std::sync::Arc;
use std::time::Duration;

/// How many agents of a pool stand ready to plan for it. All 700 would race for the claim when a
/// planner falls silent; five of them, chosen by hash, hardly fail together.
const CANDIDATES: usize = 5;

/// How often an agent looks whether it is a candidate.
const EVERY: Duration = Duration::from_secs(2);

/// Stands ready to plan while this agent is a candidate, until it stops and has given up what it
/// holds.
pub(crate) async fn stand_ready(shared: Arc<Shared>) {
    while !shared.stop.is_cancelled() {
        if let Some(pool) = candidate_for(&shared) {
            let ended = shared.stop.child_token();
            let mut planning = std::pin::pin!(planner(&shared, pool.clone()).run(ended.clone()));
            tokio::select! {
                () = &mut planning => {}
                () = no_longer(&shared, &pool) => {
                    ended.cancel();
                    planning.await;
                }
            }
        }
        shared.stop.run_until_cancelled(tokio::time::sleep(EVERY)).await;
    }
}

/// The pool that this agent is a candidate to plan for.
fn candidate_for(shared: &Shared) -> Option<CompactString> {
    let pool = shared.resource().filter(|target| target.phase == Phase::Active)?.pool;
    let config = shared.config.borrow();
    let members =
        config.targets().filter(|(_, target)| target.pool == pool && target.phase == Phase::Active);
    let mut ranked: Vec<_> =
        members.map(|(name, _)| (mix(hash(&pool), hash(name)), name.clone())).collect();
    ranked.sort();
    let chosen = ranked.iter().take(CANDIDATES).any(|(_, name)| *name == shared.target);
    chosen.then_some(pool)
}

async fn no_longer(shared: &Shared, pool: &CompactString) {
    while candidate_for(shared).as_ref() == Some(pool) {
        tokio::time::sleep(EVERY).await;
    }
}

fn planner(shared: &Shared, pool: CompactString) -> Planner {
    let (dialler, key) = (shared.dialler.clone(), shared.key.clone());
    let fleet = Dial::new(dialler, key, shared.name.clone(), shared.incarnation);
    Planner::new(Context {
        pool,
        incarnation: shared.incarnation,
        appender: shared.appender.clone(),
        config: Followed { state: shared.config.clone(), health: shared.config_health.clone() },
        system: Followed { state: shared.system.clone(), health: shared.system_health.clone() },
        fleet: Arc::new(fleet),
        decide: Box::new(Roles::default()),
    })
}
