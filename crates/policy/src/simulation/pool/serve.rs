//! The way of one call: chosen, admitted, queued, started, read, written.

use super::{Call, Event, Pool, model};
use crate::admission::{Reason, Request, Result, TargetState};
use crate::estimate::{Cost, Rates};
use crate::number::{count, float, span};
use crate::outlier::{Sample, Status};
use crate::quarantine;
use crate::queue::{self, Item, Pushed};
use crate::route::{Load, Query, Stage};
use crate::simulation::engine::{CallIndex, Done, Engine};
use crate::simulation::figures::Outcome;
use conf::resource::Role;

/// Seconds in which KV cache goes from a prefill engine to another.
const HAND_OVER: f64 = 0.05;

/// Seconds of the claim of a request that waited at two targets: one round trip to the entry.
const CLAIM: f64 = 0.000_5;

/// Seconds between tries to place a call that was handed over, or waits for a trial.
const AGAIN: f64 = 0.2;

/// Seconds for each output token after which a caller takes no more: three times the goal of
/// 48 ms.
const PATIENCE: f64 = 0.15;

/// Seconds that a poisonous request runs before it crashes its engine.
const FUSE: f64 = 0.3;

impl Pool<'_> {
    pub(super) fn arrive(&mut self, call: CallIndex) {
        let arrival = &self.plan.arrivals[call];
        let now = self.time();
        let prompt = u32::try_from(arrival.prompt).unwrap_or(u32::MAX);
        let entry = &mut self.entries[arrival.entry];
        self.calls[call].cost = entry.estimator.cost(&arrival.caller, "lapis-small", prompt, 0);
        self.demand.prompt += float(self.calls[call].cost.prefill);
        self.demand.output += float(self.calls[call].cost.decode);
        self.figures.attempts += 1;
        let tokens = self.calls[call].tokens();
        let opened = entry.limits.open(&arrival.caller, self.setup.limit, tokens, now);
        match opened {
            Ok(()) => {
                self.calls[call].admitted = true;
                self.submit(call);
            }
            Err(refusal) => self.end(call, Outcome::Refused(refusal.reason)),
        }
    }

    /// Sends a call on its way, for the first time or again.
    pub(super) fn submit(&mut self, call: CallIndex) {
        if self.calls[call].ended {
            return;
        }
        match self.verdict(call) {
            quarantine::Verdict::Normal => self.route(call),
            quarantine::Verdict::Alone => self.try_alone(call),
            quarantine::Verdict::Wait => self.wait_for_trial(call),
            quarantine::Verdict::Refuse => self.end(call, Outcome::Refused(Reason::Quarantined)),
        }
    }

    fn route(&mut self, call: CallIndex) {
        let stage = if self.has_prefill_engines() { Stage::Prefill } else { Stage::Whole };
        let mut reason = Reason::NoTarget;
        let mut placed = false;
        for engine in self.choose(call, stage) {
            match self.place(call, engine) {
                Ok(()) => placed = true,
                Err(refusal) => reason = refusal.reason,
            }
        }
        if !placed {
            return self.end(call, Outcome::Refused(reason));
        }
        for engine in self.calls[call].places.clone() {
            self.kick(engine);
        }
    }

    fn has_prefill_engines(&self) -> bool {
        self.engines.iter().any(|engine| engine.works() && engine.role == Role::Prefill)
    }

    /// The engines that a call goes to.
    fn choose(&mut self, call: CallIndex, stage: Stage) -> Vec<usize> {
        let now = self.time();
        let arrival = &self.plan.arrivals[call];
        let cost = self.calls[call].cost;
        let caller = arrival.caller.clone();
        let entry = &mut self.entries[arrival.entry];
        for (index, candidate) in entry.candidates.iter_mut().enumerate() {
            let engine = &self.engines[index];
            let verdict = entry.outliers.status(&candidate.name, now);
            let relieved = self.setup.outliers && verdict == Status::Ejected;
            candidate.usable = engine.works() && engine.exclusive.is_none() && !relieved;
            candidate.role = engine.role;
        }
        let query =
            Query { serves: model(), cost, prefix: arrival.prefix, domain: entry.domain, stage };
        let rng = self.random.rng();
        let Some(choice) = entry.route.choose(&query, &entry.candidates, now, rng) else {
            return Vec::new();
        };
        let many = if self.setup.late { 2 } else { 1 };
        let chosen: Vec<usize> = choice.indexes().take(many).collect();
        for &index in &chosen {
            entry.candidates[index].record_sent(cost);
            let name = entry.candidates[index].name.clone();
            entry.budget.earn(&caller, &name, now);
            if entry.outliers.status(&name, now) == Status::Probe {
                entry.outliers.probe_sent(&name, now);
            }
        }
        chosen
    }

    /// Queues a call at an engine, if its agent admits it.
    fn place(&mut self, call: CallIndex, engine: usize) -> Result<()> {
        self.figures.messages += 1;
        if self.engines[engine].setup.failing {
            self.sample(call, engine, Sample::Failed);
            return Err(self.admission.refuse(Reason::NoTarget, span(0.0)));
        }
        if self.setup.admission {
            self.admit(call, engine)?;
        }
        let pushed = self.push(call, engine);
        let displaced = match pushed {
            Pushed::Queued => Vec::new(),
            Pushed::Displaced(items) => items,
            Pushed::Full(_) => return Err(self.admission.refuse(Reason::QueueFull, span(0.0))),
        };
        self.calls[call].places.push(engine);
        for item in displaced {
            self.leave(item.value, engine, Reason::QueueFull);
        }
        Ok(())
    }

    fn admit(&self, call: CallIndex, engine: usize) -> Result<()> {
        let arrival = &self.plan.arrivals[call];
        let cost = self.calls[call].cost;
        let deadline = Some(span(arrival.at + arrival.deadline));
        let view = self.view(call, engine);
        self.admission.decide(&Request { cost, deadline }, &view, self.time()).map(|_| ())
    }

    /// What a call would wait behind at an engine. Before a prefill engine that is also the output
    /// that its prompts will need elsewhere, which holds them back.
    fn view(&self, call: CallIndex, index: usize) -> TargetState {
        let arrival = &self.plan.arrivals[call];
        let engine = &self.engines[index];
        let ahead = engine.queue.ahead(&arrival.caller, arrival.urgent);
        let reading = Cost::new(engine.running().prefill, 0);
        let mut rates = engine.rates();
        if engine.role == Role::Prefill {
            let readers = self.engines.iter().filter(|e| e.works() && e.role == Role::Prefill);
            let readers = u64::try_from(readers.count()).unwrap_or(1).max(1);
            rates.decode = self.writing_rate() / float(readers);
        }
        TargetState { ahead: ahead + reading, rates, accepting: engine.works() }
    }

    /// Output tokens a second of all engines that write.
    fn writing_rate(&self) -> f64 {
        let writes = |engine: &&Engine| engine.works() && engine.role != Role::Prefill;
        self.engines.iter().filter(writes).map(|engine| engine.rates().decode).sum()
    }

    /// Whether a prompt may be read because its output will soon find a slot.
    fn has_room(&self) -> bool {
        let begun = self.engines.iter().map(|engine| engine.queue.backlog().begun);
        let begun = begun.fold(Cost::default(), |sum, cost| sum + cost);
        self.admission
            .may_start_prefill(begun, &Rates { decode: self.writing_rate(), ..Rates::default() })
    }

    fn push(&mut self, call: CallIndex, engine: usize) -> Pushed<CallIndex> {
        let arrival = &self.plan.arrivals[call];
        let Call { cost, handed_over, .. } = self.calls[call];
        let prefill = Cost::new(cost.prefill, 0).seconds(&self.engines[engine].rates());
        let due = span(arrival.at + arrival.deadline - prefill);
        let item = Item {
            id: u64::try_from(call).unwrap_or(u64::MAX),
            caller: arrival.caller.clone(),
            weight: 1,
            urgent: arrival.urgent,
            cost: if handed_over { Cost::new(0, cost.decode) } else { cost },
            deadline: (!handed_over).then_some(due),
            begun: handed_over,
            value: call,
        };
        let now = self.time();
        self.engines[engine].queue.push(item, now)
    }

    /// A call has left the queue of an engine; it ends if it waits nowhere else.
    fn leave(&mut self, call: CallIndex, engine: usize, reason: Reason) {
        self.calls[call].places.retain(|place| *place != engine);
        if self.calls[call].handed_over {
            self.after(AGAIN, Event::HandOver(call));
        } else if self.calls[call].places.is_empty() && self.calls[call].engine.is_none() {
            self.end(call, Outcome::Refused(reason));
        }
    }

    /// Starts what may start at an engine, and what that makes room for at prefill engines.
    pub(super) fn kick(&mut self, engine: usize) {
        self.start_all(engine);
        if self.engines[engine].role == Role::Prefill {
            return;
        }
        for index in 0..self.engines.len() {
            let reader = &self.engines[index];
            if reader.role == Role::Prefill && reader.queue.backlog().requests > 0 {
                self.progress(index);
            }
        }
    }

    /// Starts what may start at an engine, and plans its next event.
    fn start_all(&mut self, engine: usize) {
        let now = self.time();
        for item in self.engines[engine].queue.expire(now) {
            self.leave(item.value, engine, Reason::DeadlineUnreachable);
        }
        while self.may_start(engine) {
            let Some(item) = self.engines[engine].queue.pop(now) else { break };
            self.start(item.value, engine);
        }
        self.start_trial(engine);
        self.engines[engine].epoch += 1;
        let epoch = self.engines[engine].epoch;
        if let Some(at) = self.engines[engine].next() {
            self.at(at, Event::Engine { engine, epoch });
        }
    }

    fn may_start(&self, engine: usize) -> bool {
        let engine = &self.engines[engine];
        let free = engine.works() && engine.exclusive.is_none();
        let urgent = engine.queue.backlog().urgent > 0;
        free && (engine.role != Role::Prefill || urgent || self.has_room())
    }

    pub(super) fn start(&mut self, call: CallIndex, engine: usize) {
        let late = self.calls[call].places.len() > 1;
        let id = u64::try_from(call).unwrap_or(u64::MAX);
        for place in std::mem::take(&mut self.calls[call].places) {
            if place != engine {
                self.engines[place].queue.remove(id);
            }
        }
        self.figures.messages += if late { 3 } else { 0 };
        let arrival = &self.plan.arrivals[call];
        self.calls[call].engine = Some(engine);
        self.calls[call].started = self.now;
        if self.calls[call].handed_over {
            let left = self.output_left(call);
            return self.engines[engine].add_decode(call, left);
        }
        let rates = self.engines[engine].rates();
        let claim = if late { CLAIM * rates.prefill } else { 0.0 };
        let hit = arrival.prefix != 0 && self.engines[engine].hits(arrival.prefix);
        let read = if hit { 1.0 - arrival.prefix_share } else { 1.0 };
        let cached = float(arrival.prompt) * (1.0 - read);
        self.calls[call].cached = u32::try_from(count(cached)).unwrap_or(0);
        let short = !queue::Settings::default().is_long(&self.calls[call].cost);
        let goes_first = self.setup.priorities && (arrival.urgent || short);
        let tokens = float(arrival.prompt) * read + claim;
        self.engines[engine].add_prefill(call, tokens, goes_first);
        if arrival.poison {
            self.after(FUSE, Event::Poison { engine, call });
        }
    }

    /// Brings an engine up to now and deals with what has finished there.
    pub(super) fn progress(&mut self, engine: usize) {
        let now = self.now;
        for done in self.engines[engine].advance(now) {
            match done {
                Done::Prefill(call) => self.read(call, engine),
                Done::Decode(call) => self.written(call, engine),
            }
        }
        self.kick(engine);
    }

    /// The prompt is read, and the first token is out.
    fn read(&mut self, call: CallIndex, engine: usize) {
        if self.calls[call].first_token.is_none() {
            self.calls[call].first_token = Some(self.now);
        }
        self.sample_pace(call, engine, false);
        if self.engines[engine].role == Role::Prefill {
            self.free(call, engine);
            self.calls[call].handed_over = true;
            return self.after(HAND_OVER, Event::HandOver(call));
        }
        let left = self.output_left(call);
        self.engines[engine].add_decode(call, left);
    }

    /// Offers a call whose prompt was read to engines that write.
    pub(super) fn hand_over(&mut self, call: CallIndex) {
        if self.calls[call].ended || !self.calls[call].places.is_empty() {
            return;
        }
        let chosen = self.choose(call, Stage::Decode);
        for &engine in &chosen {
            self.figures.messages += 1;
            match self.push(call, engine) {
                Pushed::Queued => {}
                Pushed::Displaced(items) => {
                    items
                        .into_iter()
                        .for_each(|item| self.leave(item.value, engine, Reason::QueueFull));
                }
                Pushed::Full(_) => continue,
            }
            self.calls[call].places.push(engine);
        }
        if self.calls[call].places.is_empty() {
            return self.after(AGAIN, Event::HandOver(call));
        }
        for engine in chosen {
            if self.calls[call].engine.is_none() {
                self.kick(engine);
            }
        }
    }

    /// The output is written to its end.
    fn written(&mut self, call: CallIndex, engine: usize) {
        self.free(call, engine);
        self.sample_pace(call, engine, true);
        self.clear_suspicion(call);
        let arrival = &self.plan.arrivals[call];
        let output = u32::try_from(arrival.output).unwrap_or(u32::MAX);
        let estimator = &mut self.entries[arrival.entry].estimator;
        estimator.learn(&arrival.caller, "lapis-small", output);
        let prompt = u32::try_from(arrival.prompt).unwrap_or(u32::MAX);
        estimator.learn_cached(&arrival.caller, "lapis-small", prompt, self.calls[call].cached);
        let due = arrival.at + arrival.deadline;
        let first = self.calls[call].first_token.unwrap_or(self.now);
        let in_time = first <= due && self.now <= due + float(arrival.output) * PATIENCE;
        self.end(call, if in_time { Outcome::Useful } else { Outcome::Late });
        self.tell(engine, arrival.entry);
    }

    /// Frees the slot of a call that has ended at an engine.
    pub(super) fn free(&mut self, call: CallIndex, engine: usize) {
        self.engines[engine].queue.done(u64::try_from(call).unwrap_or(u64::MAX));
        self.calls[call].engine = None;
        if self.engines[engine].exclusive == Some(call) {
            self.engines[engine].exclusive = None;
        }
    }

    /// Tells an entry the load of an engine, as each reply does.
    pub(super) fn tell(&mut self, engine: usize, entry: usize) {
        let now = self.time();
        let source = &self.engines[engine];
        let backlog = source.queue.backlog();
        let requests = |many: usize| u32::try_from(many).unwrap_or(u32::MAX);
        let load = Load {
            cost: backlog.cost + source.running(),
            running: requests(source.queue.running()),
            waiting: requests(backlog.requests),
            slots: super::super::engine::SLOTS,
            rates: source.rates(),
        };
        self.entries[entry].candidates[engine].update_load(load, now);
    }

    /// Compares the time that a call took with what it takes a usual engine.
    fn sample_pace(&mut self, call: CallIndex, engine: usize, whole: bool) {
        let arrival = &self.plan.arrivals[call];
        let usual = crate::estimate::Rates::default();
        let written = if whole { float(arrival.output) } else { 0.0 };
        let read = float(arrival.prompt) / usual.prefill;
        let expected = read + written * f64::from(super::super::engine::SLOTS) / usual.decode;
        let pace = (self.now - self.calls[call].started) / expected.max(1e-3);
        if !self.calls[call].handed_over {
            self.sample(call, engine, Sample::Completed { seconds_per_unit: pace });
        }
    }

    pub(super) fn sample(&mut self, call: CallIndex, engine: usize, sample: Sample) {
        let now = self.time();
        let entry = &mut self.entries[self.plan.arrivals[call].entry];
        let name = entry.candidates[engine].name.clone();
        entry.outliers.sample(&name, sample, now);
    }
}
