//! The planner's loop for one pool.

use crate::backoff::Backoff;
use crate::decide::Decide;
use crate::fleet::{Agent, Fleet, Observation};
use crate::reconcile::View;
use crate::roles::{Tenure, demand};
use compact_str::{CompactString, format_compact};
use conf::Name;
use plat::SYSTEM_STREAM;
use state::record::{Body, Order, OrderKind};
use state::{
    Appender, Checkpointer, Config, Error, Fold, Health, Held, Lease, LeaseSettings, System,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// A stream that the process follows.
#[derive(Clone)]
pub struct Followed<F> {
    /// The folded state.
    pub state: watch::Receiver<Arc<F>>,
    /// How well it follows.
    pub health: watch::Receiver<Health>,
}

/// What a planner sees of the world.
pub struct Context {
    /// The pool whose planner it may become.
    pub pool: CompactString,
    /// The process's incarnation.
    pub incarnation: u64,
    /// How long it leaves a silent pool to others first; zero for the few that are to plan.
    pub fallback_delay: Duration,
    /// Appends in the process's name.
    pub appender: Appender,
    /// The `config` stream.
    pub config: Followed<Config>,
    /// The `system` stream.
    pub system: Followed<System>,
    /// The agents.
    pub fleet: Arc<dyn Fleet>,
    /// What weighs changes of role.
    pub decide: Box<dyn Decide>,
}

/// One process's readiness to plan for a pool.
pub struct Planner {
    context: Context,
    tenure: Tenure,
    backoff: Backoff,
    started: Instant,
}

/// How often the planner looks at its pool; changes of role and loads take seconds.
const TICK: Duration = Duration::from_secs(1);

/// How long to wait until an order that was appended is read back.
const READ_BACK: Duration = Duration::from_secs(2);

/// How old the view of the resources may be: a planner that missed a change would order what
/// operators have just withdrawn.
const FRESH: Duration = Duration::from_secs(10);

/// The scope of a pool's planner.
pub fn scope(pool: &str) -> CompactString {
    format_compact!("planner/{pool}")
}

impl Planner {
    /// Makes a planner that holds nothing yet.
    pub fn new(context: Context) -> Self {
        let (tenure, backoff) = (Tenure::default(), Backoff::default());
        Self { context, tenure, backoff, started: Instant::now() }
    }

    /// Claims the pool when nobody plans for it, and plans while it holds it, until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let Context { pool, incarnation, fallback_delay, appender, system, .. } = &self.context;
        let settings = LeaseSettings::new(SYSTEM_STREAM.into(), scope(pool), *incarnation);
        let settings = settings.fallback_delay(*fallback_delay);
        let lease = Lease::keep(settings, appender.clone(), system.state.clone());
        let held = lease.held();
        let mut checkpoints = JoinSet::new();
        checkpoints.spawn(self.checkpointer(SYSTEM_STREAM, &self.context.system, &held));
        checkpoints.spawn(self.checkpointer(plat::CONFIG_STREAM, &self.context.config, &held));
        stop.run_until_cancelled(self.plan(held)).await;
        checkpoints.shutdown().await;
        lease.release().await;
    }

    fn checkpointer<F: Fold>(
        &self,
        stream: &str,
        followed: &Followed<F>,
        held: &watch::Receiver<Option<Held>>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let Followed { state, health } = followed.clone();
        let appender = self.context.appender.clone();
        Checkpointer::new(stream.into(), appender, state, health, held.clone()).run()
    }

    async fn plan(&mut self, mut held: watch::Receiver<Option<Held>>) {
        loop {
            let valid = |held: &Option<Held>| held.is_some_and(|held| held.is_valid());
            if !valid(&held.borrow()) {
                self.context.fleet.observe(&[]).await;
                if held.wait_for(valid).await.is_err() {
                    return;
                }
                log::info!(pool = self.context.pool.as_str(); "planner-started");
            }
            self.tick(&held).await;
            tokio::time::sleep(TICK).await;
        }
    }

    /// Looks at the pool once and gives the orders that it needs.
    async fn tick(&mut self, held: &watch::Receiver<Option<Held>>) {
        let config = self.context.config.state.borrow().clone();
        let system = self.context.system.state.borrow().clone();
        let agents = agents(&config, &self.context.pool);
        let seen = self.context.fleet.observe(&agents).await;
        if !self.context.config.health.borrow().is_fresh(FRESH) {
            return;
        }
        for (target, kind) in self.orders(&config, &system, &seen) {
            let now = *held.borrow();
            // Checked before each append; what lies between check and append is void in the log
            // if somebody claimed meanwhile.
            let Some(claim) = now.filter(Held::is_valid).map(|held| held.claim) else { return };
            self.order(claim, target, kind).await;
        }
    }

    fn orders(
        &mut self,
        config: &Config,
        system: &System,
        seen: &Observation,
    ) -> Vec<(Name, OrderKind)> {
        let pool = self.context.pool.as_str();
        let view = View { config, system, seen, pool };
        let mut orders = view.orders();
        let now = self.started.elapsed();
        let engines = self.tenure.engines(&view, now);
        self.context.decide.set(&view.policy());
        for change in self.context.decide.decide(&engines, demand(&view), now) {
            if !orders.iter().any(|(target, _)| *target == change.target) {
                orders.push((change.target, OrderKind::SetRole(change.role.name().to_owned())));
            }
        }
        orders.retain(|(target, _)| self.backoff.allows(system, target));
        orders
    }

    /// Appends an order and waits until it is read back, so that the next look counts it as open.
    async fn order(&mut self, claim: plat::Offset, target: Name, kind: OrderKind) {
        let scope = scope(&self.context.pool).to_string();
        let order = Order { scope, claim, target: target.to_string(), kind: Some(kind) };
        match self.context.appender.append(SYSTEM_STREAM, Body::Order(order)).await {
            Ok(appended) => {
                log::info!(engine = target.as_str(), order = appended.offset; "order-given");
                let mut state = self.context.system.state.clone();
                let read = state.wait_for(|system| system.end() > appended.offset);
                if tokio::time::timeout(READ_BACK, read).await.is_err() {
                    self.backoff.doubt(&target);
                }
            }
            Err(error) => {
                if matches!(error, Error::Unsettled { .. }) {
                    self.backoff.doubt(&target);
                }
                log::warn!(engine = target.as_str(), error:% = error; "order-failed");
            }
        }
    }
}

/// The agents of a pool's targets.
fn agents(config: &Config, pool: &str) -> Vec<Agent> {
    let targets = config.targets().filter(|(_, target)| target.pool == pool);
    let agents =
        targets.map(|(name, target)| Agent { target: name.clone(), address: target.agent.clone() });
    agents.collect()
}
