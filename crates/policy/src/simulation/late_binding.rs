//! Late binding: compares the policies of [`crate::binding`] on the same arrivals, whose lengths
//! are unknown to them.
//!
//! Based on section 5.6 of Sanders, "Asynchronous Scheduling of Redundant Disk Arrays", with these
//! changes for language models: lengths are log-normal instead of uniform, a target runs several
//! requests at a time, and a claim costs a round trip to the entry.

use super::Random;
use super::table::Table;
use crate::binding::{self, Binding, Offer, Placement, QueueState};
use crate::number::{count, float};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The distribution of lengths, with a mean of 1, and of arrivals.
#[derive(Debug, Clone, Copy)]
pub enum Lengths {
    /// Log-normal lengths, like outputs of language models, with Poisson arrivals.
    LogNormal {
        /// The standard deviation of the logarithm.
        sigma: f64,
    },
    /// Uniform lengths from 0.7 to 1.3 with arrivals at equal intervals, as in the paper.
    Paper,
}

/// The parameters of one measurement.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The number of targets.
    pub targets: usize,
    /// Requests that one target runs at once.
    pub slots: usize,
    /// The load, relative to the capacity.
    pub load: f64,
    /// The distribution of lengths and arrivals.
    pub lengths: Lengths,
    /// The round trip between agent and entry, relative to the mean length.
    pub round_trip: f64,
    /// The number of measured requests; a tenth as many more run first as a warm-up.
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

/// The results of one measurement, with times in units of the mean length.
#[derive(Debug, Clone, Copy)]
pub struct Results {
    /// Mean, 99th and 99.9th percentile of the time from arrival to start.
    pub wait: [f64; 3],
    /// Mean, 99th and 99.9th percentile of the time from arrival to end.
    pub delay: [f64; 3],
    /// Messages per request.
    pub messages: f64,
}

/// The loads at which policies are compared.
pub const LOADS: [f64; 5] = [0.7, 0.8, 0.9, 0.95, 0.98];

/// Compares all policies at all loads.
pub fn compare(base: &Setup) -> Table {
    let head =
        ["way", "load", "wait mean", "p99", "p99.9", "delay mean", "p99", "p99.9", "messages"];
    let mut table = Table::new(&head);
    for load in LOADS {
        for policy in binding::all() {
            let results = measure(&Setup { load, ..*base }, policy.as_ref());
            let mut cells = vec![policy.name().to_owned(), format!("{load:.2}")];
            let times = results.wait.into_iter().chain(results.delay);
            cells.extend(times.map(|time| format!("{time:.2}")));
            cells.push(format!("{:.2}", results.messages));
            table.row(cells);
        }
    }
    table
}

/// Measures one policy.
pub fn measure(setup: &Setup, policy: &dyn Binding) -> Results {
    let mut run = Run::new(setup, policy);
    run.run();
    run.results()
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
    policy: &'a dyn Binding,
    requests: Vec<Request>,
    targets: Vec<Target>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    wait: Histogram<u64>,
    delay: Histogram<u64>,
    messages: u64,
}

/// The resolution of the histograms and of end times, in ticks per mean length.
const TICKS_PER_UNIT: f64 = 1e6;

/// The longest time that the histograms resolve, in ticks: 100,000 mean lengths.
const MAX_TICKS: u64 = 100_000_000_000;

