//! Crashes, retries, and requests held apart for having run at one.

use super::{Event, Pool};
use crate::admission::Reason;
use crate::outlier::Sample;
use crate::quarantine::Verdict;
use crate::simulation::engine::CallIndex;
use crate::simulation::figures::Outcome;
use conf::resource::Role;

/// Seconds until an engine that crashed works again.
const RESTART: f64 = 30.0;

/// Seconds between looks whether a trial can begin.
const TRIAL_WAIT: f64 = 0.5;

/// Attempts of those who keep no budget.
const BASELINE_ATTEMPTS: u32 = 3;

impl Pool<'_> {
    /// An engine is gone, with all that ran there; what waited there goes elsewhere. What ran is
    /// suspect if the agent beside the engine lives on to say so; if the VM is gone, none is.
    pub(super) fn crash(&mut self, engine: usize, suspects: bool) {
        if !self.engines[engine].up {
            return;
        }
        self.engines[engine].advance(self.now);
        self.figures.crashes += 1;
        self.engines[engine].up = false;
        self.engines[engine].epoch += 1;
        let lost = self.engines[engine].take_running();
        for &(call, left) in &lost {
            // A stream resumes from the last token that was delivered.
            self.calls[call].left = left.or(self.calls[call].left);
            if suspects {
                self.suspect(call, engine);
            }
            self.free(call, engine);
        }
        if let Some(call) = self.engines[engine].exclusive.take() {
            self.after(TRIAL_WAIT, Event::Submit(call));
        }
        self.move_waiting(engine);
        for (call, _) in lost {
            self.sample(call, engine, Sample::Failed);
            self.retry(call, engine);
        }
        self.after(RESTART, Event::Up(engine));
    }

    /// Sends what waited at an engine elsewhere; it has not run, so that costs no retry.
    pub(super) fn move_waiting(&mut self, engine: usize) {
        let waits = |call: &CallIndex| self.calls[*call].places.contains(&engine);
        let waiting: Vec<CallIndex> = (0..self.calls.len()).filter(waits).collect();
        for call in waiting {
            self.engines[engine].queue.remove(u64::try_from(call).unwrap_or(u64::MAX));
            self.calls[call].places.retain(|place| *place != engine);
            if !self.calls[call].places.is_empty() {
                continue;
            }
            if self.calls[call].handed_over {
                self.hand_over(call);
            } else {
                self.submit(call);
            }
        }
    }

    fn retry(&mut self, call: CallIndex, engine: usize) {
        self.calls[call].attempts += 1;
        self.calls[call].handed_over = false;
        let attempts = self.calls[call].attempts;
        let now = self.time();
        let arrival = &self.plan.arrivals[call];
        let entry = &mut self.entries[arrival.entry];
        let target = entry.candidates[engine].name.clone();
        let wait = if self.setup.budgets {
            entry.budget.spend(&arrival.caller, &target, attempts, now, self.random.rng())
        } else {
            (attempts < BASELINE_ATTEMPTS).then_some(std::time::Duration::ZERO)
        };
        match wait {
            Some(wait) => {
                self.figures.retries += 1;
                self.after(wait.as_secs_f64(), Event::Submit(call));
            }
            None => self.end(call, Outcome::Failed),
        }
    }

    pub(super) fn come_up(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.progress(engine);
    }

    /// A poisonous request is the same each time; others are all different.
    fn fingerprint(&self, call: CallIndex) -> u64 {
        let arrival = &self.plan.arrivals[call];
        if arrival.poison { crate::hash(arrival.class) } else { u64::try_from(call).unwrap_or(0) }
    }

    fn suspect(&mut self, call: CallIndex, engine: usize) {
        let fingerprint = self.fingerprint(call);
        let history = self.crashes.0.entry(fingerprint).or_default();
        history.crashes += 1;
        if self.engines[engine].exclusive == Some(call) {
            history.alone += 1;
            history.running_alone = false;
        }
    }

    pub(super) fn verdict(&self, call: CallIndex) -> Verdict {
        if self.setup.quarantine {
            self.quarantine.decide(&self.crashes, self.fingerprint(call))
        } else {
            Verdict::Normal
        }
    }

    pub(super) fn clear_suspicion(&mut self, call: CallIndex) {
        let fingerprint = self.fingerprint(call);
        self.crashes.0.remove(&fingerprint);
    }

    /// Reserves the engine with the least to do for a suspect, once no other trial is there.
    pub(super) fn try_alone(&mut self, call: CallIndex) {
        let trials = self.engines.iter().filter(|engine| engine.exclusive.is_some()).count();
        let most = (self.engines.len() / 8).max(1);
        let free = (0..self.engines.len()).filter(|&index| {
            let engine = &self.engines[index];
            engine.works() && engine.exclusive.is_none() && engine.role == Role::Mixed
        });
        let least = free.min_by_key(|&index| self.engines[index].running().work());
        let Some(engine) = least.filter(|_| trials < most) else {
            return self.wait_for_trial(call);
        };
        let fingerprint = self.fingerprint(call);
        self.crashes.0.entry(fingerprint).or_default().running_alone = true;
        self.engines[engine].exclusive = Some(call);
        self.kick(engine);
    }

    pub(super) fn wait_for_trial(&mut self, call: CallIndex) {
        if self.is_given_up(call) {
            return self.end(call, Outcome::Refused(Reason::DeadlineUnreachable));
        }
        self.after(TRIAL_WAIT, Event::Submit(call));
    }

    /// Whether a call is too late; what has begun to stream resumes and is never given up.
    fn is_given_up(&self, call: CallIndex) -> bool {
        let arrival = &self.plan.arrivals[call];
        let late = self.now > arrival.at + arrival.deadline;
        late && self.calls[call].first_token.is_none()
    }

    /// Starts the trial for which an engine is reserved, once nothing else runs there.
    pub(super) fn start_trial(&mut self, engine: usize) {
        let Some(call) = self.engines[engine].exclusive else { return };
        let waits = self.calls[call].engine.is_none() && !self.calls[call].ended;
        if !waits {
            return;
        }
        if self.is_given_up(call) {
            // A trial that nobody waits for would only risk a second engine.
            let fingerprint = self.fingerprint(call);
            self.crashes.0.entry(fingerprint).or_default().running_alone = false;
            self.engines[engine].exclusive = None;
            return self.end(call, Outcome::Refused(Reason::DeadlineUnreachable));
        }
        if self.engines[engine].works() && self.engines[engine].is_idle() {
            self.start(call, engine);
        }
    }
}
