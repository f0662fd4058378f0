//! Finds out which requests crash the targets that run them.
//!
//! **Load pattern.** A request crashes each target that runs it, and its caller sends it again, to
//! any entry. Targets also crash by themselves, under requests that did nothing. **Without this**,
//! the request takes down one target after the other, with all that runs beside it; and where
//! crashes are merely counted, requests that are all alike are refused for good after a few crashes
//! of their targets. **Approach.** A harmful request crashes each target that runs it, so one that
//! ran to its end is sound, whatever was counted before. A crash is identified by its target and
//! its time, and counts once, however many entries saw it under however many copies. Crashes count
//! one after the other: a run that had begun before the last counted crash would have ended with it
//! if both had the same cause elsewhere, such as the loss of a rack. Once a culprit is known, its
//! crashes no longer count against what ran beside it.
//!
//! The entries' verdicts are in [`verdicts`], what ran to its end in [`completions`].

pub mod completions;
pub mod verdicts;

use crate::{Hash, Time};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Identifies what may be harmful: a request by its content.
pub type Key = Hash;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of crashes, one after the other, that make a culprit.
    pub crashes: u32,
    /// Reports of crashes of one target within this time are of one crash: entries see it at
    /// slightly different times, and a target takes longer to start again.
    pub same_crash: Duration,
    /// For how long a crash counts.
    pub memory: Duration,
    /// The maximum number of keys that are tracked.
    pub max_keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            crashes: 3,
            same_crash: Duration::from_millis(500),
            memory: Duration::from_secs(60),
            max_keys: 4_096,
        }
    }
}

/// A crash of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// The target, by its id and incarnation.
    pub target: Hash,
    /// When its connections broke.
    pub at: Time,
}

/// A request that was running on a target when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The request.
    pub request: Key,
    /// When it was sent to the target.
    pub began: Time,
}

/// What was found to crash its targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Culprit {
    /// What it is.
    pub key: Key,
    /// The time of the first crash that counts against it.
    pub since: Time,
    /// The number of crashes that count against it.
    pub crashes: u32,
}

/// What is known beside the crashes.
pub trait Knowledge {
    /// Whether a key is known to be harmful.
    fn is_blocked(&self, key: Key) -> bool;

    /// When a key last ran to its end, as far as known.
    fn completed_at(&self, key: Key) -> Option<Time>;
}

/// The recent crashes, and what ran there.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    settings: Settings,
    crashes: VecDeque<KnownCrash>,
    /// The number of the first of `crashes`.
    first: u64,
    suspects: HashMap<Key, Vec<Charge>>,
}

#[derive(Debug, Clone, Copy)]
struct KnownCrash {
    crash: Crash,
    /// Whether something that ran there is known to be harmful.
    explained: bool,
}

/// One crash that happened under a key.
#[derive(Debug, Clone, Copy)]
struct Charge {
    /// The number of the crash.
    crash: u64,
    /// When the run began; the latest, if there were copies.
    began: Time,
}

/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;

/// The maximum number of crashes that are remembered for one key.
const MAX_CHARGES: usize = 16;

