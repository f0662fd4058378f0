//! Runs the planner of the target's pool on a few of the pool's agents.

use crate::shared::Shared;
use compact_str::CompactString;
use conf::resource::Phase;
use duty::{Context, Followed, NetworkFleet, Planner, Roles};
use policy::{hash, mix};
use std::sync::Arc;
use std::time::Duration;

/// How many agents of a pool are candidates for its planner. All 700 would race for the claim when
/// a planner fails; five of them, selected by hash, are unlikely to fail together.
const CANDIDATES: usize = 5;

/// How long the other agents wait for the candidates before they claim a pool without a planner, in
/// case all candidates fail together, for example with a failure domain. Claims are spread over the
/// same time, so that few of 700 agents claim at once.
const FALLBACK_DELAY: Duration = Duration::from_secs(30);

/// Interval at which an agent checks whether it is a candidate.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the planner for the pool of the target until the agent stops and the planner has released
/// its claim.
pub(crate) async fn run(shared: Arc<Shared>) {
    while !shared.stop.is_cancelled() {
        if let Some(candidacy) = candidacy(&shared) {
            let stop = shared.stop.child_token();
            let mut planner_task = std::pin::pin!(planner(&shared, &candidacy).run(stop.clone()));
            tokio::select! {
                () = &mut planner_task => {}
                () = candidacy_changed(&shared, &candidacy) => {
                    stop.cancel();
                    planner_task.await;
                }
            }
        }
        shared.stop.run_until_cancelled(tokio::time::sleep(CHECK_INTERVAL)).await;
    }
}

/// The pool that this agent may plan for, and how long it waits for other agents first.
type Candidacy = (CompactString, Duration);

fn candidacy(shared: &Shared) -> Option<Candidacy> {
    let pool = shared.resource().filter(|target| target.phase == Phase::Active)?.pool;
    let config = shared.config.borrow();
    let members =
        config.targets().filter(|(_, target)| target.pool == pool && target.phase == Phase::Active);
    let mut ranked: Vec<_> =
        members.map(|(name, _)| (mix(hash(&pool), hash(name)), name.clone())).collect();
    ranked.sort();
    let is_candidate = ranked.iter().take(CANDIDATES).any(|(_, name)| *name == shared.target);
    Some((pool, if is_candidate { Duration::ZERO } else { FALLBACK_DELAY }))
}

async fn candidacy_changed(shared: &Shared, candidacy: &Candidacy) {
    while self::candidacy(shared).as_ref() == Some(candidacy) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

fn planner(shared: &Shared, (pool, delay): &Candidacy) -> Planner {
    let (dialler, key) = (shared.dialler.clone(), shared.key.clone());
    let fleet = NetworkFleet::new(dialler, key, shared.name.clone(), shared.incarnation);
    Planner::new(Context {
        pool: pool.clone(),
        incarnation: shared.incarnation,
        fallback_delay: *delay,
        appender: shared.appender.clone(),
        config: Followed { state: shared.config.clone(), health: shared.config_health.clone() },
        system: Followed { state: shared.system.clone(), health: shared.system_health.clone() },
        fleet: Arc::new(fleet),
        decide: Box::new(Roles::default()),
    })
}
