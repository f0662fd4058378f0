//! Requests, and parts of prompts, that are suspected of crashing targets, see [`policy::poison`]: the
//! crashes that this entry knows of, what ran to its end here, and the verdicts of all entries.

use crate::buffered_request::BufferedRequest;
use crate::config::customers::Customer;
use body::Buffered;
use policy::membership::Incarnation;
use policy::poison::completions::Completions;
use policy::poison::verdicts::{Verdict, Verdicts};
use policy::poison::{Crash, Culprit, Key, Knowledge, Ledger, Run};
use policy::{Hash, Time};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Identifies a request by its content, so that retries of it are recognized.
pub type Fingerprint = Key;

/// What this entry knows of crashes.
#[derive(Debug, Default)]
pub struct Suspects {
    state: Mutex<State>,
    /// Whether any request is refused. While none is, no request needs the lock.
    any_blocked: AtomicBool,
}

#[derive(Debug, Default)]
struct State {
    ledger: Ledger,
    known: Known,
    /// The number of crashes without a known target, to tell them apart.
    anonymous_crashes: u64,
    /// What other entries are yet to be told.
    unsent: Vec<(Crash, Run)>,
    /// The holders that know all evidence, as of the last change of the holders.
    informed: Vec<Incarnated>,
    /// Requests whose target broke off and still accepts connections.
    unconfirmed: VecDeque<(Crash, Run)>,
    /// From when on verdicts are told again.
    next_turn: Time,
}

/// An entry in one life of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnated {
    /// The hash of its name.
    pub entry: Hash,
    /// The incarnation.
    pub incarnation: Incarnation,
}

#[derive(Debug, Default)]
struct Known {
    verdicts: Verdicts,
    completions: Completions,
}

impl Knowledge for Known {
    fn is_blocked(&self, key: Key) -> bool {
        self.verdicts.is_blocked(key)
    }

    fn completed_at(&self, key: Key) -> Option<Time> {
        self.completions.last(key)
    }
}

/// What follows from a run that came to its end.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Refutation {
    /// Keys that other entries may suspect.
    pub suspected: Vec<Key>,
    /// New verdicts on keys that were refused.
    pub cleared: Vec<Verdict>,
}

impl Suspects {
    /// Records requests that were running when a target crashed. Returns what is refused from now
    /// on.
    pub fn observe_crash(&self, crash: Crash, runs: &[Run], now: Time) -> Vec<Verdict> {
        let mut state = self.lock();
        let State { ledger, known, .. } = &mut *state;
        let culprits = ledger.observe(crash, runs, known, now);
        let verdicts = culprits.into_iter().filter_map(|culprit| known.block(culprit, now));
        let verdicts = verdicts.collect();
        self.update(&state);
        verdicts
    }

    /// Records a crash of a target that the entry which saw it didn't name.
    pub fn observe_anonymous_crash(&self, requests: &[Fingerprint], now: Time) -> Vec<Verdict> {
        let target = {
            let mut state = self.lock();
            state.anonymous_crashes += 1;
            policy::mix(ANONYMOUS, state.anonymous_crashes)
        };
        let run = |request: &Fingerprint| Run { request: *request, parts: Vec::new(), began: now };
        let runs: Vec<_> = requests.iter().map(run).collect();
        self.observe_crash(Crash { target, at: now }, &runs, now)
    }

    /// Queues a run for other entries. Returns whether the queue was empty.
    pub fn queue(&self, crash: Crash, run: Run) -> bool {
        let mut state = self.lock();
        state.unsent.push((crash, run));
        state.unsent.len() == 1
    }

    /// Takes the queued runs.
    pub fn take_queue(&self) -> Vec<(Crash, Run)> {
        std::mem::take(&mut self.lock().unsent)
    }

    /// Returns those of the present holders that have not been told of the crashes so far, and from
    /// now on counts them as informed.
    pub fn take_uninformed(&self, holders: &[Incarnated]) -> Vec<Incarnated> {
        let mut state = self.lock();
        let uninformed = holders.iter().filter(|holder| !state.informed.contains(holder));
        let uninformed = uninformed.copied().collect();
        state.informed = holders.to_vec();
        uninformed
    }

    /// Returns what ran at recent crashes that nothing explains.
    pub fn evidence(&self, now: Time) -> Vec<(Crash, Run)> {
        let state = self.lock();
        state.ledger.evidence(&state.known, now)
    }

    /// Records that a target broke off under a request and still accepts connections. Another one
    /// may have started in its place.
    pub fn record_unconfirmed(&self, crash: Crash, run: Run) {
        let mut state = self.lock();
        state.unconfirmed.push_back((crash, run));
        if state.unconfirmed.len() > MAX_UNCONFIRMED {
            state.unconfirmed.pop_front();
        }
    }

    /// Returns what a target broke off lately, now that another one was found in its place.
    pub fn confirm(&self, target: Hash, now: Time) -> Vec<(Crash, Run)> {
        let mut state = self.lock();
        if state.unconfirmed.is_empty() {
            return Vec::new();
        }
        let unconfirmed = std::mem::take(&mut state.unconfirmed);
        let recent = unconfirmed
            .into_iter()
            .filter(|(crash, _)| now.saturating_sub(crash.at) <= UNCONFIRMED_TTL);
        let (confirmed, rest) = recent.partition(|(crash, _)| crash.target == target);
        state.unconfirmed = rest;
        Vec::from(confirmed)
    }

    /// Records that keys ran to their end at this entry.
    pub fn record_completion(&self, keys: &[Key], now: Time) -> Refutation {
        let mut state = self.lock();
        for key in keys {
            state.known.completions.record(*key, now);
        }
        let refutation = state.refute(keys, now);
        self.update(&state);
        refutation
    }

