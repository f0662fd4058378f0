//! The event loop of a simulation: entries, engines and calls, driven by events in order of time.

mod crash;
mod roles;
mod serve;

use super::Random;
use super::engine::{CallIndex, Engine, EngineSetup};
use super::results::{Outcome, Results};
use super::setup::Setup;
use super::workload::Arrival;
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

/// What is simulated: a pool, its load and its failures.
pub struct Scenario {
    /// The engines of the pool.
    pub engines: Vec<EngineSetup>,
    /// The number of entries.
    pub entries: usize,
    /// The arrivals, in order of time.
    pub arrivals: Vec<Arrival>,
    /// Crashes: the time in seconds, and the index of the engine.
    pub crashes: Vec<(f64, usize)>,
    /// The end of the measurement, in seconds: calls that end later do not count as goodput.
    pub end: f64,
}

/// Simulates a scenario under a setup.
pub fn run(scenario: &Scenario, setup: &Setup) -> Results {
    let planner = (setup.planner)(setup.roles.clone());
    run_with_planner(scenario, setup, planner)
}

/// Simulates a scenario under a setup, with this planner of roles instead of the setup's.
pub fn run_with_planner(scenario: &Scenario, setup: &Setup, planner: Box<dyn Planner>) -> Results {
    let mut pool = Pool::new(scenario, setup, planner);
    pool.run();
    pool.results
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Event {
    Arrive(CallIndex),
    Submit(CallIndex),
    Progress { engine: usize, revision: u64 },
    Crash(usize),
    PoisonCrash { engine: usize, call: CallIndex },
    Restart(usize),
    RoleChanged { engine: usize, role: Role },
    PlaceDecode(CallIndex),
    Tick,
}

/// Seconds between ticks, in which engines report their load and the planner decides on roles.
const TICK: f64 = 1.0;

/// Seconds after the end of the scenario in which calls may still finish.
const GRACE_PERIOD: f64 = 120.0;

/// The state of one call, over all its attempts.
#[derive(Debug, Clone)]
struct Call {
    cost: Cost,
    /// Engines at which it is queued.
    queued_at: Vec<usize>,
    engine: Option<usize>,
    started: f64,
    first_token: Option<f64>,
    /// Output tokens that are still to be generated, if it has lost its engine while decoding.
    remaining_output: Option<f64>,
    cached: u32,
    attempts: u32,
    /// Whether its KV cache exists, so that it only needs an engine to decode.
    decode_only: bool,
    admitted: bool,
    ended: bool,
}

/// The state of one entry.
struct Entry {
    candidates: Vec<Candidate>,
    route: Box<dyn Route>,
    outliers: OutlierDetector,
    budget: Budget,
    limits: Limits,
    estimator: Estimator,
    domain: Hash,
}

/// The records of crashes, which the log holds in production.
#[derive(Default)]
struct CrashLog(HashMap<Hash, CrashHistory>);

impl CrashRecords for CrashLog {
    fn history(&self, fingerprint: u64) -> CrashHistory {
        self.0.get(&fingerprint).copied().unwrap_or_default()
    }
}

struct Pool<'a> {
    scenario: &'a Scenario,
    setup: &'a Setup,
    planner: Box<dyn Planner>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    calls: Vec<Call>,
    /// Time in nanoseconds, sequence number, and index in `scheduled`.
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    scheduled: Vec<Event>,
    crash_log: CrashLog,
    admission: Admission,
    quarantine: Quarantine,
    random: Random,
    demand: Demand,
    now: f64,
    results: Results,
}

/// Returns the hash of the name of the language model that all engines serve.
fn model_name() -> Hash {
    crate::hash("lapis-small")
}

