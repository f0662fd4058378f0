//! The decisions of [`policy`] at this entry, with their state, clock and random numbers.

use crate::Reason;
use crate::board::{Board, Pick};
use crate::copies::Copies;
use crate::outcome::{Failure, Trail};
use crate::random::Random;
use crate::versions::Versions;
use crate::view::Client;
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
    pub(crate) board: Board,
    pub(crate) versions: Versions,
    pub(crate) copies: Arc<Copies>,
    admission: Admission,
    quarantine: Quarantine,
    learnt: Mutex<Learnt>,
}

/// What the decisions learn from traffic.
#[derive(Default)]
struct Learnt {
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
    at: Time,
}

/// How often one request is tried again at most, also where that costs the fleet nothing.
const MAX_RETRIES: u32 = 5;

/// Attempts that may crash under one request before it is given up: the log's word about the
/// first crash may come too late to stop the second, but never the third.
const MAX_CRASHES: u32 = 2;

/// How long an entry counts as live after it was last heard of.
const ENTRY_MEMORY: Duration = Duration::from_secs(30);

/// The first wait before a retry that costs nothing; it doubles.
const FREE_WAIT: Duration = Duration::from_millis(20);

/// What a request has gone through when a retry is asked for.
pub(crate) struct Past<'a> {
    pub(crate) caller: &'a CompactString,
    /// The target that failed; empty if none was tried.
    pub(crate) target: &'a CompactString,
    pub(crate) trail: &'a Trail,
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
            board: Board::default(),
            versions: Versions::default(),
            copies: Arc::default(),
            admission: Admission::default(),
            quarantine: Quarantine::default(),
            learnt: Mutex::default(),
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
    pub(crate) fn open(&self, client: &Client, cost: Cost) -> Result<(), Failure> {
        let now = self.now();
        let limit = Limit {
            tokens_per_second: client.spec.tokens_per_second,
            concurrency: client.spec.concurrency,
        };
        let mut learnt = self.lock();
        learnt.demand.add(cost, now);
        let tokens = cost.prefill + cost.decode;
        learnt.limits().open(&client.name, limit, tokens, now).map_err(refused)
    }

    /// Closes a request with the tokens that it was predicted to use and did use.
    pub(crate) fn close(&self, caller: &Name, predicted: u64, actual: u64) {
        self.lock().limits().close(caller, predicted, actual);
    }

    /// Takes in what other entries tell of the callers that they serve.
    pub(crate) fn hear_entries(&self, own: &str, sightings: &[wire::Sighting]) {
        let now = self.now();
        let mut learnt = self.lock();
        for sighting in sightings.iter().filter(|sighting| sighting.entry != own) {
            let heard = now.saturating_sub(Duration::from_millis(sighting.age_ms));
            learnt.entries.insert(sighting.entry.clone(), heard);
            let usage: Vec<_> = sighting.usages.iter().map(usage_of).collect();
            learnt.limits().observe_peer(policy::hash(&sighting.entry), &usage, now);
        }
        learnt.entries.retain(|_, heard| now.saturating_sub(*heard) < ENTRY_MEMORY);
        let live = learnt.entries.len() + 1;
        learnt.limits().set_entries(live);
    }

    /// Completes what the entry says of itself with demand and busy callers.
    pub(crate) fn tell(&self, sighting: &mut wire::Sighting) {
        let now = self.now();
        let mut learnt = self.lock();
        let (prompt, output) = learnt.demand.rates(now);
        sighting.prompt_rate = prompt;
        sighting.output_rate = output;
        sighting.usages = learnt.limits().report(now).into_iter().map(told).collect();
    }

    /// Refuses a prompt that can't begin before its deadline at any of the targets picked.
    pub(crate) fn admit(&self, picks: &[Pick], cost: Cost, left: Duration) -> Result<(), Failure> {
        let now = self.now();
        let ask = Request { cost, deadline: Some(now + left) };
        let decide = |pick: &Pick| {
            let view =
                admission::TargetState { ahead: pick.ahead, rates: pick.rates, accepting: true };
            self.admission.decide(&ask, &view, now)
        };
        let mut refusal = None;
        for pick in picks {
            match decide(pick) {
                Ok(_) => return Ok(()),
                Err(error) => refusal = refusal.or(Some(error)),
            }
        }
        refusal.map_or(Ok(()), |refusal| Err(refused(refusal)))
    }

    /// How the request with this fingerprint may run, by the log's records of crashes.
    pub(crate) fn judge(&self, system: &System, fingerprint: u64) -> Verdict {
        self.quarantine.decide(&Crashes(system), fingerprint)
    }

    /// Books the first attempt of a request.
    pub(crate) fn earn(&self, caller: &CompactString, target: &CompactString) {
        let now = self.now();
        self.lock().retries.earn(caller, target, now);
    }

    /// Notes that a target failed an attempt.
    pub(crate) fn failed(&self, target: &Name) {
        self.board.sample(target, Sample::Failed, self.now());
    }

    /// Notes how fast a target generated: seconds for each token.
    pub(crate) fn done(&self, target: &Name, pace: f64) {
        self.board.sample(target, Sample::Completed { seconds_per_unit: pace }, self.now());
    }

    /// How long to wait before another attempt; `None` if there is to be none.
    ///
    /// The budget is for retries that add load. Three kinds add none: after an attempt that never
    /// reached its target, the resumption of an answer under way, which goes on where the lost one
    /// stopped, and a planned change, after which the KV cache moves along. A crash with 16 streams
    /// would otherwise cut 12 of them, and so would a change that operators planned.
    pub(crate) fn retry(&self, failure: &Failure, past: &Past<'_>) -> Option<Duration> {
        let mut trail = *past.trail;
        trail.note(failure.progress);
        // This entry's own refusal has weighed all targets already; an agent's speaks for its own.
        if failure.reason == Reason::Overloaded && past.target.is_empty() {
            return None;
        }
        let spent = past.retries >= MAX_RETRIES || past.crashes >= MAX_CRASHES;
        if spent || !trail.may_retry() || !failure.reason.may_differ_elsewhere() {
            return None;
        }
        let planned = failure.reason == Reason::Draining;
        let free = planned || failure.progress == wire::Progress::NotRun || past.delivered;
        if free {
            let doubled = FREE_WAIT * 2_u32.saturating_pow(past.retries);
            // The first goes out at once: the target that failed is out of the way already.
            let wait = if past.retries == 0 { Duration::ZERO } else { self.random.jitter(doubled) };
            return Some(wait);
        }
        let now = self.now();
        let attempts = past.retries + 1;
        let mut learnt = self.lock();
        let Past { caller, target, .. } = past;
        self.random.with(|rng| learnt.retries.spend(caller, target, attempts, now, rng))
    }

    fn lock(&self) -> MutexGuard<'_, Learnt> {
        self.learnt.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Learnt {
    fn limits(&mut self) -> &mut Limits {
        self.limits.get_or_insert_with(|| Limits::new(policy::limits::Settings::default()))
    }
}

impl Demand {
    /// The fast average of the planner: a few pings long.
    const WINDOW: Duration = Duration::from_secs(10);

    fn decay(&mut self, now: Time) {
        let age = now.saturating_sub(self.at).as_secs_f64() / Self::WINDOW.as_secs_f64();
        let kept = (-age).exp();
        self.prompt *= kept;
        self.output *= kept;
        self.at = now;
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
struct Crashes<'a>(&'a System);

impl CrashRecords for Crashes<'_> {
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

fn refused(refusal: admission::Refusal) -> Failure {
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
    Failure::not_run(reason, detail).retry_after(refusal.retry_after)
}

fn usage_of(usage: &wire::Usage) -> policy::limits::CallerUsage {
    let wire::Usage { caller, rate, open } = *usage;
    policy::limits::CallerUsage { caller, rate: float(rate), open }
}

fn told(usage: policy::limits::CallerUsage) -> wire::Usage {
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