impl<'a> Run<'a> {
    fn new(setup: &'a Setup, policy: &'a dyn Binding) -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_TICKS, 3).expect("the bounds are valid constants");
        Self {
            setup,
            policy,
            requests: arrivals(setup),
            targets: (0..setup.targets).map(|_| Target::default()).collect(),
            ends: BinaryHeap::new(),
            wait: histogram(),
            delay: histogram(),
            messages: 0,
        }
    }

    fn run(&mut self) {
        for id in 0..self.requests.len() {
            let now = self.requests[id].arrived;
            self.finish_until(now);
            self.arrive(id, now);
        }
        self.finish_until(f64::INFINITY);
    }

    fn finish_until(&mut self, now: f64) {
        while let Some(Reverse((at, target))) = self.ends.peek().copied() {
            let at = float(at) / TICKS_PER_UNIT;
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
        let queues = candidates.map(|target| self.queue_state(target));
        self.messages += 1;
        if let Some(free) = queues.iter().position(|queue| queue.idle) {
            return self.start(id, candidates[free], now);
        }
        let bound = match self.policy.place(&queues) {
            Placement::Bound(index) => Some(index),
            Placement::Offered => None,
        };
        self.requests[id].bound = bound;
        if self.policy.notifies_all() {
            self.messages += 1;
        }
        for (index, target) in candidates.into_iter().enumerate() {
            if self.policy.notifies_all() || bound == Some(index) {
                self.targets[target].queue.push_back(id);
            }
        }
    }

    fn queue_state(&self, target: usize) -> QueueState {
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
        let Some(index) = self.policy.next(&offers) else { return };
        let id = self.targets[target].queue[index];
        let notified = self.policy.notifies_all();
        let claimed = notified && self.bound_to(id) != Some(target);
        // A claim, its grant and the withdrawal at the other candidate, or only the withdrawal.
        self.messages += if claimed { 3 } else { u64::from(notified) };
        for candidate in self.requests[id].candidates {
            self.targets[candidate].queue.retain(|&queued| queued != id);
        }
        let grant_delay = if claimed { self.setup.round_trip } else { 0.0 };
        self.start(id, target, now + grant_delay);
    }

    fn offer(&self, id: usize, target: usize) -> Offer {
        let [a, b] = self.requests[id].candidates;
        let other = &self.targets[if a == target { b } else { a }].queue;
        let bound = self.bound_to(id) == Some(target);
        Offer { bound, other_queue: other.len(), first_in_other_queue: other.front() == Some(&id) }
    }

    fn start(&mut self, id: usize, target: usize, at: f64) {
        self.targets[target].running += 1;
        let request = &mut self.requests[id];
        request.started = true;
        let end = at + request.length;
        self.ends.push(Reverse((count(end * TICKS_PER_UNIT), target)));
        if id >= self.setup.requests / 10 {
            self.wait.saturating_record(count((at - request.arrived) * TICKS_PER_UNIT));
            self.delay.saturating_record(count((end - request.arrived) * TICKS_PER_UNIT));
        }
    }

    fn results(&self) -> Results {
        let summary = |h: &Histogram<u64>| {
            let at = |quantile| float(h.value_at_quantile(quantile)) / TICKS_PER_UNIT;
            [h.mean() / TICKS_PER_UNIT, at(0.99), at(0.999)]
        };
        let requests = float(u64::try_from(self.requests.len()).unwrap_or(1)).max(1.0);
        let messages = float(self.messages) / requests;
        Results { wait: summary(&self.wait), delay: summary(&self.delay), messages }
    }
}

/// Generates the arrivals, which are the same for all policies.
fn arrivals(setup: &Setup) -> Vec<Request> {
    let mut random = Random::new(1);
    let slots = float(u64::try_from(setup.targets * setup.slots).unwrap_or(1));
    let mean_interval = 1.0 / (slots * setup.load);
    let mut now = 0.0;
    let mut request = || {
        let (interval, length) = match setup.lengths {
            Lengths::LogNormal { sigma } => {
                (random.exponential(mean_interval), random.log_normal(1.0, sigma))
            }
            Lengths::Paper => (mean_interval, 0.7 + 0.6 * random.unit()),
        };
        now += interval;
        let first = random.below(setup.targets);
        let second = (first + 1 + random.below(setup.targets - 1)) % setup.targets;
        Request { arrived: now, length, candidates: [first, second], bound: None, started: false }
    };
    (0..setup.requests + setup.requests / 10).map(|_| request()).collect()
}