impl<'a> Pool<'a> {
    fn new(scenario: &'a Scenario, setup: &'a Setup, planner: Box<dyn Planner>) -> Self {
        let engines = scenario.engines.iter().map(|engine| Engine::new(*engine, (setup.queue)()));
        let mut pool = Self {
            scenario,
            setup,
            planner,
            engines: engines.collect(),
            entries: (0..scenario.entries)
                .map(|index| Entry::new(index, scenario, setup))
                .collect(),
            calls: vec![Call::new(); scenario.arrivals.len()],
            events: BinaryHeap::new(),
            scheduled: Vec::new(),
            crash_log: CrashLog::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            random: Random::new(7),
            demand: Demand::default(),
            now: 0.0,
            results: Results::new(scenario.end, scenario.engines.len()),
        };
        for (call, arrival) in scenario.arrivals.iter().enumerate() {
            pool.schedule(arrival.at, Event::Arrive(call));
        }
        for (at, engine) in &scenario.crashes {
            pool.schedule(*at, Event::Crash(*engine));
        }
        pool.schedule(0.0, Event::Tick);
        pool
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, index))) = self.events.pop() {
            self.now = float(at) / NANOS;
            if self.now > self.scenario.end + GRACE_PERIOD {
                break;
            }
            let event = self.scheduled[index];
            self.handle(event);
        }
        for call in 0..self.calls.len() {
            self.finish(call, Outcome::Late);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Submit(call) => self.submit(call),
            Event::Progress { engine, revision } => {
                if self.engines[engine].revision == revision {
                    self.progress(engine);
                }
            }
            Event::Crash(engine) => self.crash(engine, false),
            Event::PoisonCrash { engine, call } => {
                if self.calls[call].engine == Some(engine) {
                    self.crash(engine, true);
                }
            }
            Event::Restart(engine) => self.restart(engine),
            Event::RoleChanged { engine, role } => self.finish_role_change(engine, role),
            Event::PlaceDecode(call) => self.place_decode(call),
            Event::Tick => self.tick(),
        }
    }

    /// Schedules an event; events of equal time run in the order in which they were scheduled.
    fn schedule(&mut self, at: f64, event: Event) {
        let index = self.scheduled.len();
        self.scheduled.push(event);
        let sequence = u64::try_from(index).unwrap_or(u64::MAX);
        self.events.push(Reverse((count(at * NANOS), sequence, index)));
    }

    fn schedule_after(&mut self, seconds: f64, event: Event) {
        self.schedule(self.now + seconds, event);
    }

    fn time(&self) -> Time {
        span(self.now)
    }

    fn tick(&mut self) {
        for engine in 0..self.engines.len() {
            self.progress(engine);
            for entry in 0..self.entries.len() {
                self.report_load(engine, entry);
            }
        }
        self.share_usage();
        self.plan_roles();
        if self.now + TICK < self.scenario.end + GRACE_PERIOD {
            self.schedule_after(TICK, Event::Tick);
        }
    }

    /// Shares the usage of callers among the entries.
    fn share_usage(&mut self) {
        let now = self.time();
        let reports: Vec<_> = self.entries.iter().map(|entry| entry.limits.report(now)).collect();
        for (index, entry) in self.entries.iter_mut().enumerate() {
            let others = reports.iter().enumerate().filter(|(other, _)| *other != index);
            for (other, usage) in others {
                entry.limits.observe_peer(crate::hash(&format!("entry-{other}")), usage, now);
            }
        }
    }

    /// Ends a call and records its outcome; does nothing if it has ended before.
    fn finish(&mut self, call: CallIndex, outcome: Outcome) {
        if std::mem::replace(&mut self.calls[call].ended, true) {
            return;
        }
        let arrival = &self.scenario.arrivals[call];
        if self.calls[call].admitted {
            let tokens = self.calls[call].tokens();
            let entry = &mut self.entries[arrival.entry];
            entry.limits.close(&arrival.caller, tokens, arrival.prompt + arrival.output);
        }
        let counts_as_goodput = self.now <= self.scenario.end;
        self.results.record(arrival, outcome, self.calls[call].first_token, counts_as_goodput);
    }
}

const NANOS: f64 = 1e9;

impl Call {
    fn new() -> Self {
        Self {
            cost: Cost::default(),
            queued_at: Vec::new(),
            engine: None,
            started: 0.0,
            first_token: None,
            remaining_output: None,
            cached: 0,
            attempts: 0,
            decode_only: false,
            admitted: false,
            ended: false,
        }
    }

    fn tokens(&self) -> u64 {
        self.cost.prefill + self.cost.decode
    }
}

impl Entry {
    fn new(index: usize, scenario: &Scenario, setup: &Setup) -> Self {
        let candidate = |(number, engine): (usize, &EngineSetup)| {
            let domain = format!("domain-{}", engine.domain);
            let mut candidate =
                Candidate::new(&format!("engine-{number}"), &domain, vec![model_name()]);
            candidate.role = engine.role;
            candidate
        };
        let domains = scenario.engines.iter().map(|engine| engine.domain).max().unwrap_or(0) + 1;
        let mut limits = Limits::new(crate::limits::Settings::default());
        limits.set_entries(scenario.entries);
        Self {
            candidates: scenario.engines.iter().enumerate().map(candidate).collect(),
            route: (setup.route)(),
            outliers: OutlierDetector::default(),
            budget: Budget::default(),
            limits,
            estimator: Estimator::default(),
            domain: crate::hash(&format!("domain-{}", index % domains)),
        }
    }
}
