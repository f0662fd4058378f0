//! Late binding: the ways of [`crate::binding`] on the same arrivals with unknown lengths.
//!
//! After section 5.6 of Sanders, "Asynchronous Scheduling of Redundant Disk Arrays", with what
//! differs for language models: lengths are log-normal instead of uniform, a target runs several
//! requests at a time, and a claim costs a round trip to the entry.

use super::Random;
use super::table::Table;
use crate::binding::{self, Binding, Offer, Placement, QueueState};
use crate::number::{count, float};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// How lengths with a mean of 1 are spread, and how requests arrive.
#[derive(Debug, Clone, Copy)]
pub enum Lengths {
    /// Log-normal, as outputs of language models are, with Poisson arrivals.
    LogNormal {
        /// The spread of the logarithm.
        sigma: f64,
    },
    /// Uniform from 0.7 to 1.3 with arrivals at equal distances, as in the paper.
    Paper,
}

/// One measurement.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Targets.
    pub targets: usize,
    /// Requests that a target runs side by side.
    pub slots: usize,
    /// Load, as a share of capacity.
    pub load: f64,
    /// How lengths are spread.
    pub lengths: Lengths,
    /// A round trip between agent and entry, as a share of the mean length.
    pub round_trip: f64,
    /// Requests measured, after a tenth as many to warm up.
    pub requests: usize,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            targets: 64,
            slots: 1,
            load: 0.9,
            lengths: Lengths::LogNormal { sigma: 0.9 },
            round_trip: 0.000_25,
            requests: 200_000,
        }
    }
}

/// What was measured; times in units of the mean length.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Mean, 99th and 99.9th of the wait until the start.
    pub wait: [f64; 3],
    /// The same of the delay until the end.
    pub delay: [f64; 3],
    /// Messages for a request.
    pub messages: f64,
}

/// The loads of the comparison.
pub const LOADS: [f64; 5] = [0.7, 0.8, 0.9, 0.95, 0.98];

/// Compares all ways at all loads.
pub fn compare(base: &Setup) -> Table {
    let head =
        ["way", "load", "wait mean", "p99", "p99.9", "delay mean", "p99", "p99.9", "messages"];
    let mut table = Table::new(&head);
    for load in LOADS {
        for way in binding::all() {
            let figures = measure(&Setup { load, ..*base }, way.as_ref());
            let mut cells = vec![way.name().to_owned(), format!("{load:.2}")];
            let times = figures.wait.into_iter().chain(figures.delay);
            cells.extend(times.map(|time| format!("{time:.2}")));
            cells.push(format!("{:.2}", figures.messages));
            table.row(cells);
        }
    }
    table
}

/// Measures one way of binding.
pub fn measure(setup: &Setup, way: &dyn Binding) -> Figures {
    let mut run = Run::new(setup, way);
    run.all();
    run.figures()
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: f64,
    length: f64,
    candidates: [usize; 2],
    /// The index in `candidates` that it is bound to.
    bound: Option<usize>,
    started: bool,
}

#[derive(Debug, Default)]
struct Target {
    queue: VecDeque<usize>,
    running: usize,
}

struct Run<'a> {
    setup: &'a Setup,
    way: &'a dyn Binding,
    requests: Vec<Request>,
    targets: Vec<Target>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    wait: Histogram<u64>,
    delay: Histogram<u64>,
    messages: u64,
}

/// Parts of a unit of time in which the histograms count, and the clock of ends.
const PARTS: f64 = 1e6;

/// The longest time that is told apart: 100,000 mean lengths.
const MOST: u64 = 100_000_000_000;

impl<'a> Run<'a> {
    fn new(setup: &'a Setup, way: &'a dyn Binding) -> Self {
        let histogram = || Histogram::new_with_max(MOST, 3).expect("these bounds are allowed");
        Self {
            setup,
            way,
            requests: arrivals(setup),
            targets: (0..setup.targets).map(|_| Target::default()).collect(),
            ends: BinaryHeap::new(),
            wait: histogram(),
            delay: histogram(),
            messages: 0,
        }
    }

    fn all(&mut self) {
        for id in 0..self.requests.len() {
            let now = self.requests[id].arrived;
            self.end_until(now);
            self.arrive(id, now);
        }
        self.end_until(f64::INFINITY);
    }

