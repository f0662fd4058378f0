//! What a target says of itself in the heads of its answers, and what follows for who sends to it.
//!
//! A new signal is a field of [`Signals`], kept by [`SignalState`] and asked for in [`SignalState::check_open`].

use crate::Time;
use crate::pacing::{Rate, RateLimit};
use crate::pause::Pause;
use std::time::Duration;

/// One signal, as the head of an answer has it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Signal<T> {
    /// The answer says nothing of it.
    #[default]
    Absent,
    /// Its value.
    Value(T),
    /// A value that can't be read.
    Unreadable,
}

/// All signals in the head of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// How many requests a second the target takes in from all entries together.
    pub limit: Signal<Rate>,
    /// Whether it leaves.
    pub leaving: Signal<bool>,
    /// For how long it wants no requests from this entry.
    pub pause: Signal<Duration>,
}

/// The name of a signal in logs.
pub type SignalName = &'static str;

/// What changed with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The target takes in so many requests a second, or any number again.
    Limit(Option<Rate>),
    /// It leaves.
    Leaves,
    /// It wants no requests for so long.
    Pauses {
        /// From now on.
        span: Duration,
        /// Whether it took requests until now.
        is_new: bool,
    },
    /// It takes requests again after a pause.
    Resumes,
    /// A signal can't be read; what was known stays in force.
    Unreadable(SignalName),
}

/// Why a target gets no request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// It named a limit, and there is no permit.
    Limited,
    /// It leaves.
    Leaving,
    /// It wants none for a while, or not yet as many again.
    Paused,
}

/// How long until the first of some targets opens, if each of them is closed for a time; they are looked at up
/// to the first that is open.
pub fn until_open(closed: impl IntoIterator<Item = Option<Duration>>) -> Option<Duration> {
    let mut soonest = None;
    for left in closed {
        let left = left?;
        soonest = Some(soonest.map_or(left, |soonest: Duration| soonest.min(left)));
    }
    soonest
}

/// What is known of one life of a target by its own answers.
#[derive(Debug, Clone, Default)]
pub struct SignalState {
    limit: RateLimit,
    leaving: bool,
    pause: Pause,
    unreadable: Vec<SignalName>,
}

impl SignalState {
    /// What is left of an earlier account of the same life, which may have wanted a pause until then.
    pub fn restored(leaving: bool, pause: Option<Time>) -> Self {
        let pause = pause.map(Pause::new).unwrap_or_default();
        Self { leaving, pause, ..Self::default() }
    }

    /// Takes in what an answer that came at `now` says; its request was sent at `sent`.
    pub fn observe(&mut self, signals: &Signals, sent: Time, now: Time) -> Vec<Change> {
        let Signals { limit, leaving, pause } = *signals;
        let mut changes = Vec::new();
        changes.extend(self.observe_limit(limit, sent, now));
        changes.extend(self.observe_leaving(leaving));
        changes.extend(self.observe_pause(pause, sent, now));
        changes
    }

    /// The limit on what it takes in.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Whether it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Whether it wants requests now.
    pub fn check_open(&self, now: Time) -> Result<(), Closed> {
        if self.leaving {
            return Err(Closed::Leaving);
        }
        self.pause.look(now).map_err(|_| Closed::Paused)
    }

    /// Counts a request that is sent, if the target wants any now.
    pub fn acquire(&mut self, now: Time) -> Result<(), Closed> {
        self.check_open(now)?;
        self.pause.take(now).map_err(|_| Closed::Paused)
    }

    /// Whether a request that was counted may still be sent, after a connection turned out to be closed.
    pub fn recheck(&self, now: Time) -> Result<(), Closed> {
        if self.leaving {
            return Err(Closed::Leaving);
        }
        if self.pause.lasts(now) { Err(Closed::Paused) } else { Ok(()) }
    }

    /// How long until it wants requests again after a pause, if it does not now.
    pub fn pause_remaining(&self, now: Time) -> Option<Duration> {
        self.pause.look(now).err()
    }

    fn observe_limit(&mut self, said: Signal<Rate>, sent: Time, now: Time) -> Option<Change> {
        let named = match said {
            Signal::Absent => None,
            Signal::Value(rate) => Some(rate),
            Signal::Unreadable => return self.is_first_unreadable("limit"),
        };
        self.is_readable("limit");
        self.limit.observe(named, sent, now).then_some(Change::Limit(named))
    }

    fn observe_leaving(&mut self, said: Signal<bool>) -> Option<Change> {
        match said {
            Signal::Value(true) => {
                let first = !std::mem::replace(&mut self.leaving, true);
                first.then_some(Change::Leaves)
            }
            // No life of a target takes its leaving back.
            Signal::Value(false) | Signal::Absent => None,
            Signal::Unreadable => self.is_first_unreadable("leaving"),
        }
    }

    fn observe_pause(&mut self, said: Signal<Duration>, sent: Time, now: Time) -> Option<Change> {
        match said {
            Signal::Value(span) => {
                let is_new = !self.pause.lasts(now);
                self.pause.begin(span, now).then_some(Change::Pauses { span, is_new })
            }
            Signal::Absent => self.pause.answered(sent, now).then_some(Change::Resumes),
            Signal::Unreadable => self.is_first_unreadable("pause"),
        }
    }

    /// Notes that a signal can't be read, once until it can.
    fn is_first_unreadable(&mut self, name: SignalName) -> Option<Change> {
        if self.unreadable.contains(&name) {
            return None;
        }
        self.unreadable.push(name);
        Some(Change::Unreadable(name))
    }

    fn is_readable(&mut self, name: SignalName) {
        self.unreadable.retain(|other| *other != name);
    }
}
