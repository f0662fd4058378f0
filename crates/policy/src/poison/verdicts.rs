//! What is refused, as all entries know it.
//!
//! **Load pattern.** One entry finds out that a request is harmful, and all others have to refuse
//! it; some are frozen meanwhile, or start later, and the store may be away. **Without this**, each
//! entry counts its own crashes. **Approach.** A verdict on a key has a version that only grows.
//! Entries keep the highest they have seen, so verdicts may arrive late, twice and in any order.
//! One that was wrong is refuted by a newer version, as soon as the key has run to its end
//! anywhere. For the case that nothing runs any more by which it could be refuted, a single trial
//! is allowed in the whole fleet, ever more rarely.

use super::Key;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Counts the changes of the verdict on one key.
pub type Version = u32;

/// The verdict on a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// What it is about.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Whether requests with the key are refused.
    pub blocked: bool,
    /// The time of the first crash that counted.
    pub since: Time,
    /// When the verdict was reached, or the last trial allowed.
    pub decided_at: Time,
    /// How many trials were allowed.
    pub trials: u32,
}

/// How long after a verdict the first trial is allowed. Targets that crashed by themselves are back
/// by then.
const FIRST_TRIAL: Duration = Duration::from_secs(10);

/// By what the time until the next trial grows with each.
const TRIAL_FACTOR: u32 = 4;

/// For how long a verdict counts after the last trial.
const BLOCKED_TTL: Duration = Duration::from_secs(600);

/// For how long it is remembered that a key was cleared: longer than an older verdict takes to be
/// replaced everywhere.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// The maximum number of verdicts. Of more, the latest are kept.
const MAX_VERDICTS: usize = 1_024;

/// The verdicts that an entry knows.
#[derive(Debug, Clone, Default)]
pub struct Verdicts {
    verdicts: HashMap<Key, Verdict>,
    /// The keys in the order in which their verdicts are told to others.
    order: VecDeque<Key>,
    blocked: usize,
    changes: u64,
}

impl Verdicts {
    /// Whether requests with this key are refused.
    pub fn is_blocked(&self, key: Key) -> bool {
        self.verdicts.get(&key).is_some_and(|verdict| verdict.blocked)
    }

    /// Returns the verdict on a key.
    pub fn get(&self, key: Key) -> Option<&Verdict> {
        self.verdicts.get(&key)
    }

    /// The number of keys that are refused.
    pub fn blocked_count(&self) -> usize {
        self.blocked
    }

    /// How often a verdict has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Applies a verdict that another entry told. Returns whether it is news.
    pub fn merge(&mut self, verdict: Verdict, now: Time) -> bool {
        if verdict.has_expired(now) {
            return false;
        }
        let rank = |verdict: &Verdict| (verdict.version, !verdict.blocked);
        if self.get(verdict.key).is_some_and(|known| rank(known) >= rank(&verdict)) {
            return false;
        }
        self.insert(verdict);
        true
    }

    /// Refuses a key from now on; `None` if it is refused already.
    pub fn block(&mut self, key: Key, since: Time, now: Time) -> Option<Verdict> {
        if self.is_blocked(key) {
            return None;
        }
        let version = self.next_version(key);
        let verdict = Verdict { key, version, blocked: true, since, decided_at: now, trials: 0 };
        self.insert(verdict);
        Some(verdict)
    }

    /// Refuses a key no longer; `None` if it isn't refused.
    pub fn clear(&mut self, key: Key, now: Time) -> Option<Verdict> {
        let known = *self.get(key).filter(|known| known.blocked)?;
        let version = self.next_version(key);
        let verdict = Verdict { version, blocked: false, decided_at: now, ..known };
        self.insert(verdict);
        Some(verdict)
    }

    /// Whether a trial of a refused key is due.
    pub fn is_trial_due(&self, key: Key, now: Time) -> bool {
        let due = |verdict: &Verdict| {
            let wait = FIRST_TRIAL.saturating_mul(TRIAL_FACTOR.saturating_pow(verdict.trials));
            now.saturating_sub(verdict.decided_at) >= wait
        };
        self.get(key).is_some_and(|verdict| verdict.blocked && due(verdict))
    }

    /// Allows one trial of a refused key, if it is due.
    pub fn begin_trial(&mut self, key: Key, now: Time) -> Option<Verdict> {
        if !self.is_trial_due(key, now) {
            return None;
        }
        let known = *self.get(key)?;
        let (version, trials) = (self.next_version(key), known.trials + 1);
        let verdict = Verdict { version, trials, decided_at: now, ..known };
        self.insert(verdict);
        Some(verdict)
    }

    /// Returns the next `count` verdicts in turn, to be told to others, and forgets those among them
    /// that have expired.
    pub fn take_turn(&mut self, count: usize, now: Time) -> Vec<Verdict> {
        let mut turn = Vec::new();
        for _ in 0..count.min(self.order.len()) {
            let Some(key) = self.order.pop_front() else { break };
            match self.verdicts.get(&key) {
                Some(verdict) if !verdict.has_expired(now) => {
                    turn.push(*verdict);
                    self.order.push_back(key);
                }
                Some(_) | None => self.remove(key),
            }
        }
        turn
    }

    /// Returns the verdicts by which keys are refused.
    pub fn blocked(&self) -> Vec<Verdict> {
        self.verdicts.values().filter(|verdict| verdict.blocked).copied().collect()
    }

    fn next_version(&self, key: Key) -> Version {
        self.get(key).map_or(0, |known| known.version).saturating_add(1)
    }

    fn insert(&mut self, verdict: Verdict) {
        self.changes += 1;
        self.blocked += usize::from(verdict.blocked);
        match self.verdicts.insert(verdict.key, verdict) {
            Some(replaced) => self.blocked -= usize::from(replaced.blocked),
            None => self.order.push_back(verdict.key),
        }
        if self.verdicts.len() > MAX_VERDICTS {
            let oldest = self.verdicts.values().min_by_key(|verdict| verdict.decided_at);
            if let Some(key) = oldest.map(|verdict| verdict.key) {
                self.remove(key);
                self.order.retain(|other| *other != key);
            }
        }
    }

    fn remove(&mut self, key: Key) {
        if let Some(removed) = self.verdicts.remove(&key) {
            self.blocked -= usize::from(removed.blocked);
        }
    }
}

impl Verdict {
    fn has_expired(&self, now: Time) -> bool {
        let ttl = if self.blocked { BLOCKED_TTL } else { CLEARED_TTL };
        now.saturating_sub(self.decided_at) >= ttl
    }
}
