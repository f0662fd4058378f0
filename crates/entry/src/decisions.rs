//! The decisions of [`policy`] at this entry, with their state, clock and random numbers.

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

/// All decisions of one entry.
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

/// What the decisions learn from traffic.
#[derive(Default)]
struct TrafficState {
    estimator: Estimator,
    retries: Budget,
    limits: Option<Limits>,
    demand: Demand,
    /// Other entries, and when they were last heard of.
    entries: HashMap<String, Time>,
}

/// Tokens a second that callers offer, averaged over [`Demand::WINDOW`].
#[derive(Default)]
struct Demand {
    prompt: f64,
    output: f64,
    updated_at: Time,
}

/// How often one request is tried again at most, also where that costs the fleet nothing.
const MAX_RETRIES: u32 = 5;

/// Attempts that may crash under one request before it is given up: the log's word about the
/// first crash may come too late to stop the second, but never the third.
const MAX_CRASHES: u32 = 2;

/// How long an entry counts as live after it was last heard of.
const ENTRY_EXPIRY: Duration = Duration::from_secs(30);

/// The first wait before a retry that costs nothing; it doubles.
const FREE_BACKOFF: Duration = Duration::from_millis(20);

/// What a request has gone through when a retry is asked for.
pub(crate) struct RetryContext<'a> {
    pub(crate) caller: &'a CompactString,
    /// The target that failed; empty if none was tried.
    pub(crate) target: &'a CompactString,
    pub(crate) history: &'a AttemptHistory,
    pub(crate) retries: u32,
    pub(crate) crashes: u32,
    /// Whether a part of the answer was delivered.
    pub(crate) delivered: bool,
}

impl Decisions {
    /// Makes decisions that have learnt nothing.
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

    /// The time in the form that decisions take.
    pub(crate) fn now(&self) -> Time {
        self.epoch.elapsed()
    }

    /// Random numbers for decisions.
    pub(crate) fn random(&self) -> &Random {
        &self.random
    }

    /// The predicted work of a prompt.
    pub(crate) fn cost(&self, caller: &str, model: &str, prompt: u32, max_tokens: u32) -> Cost {
        self.lock().estimator.cost(caller, model, prompt, max_tokens)
    }

    /// Learns how long an answer became.
    pub(crate) fn learn(&self, caller: &str, model: &str, output: u32) {
        self.lock().estimator.learn(caller, model, output);
    }

    /// Learns how much of a prompt an engine found in its cache, which it need not read again.
    pub(crate) fn learn_cached(&self, caller: &str, model: &str, prompt: u32, cached: u32) {
        self.lock().estimator.learn_cached(caller, model, prompt, cached);
    }

    /// Opens a request under its caller's limits, or refuses it; what is opened is closed once.
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

    /// Closes a request with the tokens that it was predicted to use and did use.
    pub(crate) fn close(&self, caller: &Name, predicted: u64, actual: u64) {
        self.lock().limits().close(caller, predicted, actual);
    }

    /// Takes in what other entries tell of the callers that they serve.
    pub(crate) fn observe_entries(&self, own: &str, sightings: &[wire::Sighting]) {
        let now = self.now();
        let mut traffic = self.lock();
        for sighting in sightings.iter().filter(|sighting| sighting.entry != own) {
            let last_seen = now.saturating_sub(Duration::from_millis(sighting.age_ms));
            traffic.entries.insert(sighting.entry.clone(), last_seen);
            let usage: Vec<_> = sighting.usages.iter().map(usage_from_wire).collect();
            traffic.limits().observe_peer(policy::hash(&sighting.entry), &usage, now);
        }
        traffic.entries.retain(|_, last_seen| now.saturating_sub(*last_seen) < ENTRY_EXPIRY);
        let live = traffic.entries.len() + 1;
        traffic.limits().set_entries(live);
    }

    /// Completes what the entry says of itself with demand and busy callers.
    pub(crate) fn report_demand(&self, sighting: &mut wire::Sighting) {
        let now = self.now();
        let mut traffic = self.lock();
        let (prompt, output) = traffic.demand.rates(now);
        sighting.prompt_rate = prompt;
        sighting.output_rate = output;
        sighting.usages = traffic.limits().report(now).into_iter().map(usage_to_wire).collect();
    }

    /// Refuses a prompt that can't begin before its deadline at any of the targets picked.
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

    /// How the request with this fingerprint may run, by the log's records of crashes.
    pub(crate) fn quarantine_verdict(&self, system: &System, fingerprint: u64) -> Verdict {
        self.quarantine.decide(&LoggedCrashes(system), fingerprint)
    }

    /// Books the first attempt of a request.
    pub(crate) fn earn(&self, caller: &CompactString, target: &CompactString) {
        let now = self.now();
        self.lock().retries.earn(caller, target, now);
    }

    /// Notes that a target failed an attempt.
    pub(crate) fn record_failure(&self, target: &Name) {
        self.targets.record_sample(target, Sample::Failed, self.now());
    }

    /// Notes how fast a target generated: seconds for each token.
    pub(crate) fn record_completion(&self, target: &Name, seconds_per_token: f64) {
        self.targets.record_sample(
            target,
            Sample::Completed { seconds_per_unit: seconds_per_token },
            self.now(),
        );
    }

    /// How long to wait before another attempt; `None` if there is to be none.
    ///
    /// The budget is for retries that add load. Three kinds add none: after an attempt that never
    /// reached its target, the resumption of an answer under way, which goes on where the lost one
    /// stopped, and a planned change, after which the KV cache moves along. A crash with 16 streams
    /// would otherwise cut 12 of them, and so would a change that operators planned.
    pub(crate) fn retry_delay(
        &self,
        failure: &Failure,
        context: &RetryContext<'_>,
    ) -> Option<Duration> {
        let mut history = *context.history;
        history.record(failure.progress);
        // This entry's own refusal has weighed all targets already; an agent's speaks for its own.
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
            // The first goes out at once: the target that failed is out of the way already.
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
    /// The fast average of the planner: a few pings long.
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

/// The log's records of crashes, as the quarantine reads them.
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

/// A count as a float; counts of tokens stay far under 2^52.
fn float(count: u64) -> f64 {
    count as f64
}

/// A float as a count, rounded.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast from float to integer saturates, and undefined becomes 0"
)]
fn count(value: f64) -> u64 {
    value.round() as u64
}
