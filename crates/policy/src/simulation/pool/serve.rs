//! The stages of one call: routing, admission, queueing, prefill and decode.

use super::{Call, Event, Pool, model_name};
use crate::admission::{Reason, Request, Result, TargetState};
use crate::estimate::{Cost, Rates};
use crate::number::{count, float, span};
use crate::outlier::{Sample, Status};
use crate::quarantine;
use crate::queue::{self, Item, Pushed};
use crate::route::{Load, Query, Stage};
use crate::simulation::engine::{CallIndex, Completion, Engine};
use crate::simulation::results::Outcome;
use conf::resource::Role;

/// Seconds for the transfer of KV cache from a prefill engine to a decode engine.
const KV_TRANSFER_TIME: f64 = 0.05;

/// Seconds for claiming a call that was queued at two engines: one round trip to the entry.
const CLAIM_TIME: f64 = 0.000_5;

/// Seconds until the next attempt to place a call that needs an engine to decode.
const PLACEMENT_RETRY: f64 = 0.2;

/// The slowest output that is still useful to a caller, in seconds per token: three times the
/// objective of 48 ms.
const MAX_SECONDS_PER_TOKEN: f64 = 0.15;

/// Seconds that a poison request runs before it crashes its engine.
const POISON_DELAY: f64 = 0.3;

