//! The decisions that a simulation uses, as trait objects and switches.

use super::engine::{CallIndex, EngineSetup, MIXED_EFFICIENCY, SLOTS};
use crate::limits::Limit;
use crate::queue::{self, Discipline, Fifo, Queue};
use crate::roles::{self, Planner, RolePlanner, StaticRoles};
use crate::route::{LeastConnections, RoundRobin, Route, Weighted};
use conf::resource::Role;

/// The decisions that a simulation uses.
#[derive(Clone)]
pub struct Setup {
    /// The name of the setup in tables.
    pub name: &'static str,
    /// How targets are chosen.
    pub route: fn() -> Box<dyn Route>,
    /// The order in which requests start.
    pub queue: fn() -> Box<dyn Discipline<CallIndex>>,
    /// How engines get their roles.
    pub planner: fn(roles::Settings) -> Box<dyn Planner>,
    /// The settings of the planner.
    pub roles: roles::Settings,
    /// Whether requests that cannot meet their deadline are refused on arrival.
    pub admission: bool,
    /// Whether requests are queued at two targets and bound when one of them starts them.
    pub late_binding: bool,
    /// Whether slow and failing targets are ejected.
    pub outliers: bool,
    /// Whether engines prefill urgent and short prompts first.
    pub priorities: bool,
    /// Whether retries are bounded by retry budgets.
    pub retry_budgets: bool,
    /// Whether requests that ran when an engine crashed are quarantined.
    pub quarantine: bool,
    /// The rate and concurrency limit of each caller.
    pub limit: Limit,
}

impl Setup {
    /// All decisions of this crate.
    pub fn all() -> Self {
        Self {
            name: "lapismast",
            route: || Box::new(Weighted::default()),
            queue: || Box::new(Queue::new(queue::Settings { slots: SLOTS, ..Default::default() })),
            planner: |settings| Box::new(RolePlanner::new(settings)),
            roles: roles::Settings::default(),
            admission: true,
            late_binding: true,
            outliers: true,
            priorities: true,
            retry_budgets: true,
            quarantine: true,
            limit: Limit::default(),
        }
    }

    /// All decisions but role changes.
    pub fn static_roles() -> Self {
        Self { name: "lapismast, static roles", planner: |_| Box::new(StaticRoles), ..Self::all() }
    }

    /// All decisions, but with long and short requests in one class.
    pub fn one_class() -> Self {
        Self {
            name: "lapismast, one size class",
            priorities: false,
            queue: || {
                let default = queue::Settings::default();
                Box::new(Queue::new(queue::Settings { slots: SLOTS, long_share: 1.0, ..default }))
            },
            ..Self::all()
        }
    }

    /// All decisions but the queue's order and admission: first come, first served.
    pub fn first_come() -> Self {
        Self {
            name: "lapismast, first come first served",
            queue: || Box::new(Fifo::new(SLOTS)),
            admission: false,
            ..Self::all()
        }
    }

    /// A baseline: round-robin routing with first-come-first-served queues.
    pub fn round_robin() -> Self {
        Self {
            name: "round robin",
            route: || Box::new(RoundRobin::default()),
            queue: || Box::new(Fifo::new(SLOTS)),
            planner: |_| Box::new(StaticRoles),
            admission: false,
            late_binding: false,
            outliers: false,
            priorities: false,
            retry_budgets: false,
            quarantine: false,
            ..Self::all()
        }
    }

    /// A baseline: routing to the target with the fewest requests, with first-come-first-served
    /// queues.
    pub fn least_connections() -> Self {
        Self {
            name: "least connections",
            route: || Box::new(LeastConnections::default()),
            ..Self::round_robin()
        }
    }
}

/// Creates engines in `domains` failure domains, all mixed and equally fast.
pub fn engines(number: usize, domains: usize) -> Vec<EngineSetup> {
    let engine = |index: usize| EngineSetup {
        domain: index % domains,
        role: Role::Mixed,
        slowdown: 1.0,
        failing: false,
        mixed_efficiency: MIXED_EFFICIENCY,
    };
    (0..number).map(engine).collect()
}
