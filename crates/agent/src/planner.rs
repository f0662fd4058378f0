//! The agent's readiness to plan for the pool of its target.
//!
//! No VM is set aside for the planner: any agent takes the duty over when its holder is silent.

use crate::shared::Shared;
use compact_str::CompactString;
use conf::{Kind, Spec};
use duty::{Context, Dial, Followed, Planner, Roles};
use state::{Config, Health};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Stands by, and plans while it holds the pool, until `release`; then gives the pool up.
pub(crate) async fn stand_by(
    shared: Arc<Shared>,
    health: watch::Receiver<Health>,
    release: CancellationToken,
) {
    let mut config = shared.config.clone();
    while !release.is_cancelled() {
        let pool = pool(&config.borrow_and_update(), &shared.target);
        let stop = release.child_token();
        let moved = async {
            // An operator may move the target to another pool, whose planner it then may become.
            let differs = |config: &Arc<Config>| self::pool(config, &shared.target) != pool;
            if config.wait_for(differs).await.is_ok() {
                stop.cancel();
            }
        };
        match &pool {
            Some(pool) => {
                let planner = Planner::new(context(&shared, health.clone(), pool.clone()));
                tokio::join!(planner.run(stop.clone()), stop.run_until_cancelled(moved));
            }
            None => {
                tokio::join!(stop.run_until_cancelled(moved), stop.cancelled());
            }
        }
    }
}

/// The pool of a target, once its resource is known.
fn pool(config: &Config, target: &str) -> Option<CompactString> {
    match &config.get(Kind::Target, target)?.spec {
        Spec::Target(target) => Some(target.pool.clone()),
        Spec::Model(_)
        | Spec::Adapter(_)
        | Spec::Version(_)
        | Spec::Caller(_)
        | Spec::Policy(_) => None,
    }
}

fn context(shared: &Shared, health: watch::Receiver<Health>, pool: CompactString) -> Context {
    let Shared { name, incarnation, dialler, key, .. } = shared;
    let dial = Dial::new(dialler.clone(), key.clone(), name.clone(), *incarnation);
    Context {
        pool,
        incarnation: *incarnation,
        appender: shared.appender.clone(),
        config: Followed::<Config> { state: shared.config.clone(), health },
        system: Followed { state: shared.system.clone(), health: shared.system_health.clone() },
        fleet: Arc::new(dial),
        decide: Box::new(Roles::default()),
    }
}
