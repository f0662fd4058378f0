//! Role changes: the planner's view of the pool, and its orders carried out.

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
        let engines: Vec<roles::Engine> = (0..self.engines.len()).map(|e| self.report(e)).collect();
        for change in self.planner.decide(&engines, now) {
            let engine = engines.iter().position(|engine| engine.name == change.target);
            if let Some(engine) = engine {
                self.order(engine, change.role);
            }
        }
    }

    fn report(&self, index: usize) -> roles::Engine {
        let engine = &self.engines[index];
        roles::Engine {
            name: compact_str::format_compact!("engine-{index}"),
            domain: crate::hash(&format!("domain-{}", engine.setup.domain)),
            role: engine.role,
            changing: engine.changing,
            usable: engine.up,
            pinned: false,
            since: span(engine.since.max(0.0)),
            rates: engine.rates(),
        }
    }

    /// An engine that changes role takes no new work; its streams move with their KV cache.
    fn order(&mut self, engine: usize, role: Role) {
        self.figures.role_changes += 1;
        self.progress(engine);
        self.engines[engine].changing = true;
        self.engines[engine].epoch += 1;
        self.move_running(engine);
        self.move_waiting(engine);
        let outage = self.setup.roles.outage.as_secs_f64();
        self.after(outage, Event::RoleTaken { engine, role });
    }

    fn move_running(&mut self, engine: usize) {
        let left = self.engines[engine].take_running();
        for (call, left) in left {
            self.free(call, engine);
            if left.is_some() {
                self.calls[call].left = left;
                self.calls[call].handed_over = true;
                self.hand_over(call);
            } else {
                self.submit(call);
            }
        }
    }

    pub(super) fn take_role(&mut self, engine: usize, role: Role) {
        let taken = &mut self.engines[engine];
        taken.role = role;
        taken.queue.set_slots(queue::slots(role, SLOTS));
        taken.changing = false;
        taken.since = self.now;
        self.progress(engine);
    }

    /// Output tokens of a call that are still to be written, after moves.
    pub(super) fn output_left(&self, call: CallIndex) -> f64 {
        self.calls[call].left.unwrap_or_else(|| float(self.plan.arrivals[call].output))
    }
}
