//! Which order each engine needs next, by what operators want and engines report.
//!
//! Pure: the same resources, orders and reports give the same orders, so that a planner that
//! takes over goes on where the last one stopped. An engine that already is as wanted gets none.

use crate::fleet::Observation;
use compact_str::{CompactString, format_compact};
use conf::resource::{Model, Phase, Policy, Role, Target};
use conf::{Kind, Name, Spec};
use state::record::{Load, OrderKind};
use state::{Config, System};

/// How many engines of a pool load weights at a time: the weight store limits how fast it is
/// read, and many slow loads bring the first engine into service later than a few quick ones.
pub const LOADS_AT_ONCE: usize = 4;

/// Of how many engines of a pool one may load weights at a time. An engine takes no work while it
/// loads; in a pool of three all loaded a new version together, and every caller was refused.
pub const ENGINES_PER_LOAD: usize = 4;

/// What is to be reconciled.
pub struct View<'a> {
    /// What operators want.
    pub config: &'a Config,
    /// What was ordered.
    pub system: &'a System,
    /// What engines report.
    pub seen: &'a Observation,
    /// The pool.
    pub pool: &'a str,
}

/// A name that an engine has to serve, with the weights it is loaded from.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Wanted {
    serve: CompactString,
    artifact: CompactString,
}

impl View<'_> {
    /// The engines of the pool.
    pub fn engines(&self) -> impl Iterator<Item = (&Name, &Target)> {
        let targets = self.config.targets();
        targets.filter(|(_, target)| target.is_engine() && target.pool == self.pool)
    }

    /// The policy of the pool: the one of its name, or the one named `default`.
    pub fn policy(&self) -> Policy {
        let named = [self.pool, "default"].into_iter();
        let found = named.filter_map(|name| self.config.get(Kind::Policy, name)).next();
        match found.map(|entry| &entry.spec) {
            Some(Spec::Policy(policy)) => policy.clone(),
            _ => Policy::default(),
        }
    }

    /// The role that operators fix for an engine.
    pub fn fixed_role(&self, policy: &Policy, name: &Name, target: &Target) -> Option<Role> {
        target.role.or_else(|| policy.roles.get(name).copied())
    }

    /// Whether an order to the target has no outcome yet.
    pub fn is_busy(&self, name: &Name) -> bool {
        self.system.open_orders(name).next().is_some()
    }

    /// The next order of each engine that needs one, in the order of their names.
    pub fn orders(&self) -> Vec<(Name, OrderKind)> {
        let policy = self.policy();
        let mut loads = self.loads_at_once().saturating_sub(self.open(is_load));
        let at_once = usize::try_from(policy.role_changes_at_once).unwrap_or(usize::MAX);
        let mut roles = at_once.saturating_sub(self.open(is_role));
        let mut orders = Vec::new();
        for (name, target) in self.engines() {
            let Some(kind) = self.next(&policy, name, target) else { continue };
            let room = match kind {
                OrderKind::Load(_) => &mut loads,
                OrderKind::SetRole(_) => &mut roles,
                OrderKind::Unload(_) => {
                    orders.push((name.clone(), kind));
                    continue;
                }
            };
            if *room > 0 {
                *room -= 1;
                orders.push((name.clone(), kind));
            }
        }
        orders
    }

    /// How many engines may load at a time, at least one.
    fn loads_at_once(&self) -> usize {
        let reached = self.engines().filter(|(name, _)| self.seen.fresh(name).is_some());
        LOADS_AT_ONCE.min(reached.count() / ENGINES_PER_LOAD).max(1)
    }

    /// How many engines that can be reached carry out an order of a kind.
    fn open(&self, kind: fn(&OrderKind) -> bool) -> usize {
        let reached = self.engines().filter(|(name, _)| self.seen.fresh(name).is_some());
        let busy = reached
            .filter(|(name, _)| self.system.open_orders(name).any(|order| kind(&order.kind)));
        busy.count()
    }

    /// The next order of an engine: first what it lacks, then its role, then what it has too much.
    fn next(&self, policy: &Policy, name: &Name, target: &Target) -> Option<OrderKind> {
        let load = self.seen.fresh(name)?;
        if target.phase == Phase::Leaving || self.is_busy(name) {
            return None;
        }
        let wanted = self.wanted(target);
        let lacking = wanted.iter().find(|wanted| !serves(load, &wanted.serve));
        if let Some(Wanted { serve, artifact }) = lacking {
            let (serve, artifact) = (serve.to_string(), artifact.to_string());
            return Some(OrderKind::Load(Load { serve, artifact }));
        }
        let role = self.fixed_role(policy, name, target);
        if let Some(role) = role.filter(|role| !load.role.is_empty() && load.role != role.name()) {
            return Some(OrderKind::SetRole(role.name().to_owned()));
        }
        let surplus = load.serves.iter().find(|serve| self.is_surplus(target, &wanted, serve));
        surplus.map(|serve| OrderKind::Unload(serve.clone()))
    }

    /// What an engine has to serve beyond the weights it starts with.
    fn wanted(&self, target: &Target) -> Vec<Wanted> {
        let mut wanted = Vec::new();
        for name in &target.models {
            let Some(Spec::Model(model)) = self.spec(Kind::Model, name) else { continue };
            if let Some(Spec::Version(version)) = self.spec(Kind::Version, &model.version) {
                let serve = base(name, model);
                wanted.push(Wanted { serve, artifact: version.artifact.clone() });
            }
        }
        for name in &target.adapters {
            let Some(Spec::Adapter(adapter)) = self.spec(Kind::Adapter, name) else { continue };
            let Some(Spec::Model(model)) = self.spec(Kind::Model, &adapter.model) else { continue };
            let serve = format_compact!("{}+{name}", base(&adapter.model, model));
            wanted.push(Wanted { serve, artifact: adapter.artifact.clone() });
        }
        wanted
    }

    /// Whether a name that an engine serves is wanted no more.
    ///
    /// What an engine starts with stays, since nothing could load it again. An old version goes
    /// only once every engine of the pool that can be reached serves the new one, so that callers
    /// who were routed by it are still served.
    fn is_surplus(&self, target: &Target, wanted: &[Wanted], serve: &str) -> bool {
        let started_with = target.models.iter().any(|model| model == serve);
        let is_wanted = wanted.iter().any(|wanted| wanted.serve == serve);
        !started_with && !is_wanted && self.is_rolled_out()
    }

    fn is_rolled_out(&self) -> bool {
        self.engines().all(|(name, target)| {
            let load = self.seen.fresh(name);
            let active = target.phase != Phase::Leaving;
            load.filter(|_| active).is_none_or(|load| {
                self.wanted(target).iter().all(|wanted| serves(load, &wanted.serve))
            })
        })
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.config.get(kind, name).map(|entry| &entry.spec)
    }
}

/// The name of a model in the version that is in service.
fn base(name: &Name, model: &Model) -> CompactString {
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
