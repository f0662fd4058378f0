//! Decides which engines change their role.
//!
//! **Load pattern.** The balance of prompt and output tokens swings within minutes, and no engine
//! can be added. **Without this**, the prefill engines are idle while decode engines queue, or the
//! other way round. **Approach.** Demand in prompt and output tokens per second is averaged with a
//! short and a long time constant. For each possible change, the goodput of the pool with and
//! without it is compared over a horizon. The loss while the engine is out of service is
//! subtracted, and the change is ordered only if the remaining gain exceeds the operator's change
//! cost. An engine keeps a role for a minimum time, no stage loses its last engine, few engines
//! change at a time and those in different failure domains, and nothing is ordered while a change
//! is in progress or reports are stale. **Figures.** See [`Settings`] and the policies shipped in
//! `policies/`.

mod capacity;

pub use capacity::{Demand, PoolCapacity};

use crate::estimate::Rates;
use crate::number::float;
use crate::{Hash, TargetId, Time};
use conf::resource::Role;
use std::time::Duration;

/// Settings of role changes. The first five come from the operator's Policy resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Work, in output tokens, that a change must gain beyond what it loses.
    pub change_cost: u64,
    /// Time over which the gain is counted. A swing lasts minutes.
    pub horizon: Duration,
    /// Minimum time in a role.
    pub dwell: Duration,
    /// How long an engine is out of service for a change.
    pub outage: Duration,
    /// Concurrent changes in one pool.
    pub at_once: u32,
    /// Time constant of the fast average: long enough that one large prompt changes nothing.
    pub fast: Duration,
    /// Time constant of the slow average.
    pub slow: Duration,
    /// Age from which reports are too old to act on.
    pub stale: Duration,
    /// What prefill concurrent with decode costs the decode streams, as a share of the prefill
    /// time. It should be measured for the engine in use; 0.3 follows from a loss of 15 % of the
    /// speed of both while prefill takes 60 % of the time.
    pub mixing: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self::from(&conf::resource::Policy::default())
    }
}

impl From<&conf::resource::Policy> for Settings {
    fn from(policy: &conf::resource::Policy) -> Self {
        Self {
            change_cost: policy.role_change_cost_tokens,
            horizon: policy.horizon,
            dwell: policy.dwell,
            outage: policy.role_change,
            at_once: policy.role_changes_at_once,
            fast: Duration::from_secs(5),
            slow: Duration::from_secs(60),
            stale: Duration::from_secs(10),
            mixing: 0.3,
        }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Its name.
    pub name: TargetId,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// Its current role.
    pub role: Role,
    /// Whether a change was ordered whose outcome is not known yet.
    pub changing: bool,
    /// Whether it serves requests: it is reachable and neither joining nor leaving.
    pub usable: bool,
    /// Whether an operator fixed its role.
    pub pinned: bool,
    /// When it took on its current role.
    pub since: Time,
    /// Its token rates.
    pub rates: Rates,
}

/// A role change to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The engine's name.
    pub target: TargetId,
    /// Its new role.
    pub role: Role,
}

/// Weight of the slow average of demand, which predicts the next minute if the fast one is a
/// ripple. In the swing scenario, 0.1 to 0.2 save a third to a half of the changes that 0 makes at
/// the same goodput, and 0.4 follows too late.
const SLOW_WEIGHT: f64 = 0.2;

/// Assigns roles to engines.
pub trait Planner: Send {
    /// Returns the name of the planner in tables.
    fn name(&self) -> &'static str;

    /// Records the demand at `now`.
    fn observe(&mut self, demand: Demand, now: Time);

    /// Returns the changes to order now.
    fn decide(&mut self, engines: &[Engine], now: Time) -> Vec<Change>;
}

/// Never changes a role, for comparison.
#[derive(Debug, Clone, Copy, Default)]
pub struct StaticRoles;

impl Planner for StaticRoles {
    fn name(&self) -> &'static str {
        "static roles"
    }

    fn observe(&mut self, _: Demand, _: Time) {}

    fn decide(&mut self, _: &[Engine], _: Time) -> Vec<Change> {
        Vec::new()
    }
}

/// Changes roles when the gain exceeds the cost.
#[derive(Debug)]
pub struct RolePlanner {
    settings: Settings,
    fast: Demand,
    slow: Demand,
    observed: Option<Time>,
}

