//! Which engines change their role.
//!
//! **Load pattern.** The balance of prompt and output tokens swings within minutes, and no engine
//! can be added. **Without it** the prefill engines stand idle while decode engines queue, or the
//! other way round. **How.** Demand in prompt and output tokens a second is averaged fast and
//! slowly. For each possible change the goodput of the pool with and without it is compared over
//! a horizon; what is lost while the engine is out of service is taken off, and the change is
//! ordered only if more is left than the operator's weight. An engine keeps a role for a minimum
//! time, no stage of the work loses its last engine, few engines change at a time, of different
//! failure domains, and nothing is ordered while a change is under way or reports are old.
//! **Figures.** See [`Settings`] and the policies shipped in `policies/`.

mod capacity;

pub use capacity::{Demand, PoolCapacity};

use crate::estimate::Rates;
use crate::number::float;
use crate::{Hash, TargetId, Time};
use conf::resource::Role;
use std::time::Duration;

/// Settings of role changes. The first five are the operator's, from the Policy resource.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Work, in output tokens, that one change must win beyond what it loses.
    pub change_cost: u64,
    /// How far ahead the win is counted: a swing lasts minutes.
    pub horizon: Duration,
    /// The minimum time in a role.
    pub dwell: Duration,
    /// How long an engine is out of service for a change.
    pub outage: Duration,
    /// Changes at a time in one pool.
    pub at_once: u32,
    /// The time constant of the fast average: long enough that one large prompt moves nothing.
    pub fast: Duration,
    /// The time constant of the slow average.
    pub slow: Duration,
    /// Reports older than this are not acted on.
    pub stale: Duration,
    /// What reading a prompt beside outputs costs them, as a part of its own time. To be measured
    /// for an engine; 0.3 follows from losing 15 % of the speed of both while 60 % go to reading.
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
    /// Its role now.
    pub role: Role,
    /// Whether a change was ordered and has no outcome yet.
    pub changing: bool,
    /// Whether it works: reachable, and neither joining nor leaving.
    pub usable: bool,
    /// Whether an operator fixed its role.
    pub pinned: bool,
    /// When it last took on a role.
    pub since: Time,
    /// What it does in a second.
    pub rates: Rates,
}

/// A change to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The engine's name.
    pub target: TargetId,
    /// Its role from now on.
    pub role: Role,
}

/// The weight of the slow average of demand: what the next minute is like if the fast one is a
/// ripple. Measured at the swing: 0.1 to 0.2 save a third to a half of the changes that 0 makes at
/// the same goodput, 0.4 follows too late.
const SLOW_WEIGHT: f64 = 0.2;

/// A way of giving engines their roles.
pub trait Planner: Send {
    /// The way's name in tables.
    fn name(&self) -> &'static str;

    /// Takes in the demand, as it was at `now`.
    fn observe(&mut self, demand: Demand, now: Time);

    /// The changes to order now.
    fn decide(&mut self, engines: &[Engine], now: Time) -> Vec<Change>;
}

/// Leaves all roles as they are, for comparison.
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

/// Changes roles when that wins more than it costs.
#[derive(Debug)]
pub struct RolePlanner {
    settings: Settings,
    fast: Demand,
    slow: Demand,
    observed: Option<Time>,
}

impl RolePlanner {
    /// Makes a planner that has seen no demand.
    pub fn new(settings: Settings) -> Self {
        Self { settings, fast: Demand::default(), slow: Demand::default(), observed: None }
    }

    /// Takes on changed settings and keeps the averages.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The best change allowed, with what it wins.
    fn best(&self, engines: &[Engine], ordered: &[Change], now: Time) -> Option<Change> {
        let fleet = self.fleet(engines, ordered);
        let mut best: Option<(f64, Change)> = None;
        for engine in engines.iter().filter(|engine| self.may_change(engine, now)) {
            if ordered.iter().any(|change| change.target == engine.name)
                || is_domain_busy(engine, engines, ordered)
            {
                continue;
            }
            for role in [Role::Prefill, Role::Decode, Role::Mixed] {
                let win = self.win(&fleet, engine, role);
                let least = best.as_ref().map_or(float(self.settings.change_cost), |(win, _)| *win);
                if win > least {
                    best = Some((win, Change { target: engine.name.clone(), role }));
                }
            }
        }
        best.map(|(_, change)| change)
    }

    /// The work that a change wins over the horizon, less what is lost while it is under way.
    fn win(&self, fleet: &PoolCapacity, engine: &Engine, role: Role) -> f64 {
        let out = fleet.without(engine.role, engine.rates);
        let after = out.with(role, engine.rates);
        if role == engine.role || !after.covers_all_stages() || !out.covers_all_stages() {
            return 0.0;
        }
        let goodput = |fleet: &PoolCapacity| {
            let at = |demand| fleet.goodput(demand, self.settings.mixing);
            at(&self.fast) * (1.0 - SLOW_WEIGHT) + at(&self.slow) * SLOW_WEIGHT
        };
        let outage = self.settings.outage.as_secs_f64();
        let rest = self.settings.horizon.saturating_sub(self.settings.outage).as_secs_f64();
        let now = goodput(fleet);
        (goodput(&after) - now) * rest - (now - goodput(&out)) * outage
    }

    fn may_change(&self, engine: &Engine, now: Time) -> bool {
        let dwelt = now.saturating_sub(engine.since) >= self.settings.dwell;
        engine.usable && !engine.pinned && !engine.changing && dwelt
    }

    fn fleet(&self, engines: &[Engine], ordered: &[Change]) -> PoolCapacity {
        let working = engines.iter().filter(|engine| engine.usable && !engine.changing);
        working.fold(PoolCapacity::default(), |fleet, engine| {
            let change = ordered.iter().find(|change| change.target == engine.name);
            fleet.with(change.map_or(engine.role, |change| change.role), engine.rates)
        })
    }
}

/// Whether another engine of the same failure domain is changing.
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
        let fresh = self.observed.is_some_and(|at| now.saturating_sub(at) <= self.settings.stale);
        let mut ordered = Vec::new();
        if !fresh || engines.iter().any(|engine| engine.changing) {
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
