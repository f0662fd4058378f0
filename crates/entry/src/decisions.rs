//! Applies the algorithms of [`policy`] with this entry's state, clock and random numbers.

use crate::Reason;
use crate::duplicates::Duplicates;
use crate::outcome::{AttemptHistory, Failure};
use crate::random::Random;
use crate::target_table::{SelectedTarget, TargetTable};
use crate::versions::Versions;
use crate::view::ConfiguredCaller;
use compact_str::CompactString;
use conf::Name;
use policy::Time;
use policy::admission::{self, Admission, Request};
use policy::estimate::{Cost, Estimator};
use policy::limits::{Limit, Limits};
use policy::outlier::Sample;
use policy::quarantine::{CrashHistory, CrashRecords, Quarantine, Verdict};
use policy::retry::Budget;
use state::System;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The decisions of one entry and the state that they depend on.
pub(crate) struct Decisions {
    epoch: Instant,
    random: Arc<Random>,
    pub(crate) targets: TargetTable,
    pub(crate) versions: Versions,
    pub(crate) duplicates: Arc<Duplicates>,
    admission: Admission,
    quarantine: Quarantine,
    traffic: Mutex<TrafficState>,
}

/// State that decisions derive from traffic.
#[derive(Default)]
struct TrafficState {
    estimator: Estimator,
    retries: Budget,
    limits: Option<Limits>,
    demand: Demand,
    /// When each other entry was last seen.
    entries: HashMap<String, Time>,
}

/// Demand of callers in tokens per second, as a moving average over [`Demand::WINDOW`].
#[derive(Default)]
struct Demand {
    prompt: f64,
    output: f64,
    updated_at: Time,
}

/// Maximum retries of one request, including those that add no load.
const MAX_RETRIES: u32 = 5;

/// Crashes during one request after which it is given up. The log's record of the first crash may
/// arrive too late to prevent a second, but not a third.
const MAX_CRASHES: u32 = 2;

/// Time after which an entry that was not seen no longer counts as live.
const ENTRY_EXPIRY: Duration = Duration::from_secs(30);

/// Initial backoff of a retry that adds no load; it doubles with each retry.
const FREE_BACKOFF: Duration = Duration::from_millis(20);

/// State of a request that a retry decision depends on.
pub(crate) struct RetryContext<'a> {
    pub(crate) caller: &'a CompactString,
    /// The target that failed; empty if no attempt was made.
    pub(crate) target: &'a CompactString,
    pub(crate) history: &'a AttemptHistory,
    pub(crate) retries: u32,
    pub(crate) crashes: u32,
    /// Whether a part of the response was delivered to the caller.
    pub(crate) delivered: bool,
}

impl Decisions {
    /// Creates the initial state, without any observed traffic.
    pub(crate) fn new(random: Arc<Random>) -> Self {
        Self {
            epoch: Instant::now(),
            random,
            targets: TargetTable::default(),
            versions: Versions::default(),
            duplicates: Arc::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            traffic: Mutex::default(),
        }
    }

    /// Returns the time since this entry's decisions were created.
    pub(crate) fn now(&self) -> Time {
        self.epoch.elapsed()
    }

    /// Returns the source of random numbers for decisions.
    pub(crate) fn random(&self) -> &Random {
        &self.random
    }

    /// Predicts the cost of a prompt.
    pub(crate) fn cost(&self, caller: &str, model: &str, prompt: u32, max_tokens: u32) -> Cost {
        self.lock().estimator.cost(caller, model, prompt, max_tokens)
    }

    /// Updates the predicted output length with the length of a complete response.
    pub(crate) fn learn(&self, caller: &str, model: &str, output: u32) {
        self.lock().estimator.learn(caller, model, output);
    }

    /// Updates the predicted cache hits with the cached part of a prompt, which needs no prefill.
    pub(crate) fn learn_cached(&self, caller: &str, model: &str, prompt: u32, cached: u32) {
        self.lock().estimator.learn_cached(caller, model, prompt, cached);
    }

