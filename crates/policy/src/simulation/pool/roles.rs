//! Role changes: what the planner observes, and how its orders are executed.

use super::{Event, Pool, TICK};
use crate::number::{float, span};
use crate::queue;
use crate::roles::{self, Demand};
use crate::simulation::engine::{CallIndex, SLOTS};
use conf::resource::Role;

impl Pool<'_> {
    pub(super) fn plan_roles(&mut self) {
        let now = self.time();
        let demand = std::mem::take(&mut self.demand);
        let demand = Demand { prompt: demand.prompt / TICK, output: demand.output / TICK };
        self.planner.observe(demand, now);
        let engines: Vec<roles::Engine> =
            (0..self.engines.len()).map(|e| self.engine_report(e)).collect();
        for change in self.planner.decide(&engines, now) {
            let engine = engines.iter().position(|engine| engine.name == change.target);
            if let Some(engine) = engine {
                self.start_role_change(engine, change.role);
            }
        }
    }

    fn engine_report(&self, index: usize) -> roles::Engine {
        let engine = &self.engines[index];
        roles::Engine {
            name: compact_str::format_compact!("engine-{index}"),
            domain: crate::hash(&format!("domain-{}", engine.setup.domain)),
            role: engine.role,
            changing: engine.changing,
            usable: engine.up,
            pinned: false,
            since: span(engine.role_since.max(0.0)),
            rates: engine.rates(),
        }
    }

    /// Begins a role change: the engine accepts no work until it ends, calls that wait or prefill
    /// there are submitted again, and its streams move to other engines with their KV cache.
    fn start_role_change(&mut self, engine: usize, role: Role) {
        self.results.role_changes += 1;
        self.progress(engine);
        self.engines[engine].changing = true;
        self.engines[engine].revision += 1;
        self.move_running(engine);
        self.move_waiting(engine);
        let outage = self.setup.roles.outage.as_secs_f64();
        self.schedule_after(outage, Event::RoleChanged { engine, role });
    }

    fn move_running(&mut self, engine: usize) {
        let running = self.engines[engine].drain_running();
        for (call, remaining) in running {
            self.release_slot(call, engine);
            if remaining.is_some() {
                self.calls[call].remaining_output = remaining;
                self.calls[call].decode_only = true;
                self.place_decode(call);
            } else {
                self.submit(call);
            }
        }
    }

    pub(super) fn finish_role_change(&mut self, engine: usize, role: Role) {
        let changed = &mut self.engines[engine];
        changed.role = role;
        changed.queue.set_slots(queue::slots(role, SLOTS));
        changed.changing = false;
        changed.role_since = self.now;
        self.progress(engine);
    }

    /// Returns the output tokens of a call that are still to be generated.
    pub(super) fn remaining_output(&self, call: CallIndex) -> f64 {
        self.calls[call]
            .remaining_output
            .unwrap_or_else(|| float(self.scenario.arrivals[call].output))
    }
}
