//! The engines of a pool as decisions on roles see them.

use crate::reconcile::View;
use conf::Name;
use conf::resource::{Phase, Role, Target};
use policy::Time;
use policy::estimate::Rates;
use policy::roles::{Demand, Engine};
use std::collections::HashMap;

/// Remembers since when each engine has its role.
///
/// A planner that takes over does not know it and counts from what it sees first: it then waits
/// the minimum time in a role once more, which changes nothing that is wrong.
#[derive(Debug, Default)]
pub(crate) struct Tenure {
    since: HashMap<Name, (Role, Time)>,
}

impl Tenure {
    /// The engines of the pool, as they are now.
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
        let load = view.seen.fresh(name);
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

/// What callers ask for, in tokens a second.
pub(crate) fn demand(view: &View<'_>) -> Demand {
    let (prompt, output) = view.seen.offered();
    Demand { prompt: float(prompt), output: float(output) }
}

fn rates(load: &wire::Load) -> Rates {
    let usual = Rates::default();
    let measured = |rate: u32, usual| if rate == 0 { usual } else { f64::from(rate) };
    Rates {
        prefill: measured(load.prefill_rate, usual.prefill),
        decode: measured(load.decode_rate, usual.decode),
    }
}

fn role(name: &str) -> Role {
    let roles = [Role::Prefill, Role::Decode, Role::Mixed];
    roles.into_iter().find(|role| role.name() == name).unwrap_or_default()
}

/// A rate as a number to reckon with; beyond 4 billion tokens a second it is cut off.
fn float(rate: u64) -> f64 {
    f64::from(u32::try_from(rate).unwrap_or(u32::MAX))
}
