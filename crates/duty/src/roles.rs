//! The engines of a pool as input for decisions on roles.

use crate::reconcile::View;
use conf::Name;
use conf::resource::{Phase, Role, Target};
use policy::Time;
use policy::estimate::Rates;
use policy::roles::{Demand, Engine};
use std::collections::HashMap;

/// Records since when each engine has its role.
///
/// A planner that takes over does not have these times and counts from its first observation. So it
/// waits for the minimum time in a role again, which is harmless.
#[derive(Debug, Default)]
pub(crate) struct RoleTimes {
    since: HashMap<Name, (Role, Time)>,
}

impl RoleTimes {
    /// The current engines of the pool.
    pub(crate) fn engines(&mut self, view: &View<'_>, now: Time) -> Vec<Engine> {
        let policy = view.policy();
        let engines = view.engines().map(|(name, target)| {
            let pinned = view.fixed_role(&policy, name, target).is_some();
            self.engine(view, name, target, pinned, now)
        });
        engines.collect()
    }

    fn engine(
        &mut self,
        view: &View<'_>,
        name: &Name,
        target: &Target,
        pinned: bool,
        now: Time,
    ) -> Engine {
        let load = view.observed.fresh(name);
        let role = load.map_or(Role::Mixed, |load| role(&load.role));
        let since = self.since.entry(name.clone()).or_insert((role, now));
        if since.0 != role {
            *since = (role, now);
        }
        Engine {
            name: name.clone(),
            domain: policy::hash(&target.domain),
            role,
            changing: load.is_some() && view.is_busy(name),
            usable: target.phase == Phase::Active && load.is_some_and(|load| load.accepting),
            pinned,
            since: since.1,
            rates: load.map_or_else(Rates::default, rates),
        }
    }
}

/// The demand of callers, in tokens per second.
pub(crate) fn demand(view: &View<'_>) -> Demand {
    let (prompt, output) = view.observed.offered();
    Demand { prompt: to_f64(prompt), output: to_f64(output) }
}

fn rates(load: &wire::Load) -> Rates {
    let defaults = Rates::default();
    let rate_or_default = |rate: u32, default| if rate == 0 { default } else { f64::from(rate) };
    Rates {
        prefill: rate_or_default(load.prefill_rate, defaults.prefill),
        decode: rate_or_default(load.decode_rate, defaults.decode),
    }
}

fn role(name: &str) -> Role {
    let roles = [Role::Prefill, Role::Decode, Role::Mixed];
    roles.into_iter().find(|role| role.name() == name).unwrap_or_default()
}

/// Converts a rate to `f64`; rates above 4 billion tokens per second are clamped.
fn to_f64(rate: u64) -> f64 {
    f64::from(u32::try_from(rate).unwrap_or(u32::MAX))
}