    fn end_until(&mut self, now: f64) {
        while let Some(Reverse((at, target))) = self.ends.peek().copied() {
            let at = float(at) / PARTS;
            if at > now {
                return;
            }
            self.ends.pop();
            self.targets[target].running -= 1;
            self.start_next(target, at);
        }
    }

    fn arrive(&mut self, id: usize, now: f64) {
        let candidates = self.requests[id].candidates;
        let servers = candidates.map(|target| self.server(target));
        self.messages += 1;
        if let Some(free) = servers.iter().position(|server| server.idle) {
            return self.start(id, candidates[free], now);
        }
        let bound = match self.way.place(&servers) {
            Placement::Bound(index) => Some(index),
            Placement::Offered => None,
        };
        self.requests[id].bound = bound;
        if self.way.notifies_all() {
            self.messages += 1;
        }
        for (index, target) in candidates.into_iter().enumerate() {
            if self.way.notifies_all() || bound == Some(index) {
                self.targets[target].queue.push_back(id);
            }
        }
    }

    fn server(&self, target: usize) -> QueueState {
        let Target { queue, running } = &self.targets[target];
        let bound = queue.iter().filter(|&&id| self.bound_to(id) == Some(target)).count();
        let idle = *running < self.setup.slots;
        QueueState { bound: bound + running, offered: queue.len(), idle }
    }

    fn bound_to(&self, id: usize) -> Option<usize> {
        let request = &self.requests[id];
        request.bound.map(|index| request.candidates[index])
    }

    fn start_next(&mut self, target: usize, now: f64) {
        let offers: Vec<Offer> =
            self.targets[target].queue.iter().map(|&id| self.offer(id, target)).collect();
        let Some(index) = self.way.next(&offers) else { return };
        let id = self.targets[target].queue[index];
        let told = self.way.notifies_all();
        let claimed = told && self.bound_to(id) != Some(target);
        // A claim and its grant, then the withdrawal at the other; or that withdrawal alone.
        self.messages += if claimed { 3 } else { u64::from(told) };
        for candidate in self.requests[id].candidates {
            self.targets[candidate].queue.retain(|&queued| queued != id);
        }
        let grant = if claimed { self.setup.round_trip } else { 0.0 };
        self.start(id, target, now + grant);
    }

    fn offer(&self, id: usize, target: usize) -> Offer {
        let [a, b] = self.requests[id].candidates;
        let other = &self.targets[if a == target { b } else { a }].queue;
        let bound = self.bound_to(id) == Some(target);
        Offer { bound, elsewhere: other.len(), first_elsewhere: other.front() == Some(&id) }
    }

    fn start(&mut self, id: usize, target: usize, at: f64) {
        self.targets[target].running += 1;
        let request = &mut self.requests[id];
        request.started = true;
        let end = at + request.length;
        self.ends.push(Reverse((count(end * PARTS), target)));
        if id >= self.setup.requests / 10 {
            self.wait.saturating_record(count((at - request.arrived) * PARTS));
            self.delay.saturating_record(count((end - request.arrived) * PARTS));
        }
    }

    fn figures(&self) -> Figures {
        let three = |h: &Histogram<u64>| {
            let at = |quantile| float(h.value_at_quantile(quantile)) / PARTS;
            [h.mean() / PARTS, at(0.99), at(0.999)]
        };
        let requests = float(u64::try_from(self.requests.len()).unwrap_or(1)).max(1.0);
        let messages = float(self.messages) / requests;
        Figures { wait: three(&self.wait), delay: three(&self.delay), messages }
    }
}

/// The arrivals, the same for all ways.
fn arrivals(setup: &Setup) -> Vec<Request> {
    let mut random = Random::new(1);
    let servers = float(u64::try_from(setup.targets * setup.slots).unwrap_or(1));
    let gap = 1.0 / (servers * setup.load);
    let mut now = 0.0;
    let mut request = || {
        let (distance, length) = match setup.lengths {
            Lengths::LogNormal { sigma } => {
                (random.exponential(gap), random.log_normal(1.0, sigma))
            }
            Lengths::Paper => (gap, 0.7 + 0.6 * random.unit()),
        };
        now += distance;
        let first = random.below(setup.targets);
        let second = (first + 1 + random.below(setup.targets - 1)) % setup.targets;
        Request { arrived: now, length, candidates: [first, second], bound: None, started: false }
    };
    (0..setup.requests + setup.requests / 10).map(|_| request()).collect()
}