impl Ledger {
    /// Creates a ledger without crashes.
    pub fn new(settings: Settings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that these requests were running at a crash, and returns what is now known to be
    /// harmful.
    pub fn observe(
        &mut self,
        crash: Crash,
        runs: &[Run],
        knowledge: &dyn Knowledge,
        now: Time,
    ) -> Vec<Culprit> {
        self.expire(now);
        let number = self.crash_number(crash);
        if runs.iter().any(|run| knowledge.is_blocked(run.request)) {
            self.explain(number);
        }
        for run in runs.iter().filter(|run| !knowledge.is_blocked(run.request)) {
            self.charge(run.request, Charge { crash: number, began: run.began });
        }
        let mut culprits = Vec::new();
        for run in runs {
            let Some(culprit) = self.judge(run.request, knowledge) else { continue };
            self.convict(run.request);
            culprits.push(culprit);
        }
        self.limit_keys();
        culprits
    }

    /// Records that a key ran to its end at `at`. Returns whether crashes counted against it.
    pub fn clear(&mut self, key: Key, at: Time) -> bool {
        let Some(mut charges) = self.suspects.remove(&key) else { return false };
        charges.retain(|charge| self.crash(charge.crash).is_some_and(|known| known.crash.at > at));
        if !charges.is_empty() {
            self.suspects.insert(key, charges);
        }
        true
    }

    /// Whether crashes count against a key.
    pub fn is_suspect(&self, key: Key) -> bool {
        self.suspects.contains_key(&key)
    }

    /// The number of keys that are tracked.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no key is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Judges a key by the crashes that nothing else explains and that came after it last ran to
    /// its end.
    fn judge(&self, key: Key, knowledge: &dyn Knowledge) -> Option<Culprit> {
        let completed_at = knowledge.completed_at(key);
        let charges = self.suspects.get(&key)?.iter();
        let mut counted: Vec<_> = charges
            .filter_map(|charge| {
                let known = self.crash(charge.crash)?;
                let counts = !known.explained && completed_at.is_none_or(|at| known.crash.at > at);
                counts.then_some((known.crash.at, charge.began))
            })
            .collect();
        counted.sort_unstable();
        let since = counted.first()?.0;
        let mut last = None;
        let mut crashes = 0;
        for (at, began) in counted {
            if last.is_none_or(|last| began > last) {
                crashes += 1;
                last = Some(at);
            }
        }
        (crashes >= self.settings.crashes).then_some(Culprit { key, since, crashes })
    }

    /// Marks the crashes under a key as explained by it.
    fn convict(&mut self, key: Key) {
        for charge in self.suspects.remove(&key).unwrap_or_default() {
            self.explain(charge.crash);
        }
    }

    fn explain(&mut self, number: u64) {
        if let Some(known) = self.index(number).and_then(|at| self.crashes.get_mut(at)) {
            known.explained = true;
        }
    }

    /// Returns the number of a crash, which is a new one unless another entry reported it before.
    fn crash_number(&mut self, crash: Crash) -> u64 {
        let is_same = |known: &KnownCrash| {
            known.crash.target == crash.target
                && known.crash.at.abs_diff(crash.at) < self.settings.same_crash
        };
        let at = self.crashes.iter().rposition(is_same).unwrap_or_else(|| {
            self.crashes.push_back(KnownCrash { crash, explained: false });
            self.crashes.len() - 1
        });
        self.first + u64::try_from(at).unwrap_or_default()
    }

    fn charge(&mut self, key: Key, charge: Charge) {
        let charges = self.suspects.entry(key).or_default();
        match charges.iter_mut().find(|known| known.crash == charge.crash) {
            Some(known) => known.began = known.began.max(charge.began),
            None => charges.push(charge),
        }
        if charges.len() > MAX_CHARGES {
            charges.remove(0);
        }
    }

    fn index(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.first)?).ok()
    }

    fn crash(&self, number: u64) -> Option<&KnownCrash> {
        self.crashes.get(self.index(number)?)
    }

    /// Drops the oldest crashes. What is only known from them is dropped with the next limit of the
    /// keys.
    fn expire(&mut self, now: Time) {
        while let Some(oldest) = self.crashes.front() {
            let is_old = now.saturating_sub(oldest.crash.at) > self.settings.memory;
            if !is_old && self.crashes.len() < MAX_CRASHES {
                return;
            }
            self.crashes.pop_front();
            self.first += 1;
        }
    }

    /// Drops the keys whose last crash is oldest, a quarter at a time.
    fn limit_keys(&mut self) {
        if self.suspects.len() <= self.settings.max_keys {
            return;
        }
        let last = |charges: &[Charge]| charges.iter().map(|charge| charge.crash).max();
        let mut newest: Vec<_> = self.suspects.values().map(|charges| last(charges)).collect();
        let quarter = newest.len() / 4;
        let (_, oldest_kept, _) = newest.select_nth_unstable(quarter);
        let oldest_kept = *oldest_kept;
        let mut excess = self.suspects.len() - self.settings.max_keys * 3 / 4;
        self.suspects.retain(|_, charges| {
            let is_dropped = excess > 0 && last(charges) <= oldest_kept;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }
}
