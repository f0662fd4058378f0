//! The next order that each engine needs, given the desired state and what engines report.
//!
//! Pure: the same resources, orders and reports give the same orders, so that a planner that takes
//! over continues where the last one stopped. An engine in the desired state gets no order.

use crate::fleet::Observation;
use compact_str::{CompactString, format_compact};
use conf::resource::{Model, Phase, Policy, Role, Target};
use conf::{Kind, Name, Spec};
use state::record::{Load, OrderKind};
use state::{Config, System};

/// The most engines of a pool that load weights concurrently: the weight store limits the rate of
/// reads, and with many slow loads the first engine is in service later than with a few fast ones.
pub const MAX_CONCURRENT_LOADS: usize = 4;

/// The number of engines of a pool per engine that may load weights. An engine accepts no requests
/// while it loads; when all engines of a pool of three loaded a new version together, every caller
/// was refused.
pub const ENGINES_PER_LOAD: usize = 4;

/// The states to reconcile.
pub struct View<'a> {
    /// The desired state.
    pub config: &'a Config,
    /// The orders and their outcomes.
    pub system: &'a System,
    /// The reports of engines.
    pub observed: &'a Observation,
    /// The pool.
    pub pool: &'a str,
}

/// A name that an engine has to serve, and the weights to load for it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Desired {
    serve: CompactString,
    artifact: CompactString,
}

impl View<'_> {
    /// The engines of the pool.
    pub fn engines(&self) -> impl Iterator<Item = (&Name, &Target)> {
        let targets = self.config.targets();
        targets.filter(|(_, target)| target.is_engine() && target.pool == self.pool)
    }

    /// The policy of the pool: the one with its name, or the one named `default`.
    pub fn policy(&self) -> Policy {
        let named = [self.pool, "default"].into_iter();
        let found = named.filter_map(|name| self.config.get(Kind::Policy, name)).next();
        match found.map(|entry| &entry.spec) {
            Some(Spec::Policy(policy)) => policy.clone(),
            _ => Policy::default(),
        }
    }

    /// The role that operators have pinned an engine to, if any.
    pub fn fixed_role(&self, policy: &Policy, name: &Name, target: &Target) -> Option<Role> {
        target.role.or_else(|| policy.roles.get(name).copied())
    }

    /// Whether the target has an order without an outcome.
    pub fn is_busy(&self, name: &Name) -> bool {
        self.system.open_orders(name).next().is_some()
    }

    /// The next order of each engine that needs one, by name.
    pub fn orders(&self) -> Vec<(Name, OrderKind)> {
        let policy = self.policy();
        let mut loads = self.max_concurrent_loads().saturating_sub(self.count_open_orders(is_load));
        let max_concurrent_changes =
            usize::try_from(policy.role_changes_at_once).unwrap_or(usize::MAX);
        let mut roles = max_concurrent_changes.saturating_sub(self.count_open_orders(is_role));
        let mut orders = Vec::new();
        for (name, target) in self.engines() {
            let Some(kind) = self.next(&policy, name, target) else { continue };
            let available = match kind {
                OrderKind::Load(_) => &mut loads,
                OrderKind::SetRole(_) => &mut roles,
                OrderKind::Unload(_) => {
                    orders.push((name.clone(), kind));
                    continue;
                }
            };
            if *available > 0 {
                *available -= 1;
                orders.push((name.clone(), kind));
            }
        }
        orders
    }

    /// The most engines that may load concurrently, at least one.
    fn max_concurrent_loads(&self) -> usize {
        let reachable = self.engines().filter(|(name, _)| self.observed.fresh(name).is_some());
        MAX_CONCURRENT_LOADS.min(reachable.count() / ENGINES_PER_LOAD).max(1)
    }

    /// The number of reachable engines with an open order of a kind.
    fn count_open_orders(&self, kind: fn(&OrderKind) -> bool) -> usize {
        let reachable = self.engines().filter(|(name, _)| self.observed.fresh(name).is_some());
        let busy = reachable
            .filter(|(name, _)| self.system.open_orders(name).any(|order| kind(&order.kind)));
        busy.count()
    }

    /// The next order of an engine: first a missing name, then its role, then a surplus name.
    fn next(&self, policy: &Policy, name: &Name, target: &Target) -> Option<OrderKind> {
        let load = self.observed.fresh(name)?;
        if target.phase == Phase::Leaving || self.is_busy(name) {
            return None;
        }
        let desired = self.desired(target);
        let missing = desired.iter().find(|desired| !serves(load, &desired.serve));
        if let Some(Desired { serve, artifact }) = missing {
            let (serve, artifact) = (serve.to_string(), artifact.to_string());
            return Some(OrderKind::Load(Load { serve, artifact }));
        }
        let role = self.fixed_role(policy, name, target);
        if let Some(role) = role.filter(|role| !load.role.is_empty() && load.role != role.name()) {
            return Some(OrderKind::SetRole(role.name().to_owned()));
        }
        let surplus = load.serves.iter().find(|serve| self.is_surplus(target, &desired, serve));
        surplus.map(|serve| OrderKind::Unload(serve.clone()))
    }

    /// The names that an engine has to serve in addition to the weights it starts with.
    fn desired(&self, target: &Target) -> Vec<Desired> {
        let mut desired = Vec::new();
        for name in &target.models {
            let Some(Spec::Model(model)) = self.spec(Kind::Model, name) else { continue };
            if let Some(Spec::Version(version)) = self.spec(Kind::Version, &model.version) {
                let serve = served_name(name, model);
                desired.push(Desired { serve, artifact: version.artifact.clone() });
            }
        }
        for name in &target.adapters {
            let Some(Spec::Adapter(adapter)) = self.spec(Kind::Adapter, name) else { continue };
            let Some(Spec::Model(model)) = self.spec(Kind::Model, &adapter.model) else { continue };
            let serve = format_compact!("{}+{name}", served_name(&adapter.model, model));
            desired.push(Desired { serve, artifact: adapter.artifact.clone() });
        }
        desired
    }

    /// Whether an engine no longer needs to serve a name.
    ///
    /// Names that an engine starts with are kept, since no order could load them again. An old
    /// version is unloaded only when every reachable engine of the pool serves the new one, so that
    /// callers routed to the old one are still served.
    fn is_surplus(&self, target: &Target, desired: &[Desired], serve: &str) -> bool {
        let started_with = target.models.iter().any(|model| model == serve);
        let is_desired = desired.iter().any(|desired| desired.serve == serve);
        !started_with && !is_desired && self.is_rolled_out()
    }

    fn is_rolled_out(&self) -> bool {
        self.engines().all(|(name, target)| {
            let load = self.observed.fresh(name);
            let active = target.phase != Phase::Leaving;
            load.filter(|_| active).is_none_or(|load| {
                self.desired(target).iter().all(|desired| serves(load, &desired.serve))
            })
        })
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.config.get(kind, name).map(|entry| &entry.spec)
    }
}

/// The served name of a model with the version that is in service.
fn served_name(name: &Name, model: &Model) -> CompactString {
    match model.version.is_empty() {
        true => name.clone(),
        false => format_compact!("{name}@{}", model.version),
    }
}

fn serves(load: &wire::Load, name: &str) -> bool {
    load.serves.iter().any(|served| served == name)
}

fn is_load(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Load(_))
}

fn is_role(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::SetRole(_))
}
