//! Crashes of engines, retries, and the quarantine of calls that ran when an engine crashed.

use super::{Event, Pool};
use crate::admission::Reason;
use crate::outlier::Sample;
use crate::quarantine::Verdict;
use crate::simulation::engine::CallIndex;
use crate::simulation::results::Outcome;
use conf::resource::Role;

/// Seconds until a crashed engine is available again.
const RESTART_TIME: f64 = 30.0;

/// Seconds until a call that waits for a trial is submitted again.
const TRIAL_RETRY: f64 = 0.5;

/// Attempts per call in setups without retry budgets.
const BASELINE_ATTEMPTS: u32 = 3;

impl Pool<'_> {
    /// Stops an engine: calls that ran there fail, and calls that waited there move to others. The
    /// running calls become suspects only if the engine's agent survives to report them, which it
    /// does not if the whole VM is lost.
    pub(super) fn crash(&mut self, engine: usize, agent_survives: bool) {
        if !self.engines[engine].up {
            return;
        }
        self.engines[engine].advance(self.now);
        self.results.crashes += 1;
        self.engines[engine].up = false;
        self.engines[engine].revision += 1;
        let lost = self.engines[engine].drain_running();
        for &(call, remaining) in &lost {
            // A stream resumes from the last token that was delivered.
            self.calls[call].remaining_output = remaining.or(self.calls[call].remaining_output);
            if agent_survives {
                self.record_suspect(call, engine);
            }
            self.release_slot(call, engine);
        }
        if let Some(call) = self.engines[engine].exclusive.take() {
            self.schedule_after(TRIAL_RETRY, Event::Submit(call));
        }
        self.move_waiting(engine);
        for (call, _) in lost {
            self.sample(call, engine, Sample::Failed);
            self.retry(call, engine);
        }
        self.schedule_after(RESTART_TIME, Event::Restart(engine));
    }

    /// Moves calls that waited at an engine to others. They have not run, so this costs no retry.
    pub(super) fn move_waiting(&mut self, engine: usize) {
        let waits = |call: &CallIndex| self.calls[*call].queued_at.contains(&engine);
        let waiting: Vec<CallIndex> = (0..self.calls.len()).filter(waits).collect();
        for call in waiting {
            self.engines[engine].queue.remove(u64::try_from(call).unwrap_or(u64::MAX));
            self.calls[call].queued_at.retain(|queued| *queued != engine);
            if !self.calls[call].queued_at.is_empty() {
                continue;
            }
            if self.calls[call].decode_only {
                self.place_decode(call);
            } else {
                self.submit(call);
            }
        }
    }

    fn retry(&mut self, call: CallIndex, engine: usize) {
        self.calls[call].attempts += 1;
        self.calls[call].decode_only = false;
        let attempts = self.calls[call].attempts;
        let now = self.time();
        let arrival = &self.scenario.arrivals[call];
        let entry = &mut self.entries[arrival.entry];
        let target = entry.candidates[engine].name.clone();
        let wait = if self.setup.retry_budgets {
            entry.budget.spend(&arrival.caller, &target, attempts, now, self.random.rng())
        } else {
            (attempts < BASELINE_ATTEMPTS).then_some(std::time::Duration::ZERO)
        };
        match wait {
            Some(wait) => {
                self.results.retries += 1;
                self.schedule_after(wait.as_secs_f64(), Event::Submit(call));
            }
            None => self.finish(call, Outcome::Failed),
        }
    }

    pub(super) fn restart(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.progress(engine);
    }

    /// Returns the fingerprint of the request: the same for all poison requests of a class, and a
    /// different one for each other call.
    fn fingerprint(&self, call: CallIndex) -> u64 {
        let arrival = &self.scenario.arrivals[call];
        if arrival.poison { crate::hash(arrival.class) } else { u64::try_from(call).unwrap_or(0) }
    }

    fn record_suspect(&mut self, call: CallIndex, engine: usize) {
        let fingerprint = self.fingerprint(call);
        let history = self.crash_log.0.entry(fingerprint).or_default();
        history.crashes += 1;
        if self.engines[engine].exclusive == Some(call) {
            history.alone += 1;
            history.running_alone = false;
        }
    }

    pub(super) fn quarantine_verdict(&self, call: CallIndex) -> Verdict {
        if self.setup.quarantine {
            self.quarantine.decide(&self.crash_log, self.fingerprint(call))
        } else {
            Verdict::Normal
        }
    }

    pub(super) fn clear_suspicion(&mut self, call: CallIndex) {
        let fingerprint = self.fingerprint(call);
        self.crash_log.0.remove(&fingerprint);
    }

    /// Reserves the least loaded engine for running a suspect alone, or waits while too many
    /// engines are reserved.
    pub(super) fn reserve_trial(&mut self, call: CallIndex) {
        let trials = self.engines.iter().filter(|engine| engine.exclusive.is_some()).count();
        let max_trials = (self.engines.len() / 8).max(1);
        let free = (0..self.engines.len()).filter(|&index| {
            let engine = &self.engines[index];
            engine.is_available() && engine.exclusive.is_none() && engine.role == Role::Mixed
        });
        let least = free.min_by_key(|&index| self.engines[index].running().work());
        let Some(engine) = least.filter(|_| trials < max_trials) else {
            return self.wait_for_trial(call);
        };
        let fingerprint = self.fingerprint(call);
        self.crash_log.0.entry(fingerprint).or_default().running_alone = true;
        self.engines[engine].exclusive = Some(call);
        self.dispatch(engine);
    }

    pub(super) fn wait_for_trial(&mut self, call: CallIndex) {
        if self.is_expired(call) {
            return self.finish(call, Outcome::Refused(Reason::DeadlineUnreachable));
        }
        self.schedule_after(TRIAL_RETRY, Event::Submit(call));
    }

    /// Returns whether a call is past its deadline; a call that has begun to stream never expires.
    fn is_expired(&self, call: CallIndex) -> bool {
        let arrival = &self.scenario.arrivals[call];
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
        if self.is_expired(call) {
            // The caller no longer waits: a trial would only risk another engine.
            let fingerprint = self.fingerprint(call);
            self.crash_log.0.entry(fingerprint).or_default().running_alone = false;
            self.engines[engine].exclusive = None;
            return self.finish(call, Outcome::Refused(Reason::DeadlineUnreachable));
        }
        if self.engines[engine].is_available() && self.engines[engine].is_idle() {
            self.start(call, engine);
        }
    }
}
