//! Finds out which requests, and which parts of prompts, crash the targets that run them.
//!
//! **Load pattern.** A request crashes each target that runs it, and its caller sends it again, to
//! any entry; or a part that prompts share crashes each engine that begins to write an answer on it,
//! under requests no two of which are alike. Targets also crash by themselves, under requests that
//! did nothing. **Without this**, one target after the other goes down, with all that runs beside
//! it; and where crashes are merely counted, sound requests that are all alike, or that share the
//! first part of their prompts with the culprit, are refused as well. **Approach.** What is harmful
//! crashes each target that runs it, so what ran to its end is sound, whatever was counted before. A
//! crash is identified by its target and its time, and counts once, however many entries saw it
//! under however many copies. Crashes count one after the other: those of one moment may have the
//! same cause elsewhere, such as the loss of a rack, unless the run began only after the one before.
//! A part is a culprit only under different requests, and a part that others build on only after
//! twice as many crashes: refusing it costs callers most. Once a culprit is known, its crashes no
//! longer count against what ran beside it.
//!
//! The entries' verdicts are in [`verdicts`], what ran to its end in [`completions`].

pub mod completions;
pub mod verdicts;

use crate::{Hash, Time};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Identifies what may be harmful: a request by its content, or a part of prompts.
pub type Key = Hash;

/// Settings of the ledger.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of crashes, one after the other, that make a culprit.
    pub crashes: u32,
    /// The number of them for a part that others build on.
    pub earlier_part_crashes: u32,
    /// The number of different requests among them that make a part a culprit.
    pub requests: usize,
    /// Reports of crashes of one target within this time are of one crash: entries see it at
    /// slightly different times, and a target takes longer to start again.
    pub same_crash: Duration,
    /// Crashes that are at least this far apart count one after the other. Those of one cause are
    /// seen within less.
    pub apart: Duration,
    /// For how long a crash counts.
    pub memory: Duration,
    /// The maximum number of keys that are tracked.
    pub max_keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            crashes: 3,
            earlier_part_crashes: 6,
            requests: 2,
            same_crash: Duration::from_millis(500),
            apart: Duration::from_millis(100),
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
    /// The parts of its prompt on which the target was about to begin an answer, in their order. The
    /// last part of a prompt belongs to the request alone and is left out.
    pub parts: Vec<Key>,
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
    /// What ran at the last crashes, each with the number of its crash.
    runs: VecDeque<(u64, Run)>,
    suspects: HashMap<Key, Suspect>,
}

#[derive(Debug, Clone, Copy)]
struct KnownCrash {
    crash: Crash,
    explanation: Option<Explanation>,
}

/// What is known to have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Explanation {
    /// A request, by itself or by a part of its prompt.
    Request(Key),
    /// A part.
    Part,
}

#[derive(Debug, Clone)]
struct Suspect {
    kind: Kind,
    charges: Vec<Charge>,
}

/// What a key stands for, in the order in which culprits are looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Kind {
    /// The last of the parts that prompts share.
    LastPart,
    /// A request.
    Request,
    /// A part that others build on.
    EarlierPart,
}

/// One crash that happened under a key.
#[derive(Debug, Clone)]
struct Charge {
    /// The number of the crash.
    crash: u64,
    /// When the run began; the latest, if there were several.
    began: Time,
    /// The requests with the key that ran there.
    requests: Vec<Key>,
}

/// The maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 512;

/// The maximum number of runs that are remembered to tell them to other entries.
const MAX_RUNS: usize = 256;

/// The maximum number of crashes that are remembered for one key.
const MAX_CHARGES: usize = 16;