impl RolePlanner {
    /// Creates a planner that has observed no demand.
    pub fn new(settings: Settings) -> Self {
        Self { settings, fast: Demand::default(), slow: Demand::default(), observed: None }
    }

    /// Replaces the settings and keeps the averages.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Returns the allowed change with the largest gain.
    fn best(&self, engines: &[Engine], ordered: &[Change], now: Time) -> Option<Change> {
        let capacity = self.capacity(engines, ordered);
        let mut best: Option<(f64, Change)> = None;
        for engine in engines.iter().filter(|engine| self.may_change(engine, now)) {
            if ordered.iter().any(|change| change.target == engine.name)
                || is_domain_busy(engine, engines, ordered)
            {
                continue;
            }
            for role in [Role::Prefill, Role::Decode, Role::Mixed] {
                let gain = self.gain(&capacity, engine, role);
                let min = best.as_ref().map_or(float(self.settings.change_cost), |(gain, _)| *gain);
                if gain > min {
                    best = Some((gain, Change { target: engine.name.clone(), role }));
                }
            }
        }
        best.map(|(_, change)| change)
    }

    /// Returns the work that a change gains over the horizon, less what is lost while it is in
    /// progress.
    fn gain(&self, capacity: &PoolCapacity, engine: &Engine, role: Role) -> f64 {
        let during = capacity.without(engine.role, engine.rates);
        let after = during.with(role, engine.rates);
        if role == engine.role || !after.covers_all_stages() || !during.covers_all_stages() {
            return 0.0;
        }
        let goodput = |capacity: &PoolCapacity| {
            let at = |demand| capacity.goodput(demand, self.settings.mixing);
            at(&self.fast) * (1.0 - SLOW_WEIGHT) + at(&self.slow) * SLOW_WEIGHT
        };
        let outage = self.settings.outage.as_secs_f64();
        let rest = self.settings.horizon.saturating_sub(self.settings.outage).as_secs_f64();
        let before = goodput(capacity);
        (goodput(&after) - before) * rest - (before - goodput(&during)) * outage
    }

    fn may_change(&self, engine: &Engine, now: Time) -> bool {
        let dwelt = now.saturating_sub(engine.since) >= self.settings.dwell;
        engine.usable && !engine.pinned && !engine.changing && dwelt
    }

    fn capacity(&self, engines: &[Engine], ordered: &[Change]) -> PoolCapacity {
        let serving = engines.iter().filter(|engine| engine.usable && !engine.changing);
        serving.fold(PoolCapacity::default(), |capacity, engine| {
            let change = ordered.iter().find(|change| change.target == engine.name);
            capacity.with(change.map_or(engine.role, |change| change.role), engine.rates)
        })
    }
}

/// Returns whether an engine of the same failure domain is changing.
fn is_domain_busy(engine: &Engine, engines: &[Engine], ordered: &[Change]) -> bool {
    let is_ordered = |name: &TargetId| ordered.iter().any(|change| change.target == *name);
    let busy = engines.iter().filter(|other| other.changing || is_ordered(&other.name));
    busy.into_iter().any(|other| other.domain == engine.domain)
}

impl Planner for RolePlanner {
    fn name(&self) -> &'static str {
        "planned roles"
    }

    fn observe(&mut self, demand: Demand, now: Time) {
        let Some(last) = self.observed.replace(now) else {
            self.fast = demand;
            self.slow = demand;
            return;
        };
        let elapsed = now.saturating_sub(last).as_secs_f64();
        self.fast = self.fast.toward(&demand, elapsed, self.settings.fast);
        self.slow = self.slow.toward(&demand, elapsed, self.settings.slow);
    }

    fn decide(&mut self, engines: &[Engine], now: Time) -> Vec<Change> {
        let is_current =
            self.observed.is_some_and(|at| now.saturating_sub(at) <= self.settings.stale);
        let mut ordered = Vec::new();
        if !is_current || engines.iter().any(|engine| engine.changing) {
            return ordered;
        }
        for _ in 0..self.settings.at_once {
            match self.best(engines, &ordered, now) {
                Some(change) => ordered.push(change),
                None => break,
            }
        }
        ordered
    }
}
