//! The planner's control loop for one pool.

use crate::backoff::Backoff;
use crate::decide::Decide;
use crate::fleet::{Agent, Fleet, Observation};
use crate::reconcile::View;
use crate::roles::{RoleTimes, demand};
use compact_str::{CompactString, format_compact};
use conf::Name;
use plat::SYSTEM_STREAM;
use state::record::{Body, Order, OrderKind};
use state::{
    Appender, Checkpointer, Config, Error, Fold, Health, HeldClaim, Lease, LeaseSettings, System,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The state and health of a stream that the process follows.
#[derive(Clone)]
pub struct Followed<F> {
    /// The folded state.
    pub state: watch::Receiver<Arc<F>>,
    /// The follower's health.
    pub health: watch::Receiver<Health>,
}

/// The inputs of a planner.
pub struct Context {
    /// The pool to plan for.
    pub pool: CompactString,
    /// The process's incarnation.
    pub incarnation: u64,
    /// The additional wait before it claims the pool; zero for the few preferred processes.
    pub fallback_delay: Duration,
    /// Appends records in the process's name.
    pub appender: Appender,
    /// The `config` stream.
    pub config: Followed<Config>,
    /// The `system` stream.
    pub system: Followed<System>,
    /// The agents of the pool.
    pub fleet: Arc<dyn Fleet>,
    /// Chooses changes of role.
    pub decide: Box<dyn Decide>,
}

/// A process that plans for a pool once it has claimed it.
pub struct Planner {
    context: Context,
    role_times: RoleTimes,
    backoff: Backoff,
    started: Instant,
}

/// The interval at which the planner observes its pool; changes of role and loads take seconds.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// The longest wait until an appended order is read back.
const READ_BACK: Duration = Duration::from_secs(2);

/// The highest age of the resources: a planner that has missed a change would order what operators
/// have just withdrawn.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(10);

/// The scope of a pool's planner.
pub fn scope(pool: &str) -> CompactString {
    format_compact!("planner/{pool}")
}

impl Planner {
    /// Makes a planner that has not claimed its pool yet.
    pub fn new(context: Context) -> Self {
        let (role_times, backoff) = (RoleTimes::default(), Backoff::default());
        Self { context, role_times, backoff, started: Instant::now() }
    }

    /// Claims the pool when no other process holds it, and plans while it holds it, until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        let Context { pool, incarnation, fallback_delay, appender, system, .. } = &self.context;
        let settings = LeaseSettings::new(SYSTEM_STREAM.into(), scope(pool), *incarnation);
        let settings = settings.fallback_delay(*fallback_delay);
        let lease = Lease::spawn(settings, appender.clone(), system.state.clone());
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
        held: &watch::Receiver<Option<HeldClaim>>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let Followed { state, health } = followed.clone();
        let appender = self.context.appender.clone();
        Checkpointer::new(stream.into(), appender, state, health, held.clone()).run()
    }

    async fn plan(&mut self, mut held: watch::Receiver<Option<HeldClaim>>) {
        loop {
            let valid = |held: &Option<HeldClaim>| held.is_some_and(|held| held.is_valid());
            if !valid(&held.borrow()) {
                self.context.fleet.observe(&[]).await;
                if held.wait_for(valid).await.is_err() {
                    return;
                }
                log::info!(pool = self.context.pool.as_str(); "planner-started");
            }
            self.tick(&held).await;
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Observes the pool once and appends the orders that it needs.
    async fn tick(&mut self, held: &watch::Receiver<Option<HeldClaim>>) {
        let config = self.context.config.state.borrow().clone();
        let system = self.context.system.state.borrow().clone();
        let agents = agents(&config, &self.context.pool);
        let observed = self.context.fleet.observe(&agents).await;
        if !self.context.config.health.borrow().is_fresh(MAX_CONFIG_AGE) {
            return;
        }
        for (target, kind) in self.orders(&config, &system, &observed) {
            let current = *held.borrow();
            // Checked before each append. If another process claims the pool between check and
            // append, the order is void in the log.
            let Some(claim) = current.filter(HeldClaim::is_valid).map(|held| held.claim) else {
                return;
            };
            self.append_order(claim, target, kind).await;
        }
    }

    fn orders(
        &mut self,
        config: &Config,
        system: &System,
        observed: &Observation,
    ) -> Vec<(Name, OrderKind)> {
        let pool = self.context.pool.as_str();
        let view = View { config, system, observed, pool };
        let mut orders = view.orders();
        let now = self.started.elapsed();
        let engines = self.role_times.engines(&view, now);
        self.context.decide.set(&view.policy());
        for change in self.context.decide.decide(&engines, demand(&view), now) {
            if !orders.iter().any(|(target, _)| *target == change.target) {
                orders.push((change.target, OrderKind::SetRole(change.role.name().to_owned())));
            }
        }
        orders.retain(|(target, _)| self.backoff.allows(system, target));
        orders
    }

    /// Appends an order and waits until it is read back, so that the next tick counts it as open.
    async fn append_order(&mut self, claim: plat::Offset, target: Name, kind: OrderKind) {
        let scope = scope(&self.context.pool).to_string();
        let order = Order { scope, claim, target: target.to_string(), kind: Some(kind) };
        match self.context.appender.append(SYSTEM_STREAM, Body::Order(order)).await {
            Ok(appended) => {
                log::info!(engine = target.as_str(), order = appended.offset; "order-given");
                let mut state = self.context.system.state.clone();
                let read = state.wait_for(|system| system.end() > appended.offset);
                if tokio::time::timeout(READ_BACK, read).await.is_err() {
                    self.backoff.delay_unsettled(&target);
                }
            }
            Err(error) => {
                if matches!(error, Error::Unsettled { .. }) {
                    self.backoff.delay_unsettled(&target);
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