/// The maximum number of requests that are remembered for one key and crash.
const MAX_REQUESTS: usize = 4;

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
        for run in runs {
            if run.parts.iter().any(|part| knowledge.is_blocked(*part)) {
                self.explain(number, Explanation::Part);
            } else if knowledge.is_blocked(run.request) {
                self.explain(number, Explanation::Request(run.request));
            }
        }
        for run in runs {
            for (key, kind) in run.keys().filter(|(key, _)| !knowledge.is_blocked(*key)) {
                self.charge(key, kind, number, run);
            }
            self.remember(number, run);
        }
        let culprits = self.find_culprits(runs, knowledge);
        self.limit_keys();
        culprits
    }

    /// Records that a key ran to its end at `at`. Returns whether crashes counted against it.
    pub fn clear(&mut self, key: Key, at: Time) -> bool {
        let Some(mut suspect) = self.suspects.remove(&key) else { return false };
        suspect
            .charges
            .retain(|charge| self.crash(charge.crash).is_some_and(|known| known.crash.at > at));
        if !suspect.charges.is_empty() {
            self.suspects.insert(key, suspect);
        }
        true
    }

    /// Returns what ran at the crashes that nothing explains, as far as it still counts, so that
    /// another entry may go on counting.
    pub fn evidence(&self, knowledge: &dyn Knowledge, now: Time) -> Vec<(Crash, Run)> {
        let counts = |key: Key, number: u64, crash: Crash| {
            let charges = self.suspects.get(&key).map(|suspect| &suspect.charges);
            charges.is_some_and(|charges| charges.iter().any(|charge| charge.crash == number))
                && knowledge.completed_at(key).is_none_or(|at| crash.at > at)
        };
        let runs = self.runs.iter().filter_map(|(number, run)| {
            let known = self.crash(*number).filter(|known| known.explanation.is_none())?;
            if now.saturating_sub(known.crash.at) > self.settings.memory {
                return None;
            }
            let counts = |key: &Key| counts(*key, *number, known.crash);
            let mut run = counts(&run.request).then(|| run.clone())?;
            // Without its last part, the list would make a part that others build on the last one.
            if !run.parts.iter().all(counts) {
                run.parts.clear();
            }
            Some((known.crash, run))
        });
        runs.collect()
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

    /// Finds culprits among what ran at a crash, those first whose refusal costs callers least.
    fn find_culprits(&mut self, runs: &[Run], knowledge: &dyn Knowledge) -> Vec<Culprit> {
        let mut keys: Vec<(Kind, Key)> = runs
            .iter()
            .flat_map(Run::keys)
            .filter_map(|(key, _)| Some((self.suspects.get(&key)?.kind, key)))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        let mut culprits = Vec::new();
        for (kind, key) in keys {
            let Some(culprit) = self.judge(key, knowledge) else { continue };
            self.convict(key, kind);
            culprits.push(culprit);
        }
        culprits
    }

    /// Judges a key by the crashes that nothing else explains and that came after it last ran to
    /// its end.
    fn judge(&self, key: Key, knowledge: &dyn Knowledge) -> Option<Culprit> {
        let suspect = self.suspects.get(&key)?;
        let completed_at = knowledge.completed_at(key);
        let mut counted: Vec<_> = suspect
            .charges
            .iter()
            .filter_map(|charge| {
                let known = self.crash(charge.crash)?;
                let counts = known.counts_against(suspect.kind, charge)
                    && completed_at.is_none_or(|at| known.crash.at > at);
                counts.then_some((known.crash.at, charge))
            })
            .collect();
        counted.sort_unstable_by_key(|(at, _)| *at);
        let since = counted.first()?.0;
        let mut last = None;
        let mut crashes = 0;
        for (at, charge) in &counted {
            let follows = |last: Time| charge.began > last || *at >= last + self.settings.apart;
            if last.is_none_or(follows) {
                crashes += 1;
                last = Some(*at);
            }
        }
        let mut requests: Vec<_> =
            counted.iter().flat_map(|(_, charge)| &charge.requests).collect();
        requests.sort_unstable();
        requests.dedup();
        let Settings { crashes: enough, earlier_part_crashes, requests: different, .. } =
            self.settings;
        let is_culprit = match suspect.kind {
            Kind::Request => crashes >= enough,
            Kind::LastPart => crashes >= enough && requests.len() >= different,
            Kind::EarlierPart => crashes >= earlier_part_crashes && requests.len() >= different,
        };
        is_culprit.then_some(Culprit { key, since, crashes })
    }

    /// Marks the crashes under a key as explained by it.
    fn convict(&mut self, key: Key, kind: Kind) {
        let explanation = match kind {
            Kind::Request => Explanation::Request(key),
            Kind::LastPart | Kind::EarlierPart => Explanation::Part,
        };
        let suspect = self.suspects.remove(&key);
        for charge in suspect.map(|suspect| suspect.charges).unwrap_or_default() {
            self.explain(charge.crash, explanation);
        }
    }

    /// Records what caused a crash. That it was a part says more than which request held it.
    fn explain(&mut self, number: u64, explanation: Explanation) {
        if let Some(known) = self.index(number).and_then(|at| self.crashes.get_mut(at))
            && known.explanation != Some(Explanation::Part)
        {
            known.explanation = Some(explanation);
        }
    }

    /// Returns the number of a crash, which is a new one unless another entry reported it before.
    fn crash_number(&mut self, crash: Crash) -> u64 {
        let is_same = |known: &KnownCrash| {
            known.crash.target == crash.target
                && known.crash.at.abs_diff(crash.at) < self.settings.same_crash
        };
        let at = self.crashes.iter().rposition(is_same).unwrap_or_else(|| {
            self.crashes.push_back(KnownCrash { crash, explanation: None });
            self.crashes.len() - 1
        });
        self.first + u64::try_from(at).unwrap_or_default()
    }

    fn remember(&mut self, number: u64, run: &Run) {
        let is_known =
            |(other, known): &(u64, Run)| *other == number && known.request == run.request;
        if self.runs.iter().any(is_known) {
            return;
        }
        self.runs.push_back((number, run.clone()));
        if self.runs.len() > MAX_RUNS {
            self.runs.pop_front();
        }
    }

    fn charge(&mut self, key: Key, kind: Kind, crash: u64, run: &Run) {
        let new = || Suspect { kind, charges: Vec::new() };
        let suspect = self.suspects.entry(key).or_insert_with(new);
        suspect.kind = suspect.kind.max(kind);
        let charges = &mut suspect.charges;
        let Some(known) = charges.iter_mut().find(|known| known.crash == crash) else {
            charges.push(Charge { crash, began: run.began, requests: vec![run.request] });
            if charges.len() > MAX_CHARGES {
                charges.remove(0);
            }
            return;
        };
        known.began = known.began.max(run.began);
        if known.requests.len() < MAX_REQUESTS && !known.requests.contains(&run.request) {
            known.requests.push(run.request);
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
            let first = self.first;
            self.runs.retain(|(number, _)| *number >= first);
        }
    }

    /// Drops the keys whose last crash is oldest, a quarter at a time.
    fn limit_keys(&mut self) {
        if self.suspects.len() <= self.settings.max_keys {
            return;
        }
        let last = |suspect: &Suspect| suspect.charges.iter().map(|charge| charge.crash).max();
        let mut newest: Vec<_> = self.suspects.values().map(last).collect();
        let quarter = newest.len() / 4;
        let (_, oldest_kept, _) = newest.select_nth_unstable(quarter);
        let oldest_kept = *oldest_kept;
        let mut excess = self.suspects.len() - self.settings.max_keys * 3 / 4;
        self.suspects.retain(|_, suspect| {
            let is_dropped = excess > 0 && last(suspect) <= oldest_kept;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }
}

impl Run {
    /// What may have crashed the target.
    fn keys(&self) -> impl Iterator<Item = (Key, Kind)> + '_ {
        let last = self.parts.len().saturating_sub(1);
        let kind = move |at| if at == last { Kind::LastPart } else { Kind::EarlierPart };
        let parts = self.parts.iter().enumerate().map(move |(at, part)| (*part, kind(at)));
        std::iter::once((self.request, Kind::Request)).chain(parts)
    }
}

impl KnownCrash {
    /// Whether the crash counts against a key, given what is known to have caused it. A request may
    /// have done it by any part of its prompt.
    fn counts_against(&self, kind: Kind, charge: &Charge) -> bool {
        match (self.explanation, kind) {
            (None, _) => true,
            (Some(Explanation::Request(request)), Kind::LastPart | Kind::EarlierPart) => {
                charge.requests.contains(&request)
            }
            (Some(Explanation::Request(_)), Kind::Request) | (Some(Explanation::Part), _) => false,
        }
    }
}
