//! What entries tell each other of crashes, see [`crate::exchange::crashes`]. Times are sent as ages
//! in microseconds.

use super::KeyRange;
use policy::Time;
use policy::poison::verdicts::Verdict;
use policy::poison::{Crash, Key, Run};
use prost::Message;
use std::time::Duration;

/// Requests that were running when a target crashed, and keys that ran to their end.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CrashEvidence {
    /// The target, by its id and incarnation.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// How long ago it crashed.
    #[prost(uint64, tag = "2")]
    pub age: u64,
    /// What was running there; none if the message is only about completions.
    #[prost(message, repeated, tag = "3")]
    pub runs: Vec<RunRow>,
    /// What ran to its end.
    #[prost(message, repeated, tag = "4")]
    pub completions: Vec<CompletionRow>,
}

/// A request that was running on a target.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RunRow {
    /// The request.
    #[prost(fixed64, tag = "1")]
    pub request: u64,
    /// How long ago it was sent.
    #[prost(uint64, tag = "2")]
    pub age: u64,
    /// The parts of its prompt on which an answer was about to begin.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// A key that ran to its end.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CompletionRow {
    /// The key.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// How long ago.
    #[prost(uint64, tag = "2")]
    pub age: u64,
}

/// Verdicts, which each recipient passes on to a part of the entries.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Verdicts {
    /// The verdicts.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<VerdictRow>,
    /// The range of entries to which the recipient passes them on.
    #[prost(message, optional, tag = "2")]
    pub range: Option<KeyRange>,
}

/// A verdict, see [`policy::poison::verdicts`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct VerdictRow {
    /// The key.
    #[prost(fixed64, tag = "1")]
    pub key: u64,
    /// The version.
    #[prost(uint32, tag = "2")]
    pub version: u32,
    /// Whether requests with the key are refused.
    #[prost(bool, tag = "3")]
    pub blocked: bool,
    /// How long ago the first crash was that counted.
    #[prost(uint64, tag = "4")]
    pub since_age: u64,
    /// How long ago the verdict was reached, or the last trial allowed.
    #[prost(uint64, tag = "5")]
    pub decided_age: u64,
    /// How many trials were allowed.
    #[prost(uint32, tag = "6")]
    pub trials: u32,
}

impl CrashEvidence {
    /// Encodes what ran at a crash.
    pub fn new(crash: Crash, runs: &[Run], now: Time) -> Self {
        let row = |run: &Run| RunRow {
            request: run.request,
            age: age(run.began, now),
            parts: run.parts.clone(),
        };
        let runs = runs.iter().map(row).collect();
        let (target, age) = (crash.target, age(crash.at, now));
        Self { target, age, runs, completions: Vec::new() }
    }

    /// Encodes what ran to its end.
    pub fn of_completions(completions: &[(Key, Time)], now: Time) -> Self {
        let row = |(key, at): &(Key, Time)| CompletionRow { key: *key, age: age(*at, now) };
        Self { completions: completions.iter().map(row).collect(), ..Self::default() }
    }

    /// Decodes the crash.
    pub fn crash(&self, now: Time) -> Crash {
        Crash { target: self.target, at: time(self.age, now) }
    }

    /// Decodes what ran there.
    pub fn runs(&self, now: Time) -> Vec<Run> {
        let run = |row: &RunRow| Run {
            request: row.request,
            parts: row.parts.clone(),
            began: time(row.age, now),
        };
        self.runs.iter().map(run).collect()
    }

    /// Decodes what ran to its end.
    pub fn completions(&self, now: Time) -> Vec<(Key, Time)> {
        self.completions.iter().map(|row| (row.key, time(row.age, now))).collect()
    }
}

impl VerdictRow {
    /// Encodes a verdict.
    pub fn new(verdict: &Verdict, now: Time) -> Self {
        let Verdict { key, version, blocked, since, decided_at, trials } = *verdict;
        let (since_age, decided_age) = (age(since, now), age(decided_at, now));
        Self { key, version, blocked, since_age, decided_age, trials }
    }

    /// Decodes the verdict.
    pub fn verdict(&self, now: Time) -> Verdict {
        let Self { key, version, blocked, since_age, decided_age, trials } = *self;
        let (since, decided_at) = (time(since_age, now), time(decided_age, now));
        Verdict { key, version, blocked, since, decided_at, trials }
    }
}

fn age(at: Time, now: Time) -> u64 {
    u64::try_from(now.saturating_sub(at).as_micros()).unwrap_or(u64::MAX)
}

fn time(age: u64, now: Time) -> Time {
    now.saturating_sub(Duration::from_micros(age))
}
