//! The run: entries, engines and calls, driven by events in order of time.

mod crash;
mod roles;
mod serve;

use super::Random;
use super::engine::{CallIndex, Engine, EngineSetup};
use super::figures::{Figures, Outcome};
use super::setup::Setup;
use super::work::Arrival;
use crate::admission::Admission;
use crate::estimate::{Cost, Estimator};
use crate::limits::Limits;
use crate::number::{count, float, span};
use crate::outlier::OutlierDetector;
use crate::quarantine::{CrashHistory, CrashRecords, Quarantine};
use crate::retry::Budget;
use crate::roles::{Demand, Planner};
use crate::route::{Candidate, Route};
use crate::{Hash, Time};
use conf::resource::Role;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// What is run.
pub struct Plan {
    /// The engines.
    pub engines: Vec<EngineSetup>,
    /// The entries.
    pub entries: usize,
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
    /// Engines that crash, and when.
    pub crashes: Vec<(f64, usize)>,
    /// The time until no more calls are counted as asked for, in seconds.
    pub end: f64,
}

/// Runs a plan under a setup.
pub fn run(plan: &Plan, setup: &Setup) -> Figures {
    let planner = (setup.planner)(setup.roles.clone());
    run_planned(plan, setup, planner)
}

/// Runs a plan under a setup, with this planner of roles.
pub fn run_planned(plan: &Plan, setup: &Setup, planner: Box<dyn Planner>) -> Figures {
    let mut pool = Pool::new(plan, setup, planner);
    pool.all();
    pool.figures
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(CallIndex),
    Submit(CallIndex),
    Engine { engine: usize, epoch: u64 },
    Crash(usize),
    Poison { engine: usize, call: CallIndex },
    Up(usize),
    RoleTaken { engine: usize, role: Role },
    HandOver(CallIndex),
    Tick,
}

/// Seconds between ticks: pings and the planner's look at its reports.
const TICK: f64 = 1.0;

/// Seconds after the end in which calls may still finish.
const GRACE: f64 = 120.0;

/// One call on its way.
#[derive(Debug, Clone)]
struct Call {
    cost: Cost,
    places: Vec<usize>,
    engine: Option<usize>,
    started: f64,
    first_token: Option<f64>,
    /// Output tokens that are still to be written, once it was moved.
    left: Option<f64>,
    cached: u32,
    attempts: u32,
    handed_over: bool,
    admitted: bool,
    ended: bool,
}

/// What one entry knows.
struct Entry {
    candidates: Vec<Candidate>,
    route: Box<dyn Route>,
    outliers: OutlierDetector,
    budget: Budget,
    limits: Limits,
    estimator: Estimator,
    domain: Hash,
}

/// The records of crashes, as the log holds them.
#[derive(Default)]
struct Crashes(HashMap<Hash, CrashHistory>);

impl CrashRecords for Crashes {
    fn history(&self, fingerprint: u64) -> CrashHistory {
        self.0.get(&fingerprint).copied().unwrap_or_default()
    }
}

struct Pool<'a> {
    plan: &'a Plan,
    setup: &'a Setup,
    planner: Box<dyn Planner>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    planned: Vec<Event>,
    crashes: Crashes,
    admission: Admission,
    quarantine: Quarantine,
    random: Random,
    demand: Demand,
    now: f64,
    figures: Figures,
}

/// The name under which all engines serve.
fn model() -> Hash {
    crate::hash("lapis-small")
}

impl<'a> Pool<'a> {
    fn new(plan: &'a Plan, setup: &'a Setup, planner: Box<dyn Planner>) -> Self {
        let engines = plan.engines.iter().map(|engine| Engine::new(*engine, (setup.queue)()));
        let mut pool = Self {
            plan,
            setup,
            planner,
            engines: engines.collect(),
            entries: (0..plan.entries).map(|index| Entry::new(index, plan, setup)).collect(),
            calls: vec![Call::new(); plan.arrivals.len()],
            events: BinaryHeap::new(),
            planned: Vec::new(),
            crashes: Crashes::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            random: Random::new(7),
            demand: Demand::default(),
            now: 0.0,
            figures: Figures::new(plan.end, plan.engines.len()),
        };
        for (call, arrival) in plan.arrivals.iter().enumerate() {
            pool.at(arrival.at, Event::Arrive(call));
        }
        for (at, engine) in &plan.crashes {
            pool.at(*at, Event::Crash(*engine));
        }
        pool.at(0.0, Event::Tick);
        pool
    }

