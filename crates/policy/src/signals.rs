//! Signals that a target sends in the headers of its responses, and what follows for its senders.
//!
//! A new signal is a field of [`Signals`], kept by [`SignalState`] and checked in
//! [`SignalState::check_open`].

use crate::Time;
use crate::pacing::{Rate, RateLimit};
use crate::pause::Pause;
use std::time::Duration;

/// One signal, as read from the headers of a response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Signal<T> {
    /// The response does not contain it.
    #[default]
    Absent,
    /// Its value.
    Value(T),
    /// A value that could not be parsed.
    Unreadable,
}

/// All signals in the headers of one response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Signals {
    /// Rate limit: requests per second that the target accepts from all entries together.
    pub limit: Signal<Rate>,
    /// Whether the target is leaving.
    pub leaving: Signal<bool>,
    /// How long the target accepts no requests from this entry.
    pub pause: Signal<Duration>,
}

/// The name of a signal in logs.
pub type SignalName = &'static str;

/// A change of a target's signals by a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// The target accepts this many requests per second, or any number again.
    Limit(Option<Rate>),
    /// The target is leaving.
    Leaves,
    /// The target accepts no requests for a while.
    Pauses {
        /// How long, from now.
        span: Duration,
        /// Whether it accepted requests until now.
        is_new: bool,
    },
    /// The target accepts requests again after a pause.
    Resumes,
    /// A signal could not be parsed. The previous value still applies.
    Unreadable(SignalName),
}

/// Why no request may be sent to a target now. The names of the variants appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// It is rate limited, and there is no permit.
    Limited,
    /// It is leaving.
    Leaving,
    /// It is paused, or its load is still ramping up after a pause.
    Paused,
}

/// Returns the time until the first of some targets opens, or `None` if one is open or there are
/// none. Each item is the time for which a target is closed. Iteration stops at the first open
/// target.
pub fn until_open(closed: impl IntoIterator<Item = Option<Duration>>) -> Option<Duration> {
    let mut soonest = None;
    for left in closed {
        let left = left?;
        soonest = Some(soonest.map_or(left, |soonest: Duration| soonest.min(left)));
    }
    soonest
}

/// State of one incarnation of a target, from the signals in its responses.
#[derive(Debug, Clone, Default)]
pub struct SignalState {
    limit: RateLimit,
    leaving: bool,
    pause: Pause,
    unreadable: Vec<SignalName>,
}

impl SignalState {
    /// Restores the state of the same incarnation: whether it is leaving, and when its pause ends.
    pub fn restored(leaving: bool, pause: Option<Time>) -> Self {
        let pause = pause.map(Pause::new).unwrap_or_default();
        Self { leaving, pause, ..Self::default() }
    }

    /// Records the signals of a response that was received at `now`, to a request that was sent at
    /// `sent_at`, and returns what changed.
    pub fn observe(&mut self, signals: &Signals, sent_at: Time, now: Time) -> Vec<Change> {
        let Signals { limit, leaving, pause } = *signals;
        let mut changes = Vec::new();
        changes.extend(self.observe_limit(limit, sent_at, now));
        changes.extend(self.observe_leaving(leaving));
        changes.extend(self.observe_pause(pause, sent_at, now));
        changes
    }

    /// Returns the rate limit.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns whether the target is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Checks whether the target accepts requests now.
    pub fn check_open(&self, now: Time) -> Result<(), Closed> {
        if self.leaving {
            return Err(Closed::Leaving);
        }
        self.pause.check(now).map_err(|_| Closed::Paused)
    }

    /// Counts a request that is about to be sent, if the target accepts requests now.
    pub fn acquire(&mut self, now: Time) -> Result<(), Closed> {
        self.check_open(now)?;
        self.pause.acquire(now).map_err(|_| Closed::Paused)
    }

    /// Checks whether a request that was counted may still be sent on another connection, after its
    /// connection turned out to be closed.
    pub fn recheck(&self, now: Time) -> Result<(), Closed> {
        if self.leaving {
            return Err(Closed::Leaving);
        }
        if self.pause.is_active(now) { Err(Closed::Paused) } else { Ok(()) }
    }

    /// Returns the time until the target accepts requests again after a pause, if it does not now.
    pub fn pause_remaining(&self, now: Time) -> Option<Duration> {
        self.pause.check(now).err()
    }

    fn observe_limit(&mut self, signal: Signal<Rate>, sent_at: Time, now: Time) -> Option<Change> {
        let named = match signal {
            Signal::Absent => None,
            Signal::Value(rate) => Some(rate),
            Signal::Unreadable => return self.report_unreadable("limit"),
        };
        self.clear_unreadable("limit");
        self.limit.observe(named, sent_at, now).then_some(Change::Limit(named))
    }

    fn observe_leaving(&mut self, signal: Signal<bool>) -> Option<Change> {
        match signal {
            Signal::Value(true) => {
                let first = !std::mem::replace(&mut self.leaving, true);
                first.then_some(Change::Leaves)
            }
            // An incarnation that is leaving never stops leaving.
            Signal::Value(false) | Signal::Absent => None,
            Signal::Unreadable => self.report_unreadable("leaving"),
        }
    }

    fn observe_pause(
        &mut self,
        signal: Signal<Duration>,
        sent_at: Time,
        now: Time,
    ) -> Option<Change> {
        match signal {
            Signal::Value(span) => {
                let is_new = !self.pause.is_active(now);
                self.pause.begin(span, now).then_some(Change::Pauses { span, is_new })
            }
            Signal::Absent => self.pause.observe_response(sent_at, now).then_some(Change::Resumes),
            Signal::Unreadable => self.report_unreadable("pause"),
        }
    }

    /// Reports a signal that could not be parsed, once until it can be.
    fn report_unreadable(&mut self, name: SignalName) -> Option<Change> {
        if self.unreadable.contains(&name) {
            return None;
        }
        self.unreadable.push(name);
        Some(Change::Unreadable(name))
    }

    fn clear_unreadable(&mut self, name: SignalName) {
        self.unreadable.retain(|other| *other != name);
    }
}