    /// Admits a request under its caller's limits, or refuses it. Each admitted request must be
    /// closed once.
    pub(crate) fn open(&self, caller: &ConfiguredCaller, cost: Cost) -> Result<(), Failure> {
        let now = self.now();
        let limit = Limit {
            tokens_per_second: caller.spec.tokens_per_second,
            concurrency: caller.spec.concurrency,
        };
        let mut traffic = self.lock();
        traffic.demand.add(cost, now);
        let tokens = cost.prefill + cost.decode;
        traffic.limits().open(&caller.name, limit, tokens, now).map_err(admission_failure)
    }

    /// Releases an admitted request and replaces its predicted token count by the actual one.
    pub(crate) fn close(&self, caller: &Name, predicted: u64, actual: u64) {
        self.lock().limits().close(caller, predicted, actual);
    }

    /// Applies the status reports of other entries: their liveness and their callers' usage.
    pub(crate) fn observe_entries(&self, own: &str, statuses: &[wire::EntryStatus]) {
        let now = self.now();
        let mut traffic = self.lock();
        for status in statuses.iter().filter(|status| status.entry != own) {
            let last_seen = now.saturating_sub(Duration::from_millis(status.age_ms));
            traffic.entries.insert(status.entry.clone(), last_seen);
            let usage: Vec<_> = status.usages.iter().map(usage_from_wire).collect();
            traffic.limits().observe_peer(policy::hash(&status.entry), &usage, now);
        }
        traffic.entries.retain(|_, last_seen| now.saturating_sub(*last_seen) < ENTRY_EXPIRY);
        let live = traffic.entries.len() + 1;
        traffic.limits().set_entries(live);
    }

    /// Adds demand and the usage of active callers to this entry's status.
    pub(crate) fn report_demand(&self, status: &mut wire::EntryStatus) {
        let now = self.now();
        let mut traffic = self.lock();
        let (prompt, output) = traffic.demand.rates(now);
        status.prompt_rate = prompt;
        status.output_rate = output;
        status.usages = traffic.limits().report(now).into_iter().map(usage_to_wire).collect();
    }

    /// Refuses a prompt that can't begin before its deadline at any of the candidates.
    pub(crate) fn admit(
        &self,
        candidates: &[SelectedTarget],
        cost: Cost,
        remaining: Duration,
    ) -> Result<(), Failure> {
        let now = self.now();
        let request = Request { cost, deadline: Some(now + remaining) };
        let decide = |target: &SelectedTarget| {
            let state = admission::TargetState {
                ahead: target.ahead,
                rates: target.rates,
                accepting: true,
            };
            self.admission.decide(&request, &state, now)
        };
        let mut refusal = None;
        for target in candidates {
            match decide(target) {
                Ok(_) => return Ok(()),
                Err(error) => refusal = refusal.or(Some(error)),
            }
        }
        refusal.map_or(Ok(()), |refusal| Err(admission_failure(refusal)))
    }

    /// Returns how a request with this fingerprint may run, given the crashes recorded in the log.
    pub(crate) fn quarantine_verdict(&self, system: &System, fingerprint: u64) -> Verdict {
        self.quarantine.decide(&LoggedCrashes(system), fingerprint)
    }

    /// Credits the retry budget for the first attempt of a request.
    pub(crate) fn earn(&self, caller: &CompactString, target: &CompactString) {
        let now = self.now();
        self.lock().retries.earn(caller, target, now);
    }

    /// Records a failed attempt at a target.
    pub(crate) fn record_failure(&self, target: &Name) {
        self.targets.record_sample(target, Sample::Failed, self.now());
    }

    /// Records a completed attempt with the target's decode speed.
    pub(crate) fn record_completion(&self, target: &Name, seconds_per_token: f64) {
        self.targets.record_sample(
            target,
            Sample::Completed { seconds_per_unit: seconds_per_token },
            self.now(),
        );
    }

