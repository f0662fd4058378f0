//! Whether a target can be reached, answers, and is the one that stands at its address.

use super::Health;
use policy::Time;
use policy::reachability::Reachability;
use std::time::Duration;

/// The weight of a new sample in the average of failures: it forgets within some ten samples.
const SMOOTHING: f64 = 0.15;

/// What a target that always fails counts as, in requests that fill all its slots. One that fails
/// half of its requests then gets work only when the others are about full.
const FAILURE_WEIGHT: f64 = 2.0;

/// How long a target is left alone after another answered in its place, unless it tells of itself
/// again: by then its entry has lapsed, or one of a stage that changed has said so.
const MISDIRECTED: Duration = Duration::from_secs(4);

/// The condition of one target, by exchanges with it.
#[derive(Debug, Default)]
pub(super) struct Condition {
    pub(super) reach: Reachability,
    failures: f64,
    /// Until when it counts as not being there, because what stands at its address said so.
    misdirected: Option<Time>,
}

impl Condition {
    /// Takes in how an exchange ended.
    pub(super) fn judge(&mut self, health: Health, now: Time) {
        let failed = match health {
            Health::Sound => 0.0,
            Health::Failing | Health::Unreachable => 1.0,
        };
        self.failures += (failed - self.failures) * SMOOTHING;
        match health {
            Health::Sound | Health::Failing => self.reach.response_received(now),
            Health::Unreachable => self.reach.connection_failed(now),
        }
    }

    pub(super) fn misdirected(&mut self, now: Time) {
        self.misdirected = Some(now + MISDIRECTED);
    }

    pub(super) fn renewed(&mut self) {
        self.misdirected = None;
    }

    pub(super) fn is_away(&self, patience: Duration, now: Time) -> bool {
        self.misdirected.is_some_and(|until| now < until)
            || self.reach.is_backing_off()
            || self.reach.is_unresponsive(patience, now)
    }

    /// What its failures weigh, as a share of its slots.
    pub(super) fn weight(&self) -> f64 {
        self.failures * FAILURE_WEIGHT
    }
}
