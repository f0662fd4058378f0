//! The planner's duty, which the agents of a pool share among themselves.

use crate::shared::Shared;
use compact_str::CompactString;
use conf::resource::Phase;
use duty::{Context, Dial, Followed, Planner, Roles};
use policy::{hash, mix};
use std::sync::Arc;
use std::time::Duration;

/// How many agents of a pool are to plan for it. All 700 would race for the claim when a planner
/// falls silent; five of them, chosen by hash, hardly fail together.
const CANDIDATES: usize = 5;

/// How long the other agents leave a silent pool to the candidates, should these fail together
/// all the same, as with a whole failure domain. Spread as widely, few of 700 claim at once.
const PATIENCE: Duration = Duration::from_secs(30);

/// How often an agent looks whether it is a candidate.
const EVERY: Duration = Duration::from_secs(2);

/// Stands ready to plan for the pool of its target, until it stops and has given up what it holds.
pub(crate) async fn stand_ready(shared: Arc<Shared>) {
    while !shared.stop.is_cancelled() {
        if let Some(place) = place(&shared) {
            let ended = shared.stop.child_token();
            let mut planning = std::pin::pin!(planner(&shared, &place).run(ended.clone()));
            tokio::select! {
                () = &mut planning => {}
                () = no_longer(&shared, &place) => {
                    ended.cancel();
                    planning.await;
                }
            }
        }
        shared.stop.run_until_cancelled(tokio::time::sleep(EVERY)).await;
    }
}

/// The pool that this agent stands ready for, and how long it leaves it to others.
type Place = (CompactString, Duration);

fn place(shared: &Shared) -> Option<Place> {
    let pool = shared.resource().filter(|target| target.phase == Phase::Active)?.pool;
    let config = shared.config.borrow();
    let members =
        config.targets().filter(|(_, target)| target.pool == pool && target.phase == Phase::Active);
    let mut ranked: Vec<_> =
        members.map(|(name, _)| (mix(hash(&pool), hash(name)), name.clone())).collect();
    ranked.sort();
    let chosen = ranked.iter().take(CANDIDATES).any(|(_, name)| *name == shared.target);
    Some((pool, if chosen { Duration::ZERO } else { PATIENCE }))
}

async fn no_longer(shared: &Shared, place: &Place) {
    while self::place(shared).as_ref() == Some(place) {
        tokio::time::sleep(EVERY).await;
    }
}

fn planner(shared: &Shared, (pool, patience): &Place) -> Planner {
    let (dialler, key) = (shared.dialler.clone(), shared.key.clone());
    let fleet = Dial::new(dialler, key, shared.name.clone(), shared.incarnation);
    Planner::new(Context {
        pool: pool.clone(),
        incarnation: shared.incarnation,
        patience: *patience,
        appender: shared.appender.clone(),
        config: Followed { state: shared.config.clone(), health: shared.config_health.clone() },
        system: Followed { state: shared.system.clone(), health: shared.system_health.clone() },
        fleet: Arc::new(fleet),
        decide: Box::new(Roles::default()),
    })
}
