//! Which decisions are in force in a run, as trait objects and switches.

use super::engine::{CallIndex, EngineSetup, MIXED_EFFICIENCY, SLOTS};
use crate::limits::Limit;
use crate::queue::{self, Discipline, Fifo, Queue};
use crate::roles::{self, Planner, RolePlanner, StaticRoles};
use crate::route::{LeastConnections, RoundRobin, Route, Weighted};
use conf::resource::Role;

/// The decisions in force.
#[derive(Clone)]
pub struct Setup {
    /// The name in tables.
    pub name: &'static str,
    /// How targets are chosen.
    pub route: fn() -> Box<dyn Route>,
    /// In which order requests start.
    pub queue: fn() -> Box<dyn Discipline<CallIndex>>,
    /// How engines get their roles.
    pub planner: fn(roles::Settings) -> Box<dyn Planner>,
    /// The settings of the planner.
    pub roles: roles::Settings,
    /// Whether requests that cannot meet their deadline are refused at once.
    pub admission: bool,
    /// Whether requests are offered to two targets and bound when one starts them.
    pub late: bool,
    /// Whether slow and failing targets are relieved.
    pub outliers: bool,
    /// Whether engines are told to read urgent and short prompts first.
    pub priorities: bool,
    /// Whether retries are paid from budgets.
    pub budgets: bool,
    /// Whether requests that ran at a crash are held apart.
    pub quarantine: bool,
    /// The limit of each caller.
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
            late: true,
            outliers: true,
            priorities: true,
            budgets: true,
            quarantine: true,
            limit: Limit::default(),
        }
    }

    /// All but changes of roles.
    pub fn static_roles() -> Self {
        Self { name: "lapismast, static roles", planner: |_| Box::new(StaticRoles), ..Self::all() }
    }

    /// All, but long and short requests in one class.
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

    /// All but the queue's order and admission.
    pub fn first_come() -> Self {
        Self {
            name: "lapismast, first come first served",
            queue: || Box::new(Fifo::new(SLOTS)),
            admission: false,
            ..Self::all()
        }
    }

    /// Targets in turn, first come first served, nothing else.
    pub fn round_robin() -> Self {
        Self {
            name: "round robin",
            route: || Box::new(RoundRobin::default()),
            queue: || Box::new(Fifo::new(SLOTS)),
            planner: |_| Box::new(StaticRoles),
            admission: false,
            late: false,
            outliers: false,
            priorities: false,
            budgets: false,
            quarantine: false,
            ..Self::all()
        }
    }

    /// The target with the fewest requests, first come first served, nothing else.
    pub fn least_connections() -> Self {
        Self {
            name: "least connections",
            route: || Box::new(LeastConnections::default()),
            ..Self::round_robin()
        }
    }
}

/// Engines in `domains` failure domains, all mixed and equally fast.
pub fn engines(many: usize, domains: usize) -> Vec<EngineSetup> {
    let engine = |index: usize| EngineSetup {
        domain: index % domains,
        role: Role::Mixed,
        slowness: 1.0,
        failing: false,
        mixed_efficiency: MIXED_EFFICIENCY,
    };
    (0..many).map(engine).collect()
}