    /// Returns the delay before the next attempt; `None` if there must be none.
    ///
    /// The budget covers only retries that add load. Three kinds add none: a retry after an attempt
    /// that never reached its target, the resumption of a partly delivered response, which
    /// continues at the token where the lost one stopped, and a retry after a planned change, whose
    /// KV cache is transferred. If these used the budget, a crash with 16 streams would cut 12 of
    /// them, and so would a change planned by operators.
    pub(crate) fn retry_delay(
        &self,
        failure: &Failure,
        context: &RetryContext<'_>,
    ) -> Option<Duration> {
        let mut history = *context.history;
        history.record(failure.progress);
        // A refusal by this entry already considered all targets; one by an agent concerns only its
        // own target.
        if failure.reason == Reason::Overloaded && context.target.is_empty() {
            return None;
        }
        let exhausted = context.retries >= MAX_RETRIES || context.crashes >= MAX_CRASHES;
        if exhausted || !history.may_retry() || !failure.reason.may_succeed_elsewhere() {
            return None;
        }
        let planned = failure.reason == Reason::Draining;
        let free = planned || failure.progress == wire::Progress::NotRun || context.delivered;
        if free {
            let backoff = FREE_BACKOFF * 2_u32.saturating_pow(context.retries);
            // The first retry needs no backoff: the failed target is excluded already.
            let wait =
                if context.retries == 0 { Duration::ZERO } else { self.random.jitter(backoff) };
            return Some(wait);
        }
        let now = self.now();
        let attempts = context.retries + 1;
        let mut traffic = self.lock();
        let RetryContext { caller, target, .. } = context;
        self.random.with(|rng| traffic.retries.spend(caller, target, attempts, now, rng))
    }

    fn lock(&self) -> MutexGuard<'_, TrafficState> {
        self.traffic.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrafficState {
    fn limits(&mut self) -> &mut Limits {
        self.limits.get_or_insert_with(|| Limits::new(policy::limits::Settings::default()))
    }
}

impl Demand {
    /// Window of the planner's fast average of demand; it spans a few heartbeats.
    const WINDOW: Duration = Duration::from_secs(10);

    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.updated_at).as_secs_f64() / Self::WINDOW.as_secs_f64();
        let factor = (-age).exp();
        self.prompt *= factor;
        self.output *= factor;
        self.updated_at = now;
    }

    fn add(&mut self, cost: Cost, now: Time) {
        self.decay(now);
        self.prompt += float(cost.prefill) / Self::WINDOW.as_secs_f64();
        self.output += float(cost.decode) / Self::WINDOW.as_secs_f64();
    }

    fn rates(&mut self, now: Time) -> (u64, u64) {
        self.decay(now);
        (count(self.prompt), count(self.output))
    }
}

/// Crash records of the log in the form that the quarantine policy reads.
struct LoggedCrashes<'a>(&'a System);

impl CrashRecords for LoggedCrashes<'_> {
    fn history(&self, fingerprint: u64) -> CrashHistory {
        let Some(suspect) = self.0.suspect(fingerprint) else { return CrashHistory::default() };
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        CrashHistory {
            crashes: count(suspect.crashes().count()),
            alone: count(suspect.crashes().filter(|crash| crash.alone).count()),
            running_alone: false,
        }
    }
}

fn admission_failure(refusal: admission::Refusal) -> Failure {
    let (reason, detail) = match refusal.reason {
        admission::Reason::DeadlineUnreachable => {
            (Reason::Overloaded, "it can't begin before its deadline")
        }
        admission::Reason::NoTarget => (Reason::NoTarget, "no target takes new work"),
        admission::Reason::QueueFull => (Reason::QueueFull, "the queue is full"),
        admission::Reason::RateLimit => (Reason::RateLimit, "your tokens a second are used up"),
        admission::Reason::ConcurrencyLimit => {
            (Reason::ConcurrencyLimit, "too many requests are open")
        }
        admission::Reason::Quarantined => (Reason::Quarantined, "it crashed targets"),
    };
    Failure::not_run(reason, detail).with_retry_after(refusal.retry_after)
}

fn usage_from_wire(usage: &wire::Usage) -> policy::limits::CallerUsage {
    let wire::Usage { caller, rate, open } = *usage;
    policy::limits::CallerUsage { caller, rate: float(rate), open }
}

fn usage_to_wire(usage: policy::limits::CallerUsage) -> wire::Usage {
    let policy::limits::CallerUsage { caller, rate, open } = usage;
    wire::Usage { caller, rate: count(rate), open }
}

/// Converts a count to a float without loss: token counts stay far below 2^52.
fn float(count: u64) -> f64 {
    count as f64
}

/// Rounds a float to a count.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float to integer saturates, and undefined becomes 0"
)]
fn count(value: f64) -> u64 {
    value.round() as u64
}