impl Pool<'_> {
    pub(super) fn arrive(&mut self, call: CallIndex) {
        let arrival = &self.scenario.arrivals[call];
        let now = self.time();
        let prompt = u32::try_from(arrival.prompt).unwrap_or(u32::MAX);
        let entry = &mut self.entries[arrival.entry];
        self.calls[call].cost = entry.estimator.cost(&arrival.caller, "lapis-small", prompt, 0);
        self.demand.prompt += float(self.calls[call].cost.prefill);
        self.demand.output += float(self.calls[call].cost.decode);
        self.results.attempts += 1;
        let tokens = self.calls[call].tokens();
        let opened = entry.limits.open(&arrival.caller, self.setup.limit, tokens, now);
        match opened {
            Ok(()) => {
                self.calls[call].admitted = true;
                self.submit(call);
            }
            Err(refusal) => self.finish(call, Outcome::Refused(refusal.reason)),
        }
    }

    /// Submits a call, for the first time or again.
    pub(super) fn submit(&mut self, call: CallIndex) {
        if self.calls[call].ended {
            return;
        }
        match self.quarantine_verdict(call) {
            quarantine::Verdict::Normal => self.route(call),
            quarantine::Verdict::Alone => self.reserve_trial(call),
            quarantine::Verdict::Wait => self.wait_for_trial(call),
            quarantine::Verdict::Refuse => self.finish(call, Outcome::Refused(Reason::Quarantined)),
        }
    }

    fn route(&mut self, call: CallIndex) {
        let stage = if self.has_prefill_engines() { Stage::Prefill } else { Stage::Whole };
        let mut reason = Reason::NoTarget;
        let mut placed = false;
        for engine in self.choose_engines(call, stage) {
            match self.enqueue(call, engine) {
                Ok(()) => placed = true,
                Err(refusal) => reason = refusal.reason,
            }
        }
        if !placed {
            return self.finish(call, Outcome::Refused(reason));
        }
        for engine in self.calls[call].queued_at.clone() {
            self.dispatch(engine);
        }
    }

    fn has_prefill_engines(&self) -> bool {
        self.engines.iter().any(|engine| engine.is_available() && engine.role == Role::Prefill)
    }

    /// Chooses the engines at which a call is queued: two with late binding, else one.
    fn choose_engines(&mut self, call: CallIndex, stage: Stage) -> Vec<usize> {
        let now = self.time();
        let arrival = &self.scenario.arrivals[call];
        let cost = self.calls[call].cost;
        let caller = arrival.caller.clone();
        let entry = &mut self.entries[arrival.entry];
        for (index, candidate) in entry.candidates.iter_mut().enumerate() {
            let engine = &self.engines[index];
            let status = entry.outliers.status(&candidate.name, now);
            let ejected = self.setup.outliers && status == Status::Ejected;
            candidate.usable = engine.is_available() && engine.exclusive.is_none() && !ejected;
            candidate.role = engine.role;
        }
        let query = Query {
            serves: model_name(),
            cost,
            prefix: arrival.prefix,
            domain: entry.domain,
            stage,
        };
        let rng = self.random.rng();
        let Some(choice) = entry.route.choose(&query, &entry.candidates, now, rng) else {
            return Vec::new();
        };
        let max_chosen = if self.setup.late_binding { 2 } else { 1 };
        let chosen: Vec<usize> = choice.indexes().take(max_chosen).collect();
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

    /// Queues a call at an engine, if the engine's agent admits it.
    fn enqueue(&mut self, call: CallIndex, engine: usize) -> Result<()> {
        self.results.messages += 1;
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
        self.calls[call].queued_at.push(engine);
        for item in displaced {
            self.dequeued(item.value, engine, Reason::QueueFull);
        }
        Ok(())
    }

    fn admit(&self, call: CallIndex, engine: usize) -> Result<()> {
        let arrival = &self.scenario.arrivals[call];
        let cost = self.calls[call].cost;
        let deadline = Some(span(arrival.at + arrival.deadline));
        let state = self.target_state(call, engine);
        self.admission.decide(&Request { cost, deadline }, &state, self.time()).map(|_| ())
    }

    /// Returns the work ahead of a call at an engine, and the rates at which it is done. At a
    /// prefill engine the output of its prompts counts as well, at its share of the pool's decode
    /// rate: prompts are held back until their output finds a slot.
    fn target_state(&self, call: CallIndex, index: usize) -> TargetState {
        let arrival = &self.scenario.arrivals[call];
        let engine = &self.engines[index];
        let ahead = engine.queue.ahead(&arrival.caller, arrival.urgent);
        let prefill = Cost::new(engine.running().prefill, 0);
        let mut rates = engine.rates();
        if engine.role == Role::Prefill {
            let peers = self.engines.iter().filter(|e| e.is_available() && e.role == Role::Prefill);
            let peers = u64::try_from(peers.count()).unwrap_or(1).max(1);
            rates.decode = self.decode_rate() / float(peers);
        }
        TargetState { ahead: ahead + prefill, rates, accepting: engine.is_available() }
    }

    /// Returns the output tokens per second of all engines that decode.
    fn decode_rate(&self) -> f64 {
        let decodes = |engine: &&Engine| engine.is_available() && engine.role != Role::Prefill;
        self.engines.iter().filter(decodes).map(|engine| engine.rates().decode).sum()
    }

    /// Returns whether a prefill may start, because its output will soon find a slot.
    fn may_start_prefill(&self) -> bool {
        let begun = self.engines.iter().map(|engine| engine.queue.backlog().begun);
        let begun = begun.fold(Cost::default(), |sum, cost| sum + cost);
        self.admission
            .may_start_prefill(begun, &Rates { decode: self.decode_rate(), ..Rates::default() })
    }

    fn push(&mut self, call: CallIndex, engine: usize) -> Pushed<CallIndex> {
        let arrival = &self.scenario.arrivals[call];
        let Call { cost, decode_only, .. } = self.calls[call];
        let prefill = Cost::new(cost.prefill, 0).seconds(&self.engines[engine].rates());
        let due = span(arrival.at + arrival.deadline - prefill);
        let item = Item {
            id: u64::try_from(call).unwrap_or(u64::MAX),
            caller: arrival.caller.clone(),
            weight: 1,
            urgent: arrival.urgent,
            cost: if decode_only { Cost::new(0, cost.decode) } else { cost },
            deadline: (!decode_only).then_some(due),
            begun: decode_only,
            value: call,
        };
        let now = self.time();
        self.engines[engine].queue.push(item, now)
    }

    /// Handles a call that a queue has dropped; the call ends if it is queued nowhere else.
    fn dequeued(&mut self, call: CallIndex, engine: usize, reason: Reason) {
        self.calls[call].queued_at.retain(|queued| *queued != engine);
        if self.calls[call].decode_only {
            self.schedule_after(PLACEMENT_RETRY, Event::PlaceDecode(call));
        } else if self.calls[call].queued_at.is_empty() && self.calls[call].engine.is_none() {
            self.finish(call, Outcome::Refused(reason));
        }
    }

    /// Starts queued calls at an engine, and prefills elsewhere for which it has made room.
    pub(super) fn dispatch(&mut self, engine: usize) {
        self.start_queued(engine);
        if self.engines[engine].role == Role::Prefill {
            return;
        }
        for index in 0..self.engines.len() {
            let other = &self.engines[index];
            if other.role == Role::Prefill && other.queue.backlog().requests > 0 {
                self.progress(index);
            }
        }
    }

    /// Starts queued calls at an engine and schedules its next event.
    fn start_queued(&mut self, engine: usize) {
        let now = self.time();
        for item in self.engines[engine].queue.expire(now) {
            self.dequeued(item.value, engine, Reason::DeadlineUnreachable);
        }
        while self.can_start(engine) {
            let Some(item) = self.engines[engine].queue.pop(now) else { break };
            self.start(item.value, engine);
        }
        self.start_trial(engine);
        self.engines[engine].revision += 1;
        let revision = self.engines[engine].revision;
        if let Some(at) = self.engines[engine].next_completion() {
            self.schedule(at, Event::Progress { engine, revision });
        }
    }

    fn can_start(&self, engine: usize) -> bool {
        let engine = &self.engines[engine];
        let free = engine.is_available() && engine.exclusive.is_none();
        let urgent = engine.queue.backlog().urgent > 0;
        free && (engine.role != Role::Prefill || urgent || self.may_start_prefill())
    }

    pub(super) fn start(&mut self, call: CallIndex, engine: usize) {
        let late_bound = self.calls[call].queued_at.len() > 1;
        let id = u64::try_from(call).unwrap_or(u64::MAX);
        for queued in std::mem::take(&mut self.calls[call].queued_at) {
            if queued != engine {
                self.engines[queued].queue.remove(id);
            }
        }
        self.results.messages += if late_bound { 3 } else { 0 };
        let arrival = &self.scenario.arrivals[call];
        self.calls[call].engine = Some(engine);
        self.calls[call].started = self.now;
        if self.calls[call].decode_only {
            let remaining = self.remaining_output(call);
            return self.engines[engine].add_decode(call, remaining);
        }
        let rates = self.engines[engine].rates();
        let claim = if late_bound { CLAIM_TIME * rates.prefill } else { 0.0 };
        let hit = arrival.prefix != 0 && self.engines[engine].touch_prefix(arrival.prefix);
        let uncached = if hit { 1.0 - arrival.prefix_share } else { 1.0 };
        let cached = float(arrival.prompt) * (1.0 - uncached);
        self.calls[call].cached = u32::try_from(count(cached)).unwrap_or(0);
        let short = !queue::Settings::default().is_long(&self.calls[call].cost);
        let prioritized = self.setup.priorities && (arrival.urgent || short);
        let tokens = float(arrival.prompt) * uncached + claim;
        self.engines[engine].add_prefill(call, tokens, prioritized);
        if arrival.poison {
            self.schedule_after(POISON_DELAY, Event::PoisonCrash { engine, call });
        }
    }

    /// Advances an engine to the current time and handles what has finished there.
    pub(super) fn progress(&mut self, engine: usize) {
        let now = self.now;
        for completion in self.engines[engine].advance(now) {
            match completion {
                Completion::Prefill(call) => self.finish_prefill(call, engine),
                Completion::Decode(call) => self.finish_decode(call, engine),
            }
        }
        self.dispatch(engine);
    }

    /// Handles the end of a prefill, with which the first token is out.
    fn finish_prefill(&mut self, call: CallIndex, engine: usize) {
        if self.calls[call].first_token.is_none() {
            self.calls[call].first_token = Some(self.now);
        }
        self.sample_speed(call, engine, false);
        if self.engines[engine].role == Role::Prefill {
            self.release_slot(call, engine);
            self.calls[call].decode_only = true;
            return self.schedule_after(KV_TRANSFER_TIME, Event::PlaceDecode(call));
        }
        let remaining = self.remaining_output(call);
        self.engines[engine].add_decode(call, remaining);
    }

    /// Queues a call that only needs to decode at the engines chosen for that.
    pub(super) fn place_decode(&mut self, call: CallIndex) {
        if self.calls[call].ended || !self.calls[call].queued_at.is_empty() {
            return;
        }
        let chosen = self.choose_engines(call, Stage::Decode);
        for &engine in &chosen {
            self.results.messages += 1;
            match self.push(call, engine) {
                Pushed::Queued => {}
                Pushed::Displaced(items) => {
                    items
                        .into_iter()
                        .for_each(|item| self.dequeued(item.value, engine, Reason::QueueFull));
                }
                Pushed::Full(_) => continue,
            }
            self.calls[call].queued_at.push(engine);
        }
        if self.calls[call].queued_at.is_empty() {
            return self.schedule_after(PLACEMENT_RETRY, Event::PlaceDecode(call));
        }
        for engine in chosen {
            if self.calls[call].engine.is_none() {
                self.dispatch(engine);
            }
        }
    }

    /// Handles the end of a call's output.
    fn finish_decode(&mut self, call: CallIndex, engine: usize) {
        self.release_slot(call, engine);
        self.sample_speed(call, engine, true);
        self.clear_suspicion(call);
        let arrival = &self.scenario.arrivals[call];
        let output = u32::try_from(arrival.output).unwrap_or(u32::MAX);
        let estimator = &mut self.entries[arrival.entry].estimator;
        estimator.learn(&arrival.caller, "lapis-small", output);
        let prompt = u32::try_from(arrival.prompt).unwrap_or(u32::MAX);
        estimator.learn_cached(&arrival.caller, "lapis-small", prompt, self.calls[call].cached);
        let due = arrival.at + arrival.deadline;
        let first = self.calls[call].first_token.unwrap_or(self.now);
        let in_time =
            first <= due && self.now <= due + float(arrival.output) * MAX_SECONDS_PER_TOKEN;
        self.finish(call, if in_time { Outcome::InTime } else { Outcome::Late });
        self.report_load(engine, arrival.entry);
    }

    /// Releases the slot of a call that has ended at an engine.
    pub(super) fn release_slot(&mut self, call: CallIndex, engine: usize) {
        self.engines[engine].queue.done(u64::try_from(call).unwrap_or(u64::MAX));
        self.calls[call].engine = None;
        if self.engines[engine].exclusive == Some(call) {
            self.engines[engine].exclusive = None;
        }
    }

    /// Reports the load of an engine to an entry, as each response does.
    pub(super) fn report_load(&mut self, engine: usize, entry: usize) {
        let now = self.time();
        let source = &self.engines[engine];
        let backlog = source.queue.backlog();
        let requests = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let load = Load {
            cost: backlog.cost + source.running(),
            running: requests(source.queue.running()),
            waiting: requests(backlog.requests),
            slots: super::super::engine::SLOTS,
            rates: source.rates(),
        };
        self.entries[entry].candidates[engine].update_load(load, now);
    }

    /// Samples the time that a call took, relative to that of an engine with the default rates.
    fn sample_speed(&mut self, call: CallIndex, engine: usize, completed: bool) {
        let arrival = &self.scenario.arrivals[call];
        let rates = crate::estimate::Rates::default();
        let output = if completed { float(arrival.output) } else { 0.0 };
        let prefill = float(arrival.prompt) / rates.prefill;
        let expected = prefill + output * f64::from(super::super::engine::SLOTS) / rates.decode;
        let relative = (self.now - self.calls[call].started) / expected.max(1e-3);
        if !self.calls[call].decode_only {
            self.sample(call, engine, Sample::Completed { seconds_per_unit: relative });
        }
    }

    pub(super) fn sample(&mut self, call: CallIndex, engine: usize, sample: Sample) {
        let now = self.time();
        let entry = &mut self.entries[self.scenario.arrivals[call].entry];
        let name = entry.candidates[engine].name.clone();
        entry.outliers.sample(&name, sample, now);
    }
}