    fn all(&mut self) {
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            self.now = float(at) / NANOS;
            if self.now > self.plan.end + GRACE {
                break;
            }
            let event = self.planned[index];
            self.handle(event);
        }
        for call in 0..self.calls.len() {
            self.end(call, Outcome::Late);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Submit(call) => self.submit(call),
            Event::Engine { engine, epoch } => {
                if self.engines[engine].epoch == epoch {
                    self.progress(engine);
                }
            }
            Event::Crash(engine) => self.crash(engine, false),
            Event::Poison { engine, call } => {
                if self.calls[call].engine == Some(engine) {
                    self.crash(engine, true);
                }
            }
            Event::Up(engine) => self.come_up(engine),
            Event::RoleTaken { engine, role } => self.take_role(engine, role),
            Event::HandOver(call) => self.hand_over(call),
            Event::Tick => self.tick(),
        }
    }

    /// Plans an event; events at one time happen in the order in which they were planned.
    fn at(&mut self, at: f64, event: Event) {
        let index = self.planned.len();
        self.planned.push(event);
        let sequence = u64::try_from(index).unwrap_or(u64::MAX);
        self.events.push(Reverse((count(at * NANOS), sequence, index)));
    }

    fn after(&mut self, seconds: f64, event: Event) {
        self.at(self.now + seconds, event);
    }

    fn time(&self) -> Time {
        span(self.now)
    }

    fn tick(&mut self) {
        for engine in 0..self.engines.len() {
            self.progress(engine);
            for entry in 0..self.entries.len() {
                self.tell(engine, entry);
            }
        }
        self.gossip();
        self.plan_roles();
        if self.now + TICK < self.plan.end + GRACE {
            self.after(TICK, Event::Tick);
        }
    }

    /// Lets entries tell each other about their callers.
    fn gossip(&mut self) {
        let now = self.time();
        let told: Vec<_> = self.entries.iter().map(|entry| entry.limits.report(now)).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let others = told.iter().enumerate().filter(|(other, _)| *other != index);
            for (other, usage) in others {
                entry.limits.observe_peer(crate::hash(&format!("entry-{other}")), usage, now);
            }
        }
    }

    /// Ends a call once.
    fn end(&mut self, call: CallIndex, outcome: Outcome) {
        if std::mem::replace(&mut self.calls[call].ended, true) {
            return;
        }
        let arrival = &self.plan.arrivals[call];
        if self.calls[call].admitted {
            let tokens = self.calls[call].tokens();
            let entry = &mut self.entries[arrival.entry];
            entry.limits.close(&arrival.caller, tokens, arrival.prompt + arrival.output);
        }
        let counts = self.now <= self.plan.end;
        self.figures.end(arrival, outcome, self.calls[call].first_token, counts);
    }
}

const NANOS: f64 = 1e9;

impl Call {
    fn new() -> Self {
        Self {
            cost: Cost::default(),
            places: Vec::new(),
            engine: None,
            started: 0.0,
            first_token: None,
            left: None,
            cached: 0,
            attempts: 0,
            handed_over: false,
            admitted: false,
            ended: false,
        }
    }

    fn tokens(&self) -> u64 {
        self.cost.prefill + self.cost.decode
    }
}

impl Entry {
    fn new(index: usize, plan: &Plan, setup: &Setup) -> Self {
        let candidate = |(number, engine): (usize, &EngineSetup)| {
            let domain = format!("domain-{}", engine.domain);
            let mut candidate = Candidate::new(&format!("engine-{number}"), &domain, vec![model()]);
            candidate.role = engine.role;
            candidate
        };
        let domains = plan.engines.iter().map(|engine| engine.domain).max().unwrap_or(0) + 1;
        let mut limits = Limits::new(crate::limits::Settings::default());
        limits.set_entries(plan.entries);
        Self {
            candidates: plan.engines.iter().enumerate().map(candidate).collect(),
            route: (setup.route)(),
            outliers: OutlierDetector::default(),
            budget: Budget::default(),
            limits,
            estimator: Estimator::default(),
            domain: crate::hash(&format!("domain-{}", index % domains)),
        }
    }
}