    /// Records that keys ran to their end at another entry. Returns new verdicts on keys that were
    /// refused.
    pub fn observe_completions(&self, keys: &[(Key, Time)], now: Time) -> Vec<Verdict> {
        let mut state = self.lock();
        let mut cleared = Vec::new();
        for (key, at) in keys {
            state.known.completions.record(*key, *at);
            state.ledger.clear(*key, *at);
            let verdicts = &mut state.known.verdicts;
            if verdicts.get(*key).is_some_and(|verdict| *at > verdict.since) {
                cleared.extend(verdicts.clear(*key, now));
            }
        }
        self.update(&state);
        cleared
    }

    /// Applies verdicts of other entries. Returns the keys that ran to their end here after the
    /// first crash that counted against them, with the time; their verdicts are refuted.
    pub fn merge(&self, verdicts: &[Verdict], now: Time) -> Vec<(Key, Time)> {
        let mut state = self.lock();
        let mut refuted = Vec::new();
        for verdict in verdicts {
            if !state.known.verdicts.merge(*verdict, now) {
                continue;
            }
            if !verdict.blocked {
                state.ledger.clear(verdict.key, verdict.decided_at);
            } else if let Some(at) = state.known.completions.last(verdict.key)
                && at > verdict.since
            {
                state.known.verdicts.clear(verdict.key, now);
                refuted.push((verdict.key, at));
            }
        }
        self.update(&state);
        refuted
    }

    /// Returns whether requests with this key are refused.
    pub fn is_blocked(&self, key: Key) -> bool {
        self.is_any_blocked(&[key])
    }

    /// Returns whether requests with any of these keys are refused.
    pub fn is_any_blocked(&self, keys: &[Key]) -> bool {
        self.any_blocked.load(Ordering::Relaxed) && {
            let state = self.lock();
            keys.iter().any(|key| state.known.verdicts.is_blocked(*key))
        }
    }

    /// Whether a trial is due of all of these keys that are refused.
    pub fn is_trial_due(&self, keys: &[Key], now: Time) -> bool {
        let state = self.lock();
        let verdicts = &state.known.verdicts;
        let mut blocked = keys.iter().filter(|key| verdicts.is_blocked(**key));
        blocked.all(|key| verdicts.is_trial_due(*key, now))
    }

    /// Allows one trial of the keys that are refused, if it is due of all of them.
    pub fn begin_trial(&self, keys: &[Key], now: Time) -> Vec<Verdict> {
        if !self.is_trial_due(keys, now) {
            return Vec::new();
        }
        let mut state = self.lock();
        keys.iter().filter_map(|key| state.known.verdicts.begin_trial(*key, now)).collect()
    }

    /// Returns the next `count` verdicts in turn, to be told to other entries; none if some were told
    /// a moment ago.
    pub fn take_turn(&self, count: usize, now: Time) -> Vec<Verdict> {
        let mut state = self.lock();
        if now < state.next_turn {
            return Vec::new();
        }
        let turn = state.known.verdicts.take_turn(count, now);
        if !turn.is_empty() {
            state.next_turn = now + TURN_INTERVAL;
        }
        self.update(&state);
        turn
    }

    /// How often a verdict has changed, if any request is refused.
    pub fn changes(&self) -> Option<u64> {
        self.any_blocked.load(Ordering::Relaxed).then(|| self.lock().known.verdicts.changes())
    }

    /// Returns the verdicts by which requests are refused.
    pub fn blocked(&self) -> Vec<Verdict> {
        self.lock().known.verdicts.blocked()
    }

    fn update(&self, state: &State) {
        self.any_blocked.store(state.known.verdicts.blocked_count() > 0, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The shortest interval at which some verdicts are told again: state is sent up to 200 times a
/// second.
const TURN_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of breaks of targets that still accept connections.
const MAX_UNCONFIRMED: usize = 256;

/// For how long such a break may turn out as a crash.
const UNCONFIRMED_TTL: Duration = Duration::from_secs(3);

/// Stands for the targets of crashes without a known one.
const ANONYMOUS: u64 = 0x616E_6F6E;

impl State {
    fn refute(&mut self, keys: &[Key], now: Time) -> Refutation {
        let mut refutation = Refutation::default();
        for key in keys {
            let was_suspect = self.ledger.clear(*key, now);
            let cleared = self.known.verdicts.clear(*key, now);
            if was_suspect || cleared.is_some() {
                refutation.suspected.push(*key);
            }
            refutation.cleared.extend(cleared);
        }
        refutation
    }
}

impl Known {
    /// Refuses a culprit, unless it has run to its end since.
    fn block(&mut self, culprit: Culprit, now: Time) -> Option<Verdict> {
        self.verdicts.block(culprit.key, culprit.since, now)
    }
}

/// Returns the fingerprint of a request, which covers its path, its body and its customer, so that
/// no customer can get another one's requests blocked.
pub fn fingerprint(buffered: &BufferedRequest, customer: Option<&Arc<Customer>>) -> Fingerprint {
    let path = xxhash_rust::xxh3::xxh3_64(buffered.path.to_string().as_bytes());
    let request = policy::mix(path, hash_body(&buffered.body));
    customer.map_or(request, |customer| policy::mix(request, policy::hash(&customer.name)))
}

/// Hashes a body as if it were in one piece.
fn hash_body(body: &Buffered) -> Hash {
    let mut segments = body.segments();
    if let (Some(only), None) = (segments.next(), segments.next()) {
        return xxhash_rust::xxh3::xxh3_64(only);
    }
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    body.segments().for_each(|segment| hasher.update(segment));
    hasher.digest()
}
