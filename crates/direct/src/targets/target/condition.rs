//! Whether a target can be reached, responds, and is still the one at its address.

use super::Health;
use policy::Time;
use policy::reachability::Reachability;
use std::time::Duration;

/// Weight of a new sample in the moving average of failures, which forgets within some ten samples.
const SMOOTHING: f64 = 0.15;

/// What a target that always fails adds to its utilization. One that fails half of its requests
/// then gets work only when the others are about full.
const FAILURE_WEIGHT: f64 = 2.0;

/// How long a target is avoided after another one responded in its place, unless it renews its
/// record: by then its record has expired, or an engine whose stage changed has reported that.
const MISDIRECTED_TTL: Duration = Duration::from_secs(4);

/// The condition of one target, as exchanges with it show it.
#[derive(Debug, Default)]
pub(super) struct Condition {
    pub(super) reach: Reachability,
    failure_rate: f64,
    /// Until when it counts as absent, because whatever responds at its address reported so.
    misdirected: Option<Time>,
}

impl Condition {
    /// Records what an exchange showed about its health.
    pub(super) fn record_health(&mut self, health: Health, now: Time) {
        let failed = match health {
            Health::Healthy => 0.0,
            Health::Failing | Health::Unreachable => 1.0,
        };
        self.failure_rate += (failed - self.failure_rate) * SMOOTHING;
        match health {
            Health::Healthy | Health::Failing => self.reach.response_received(now),
            Health::Unreachable => self.reach.connection_failed(now),
        }
    }

    pub(super) fn mark_misdirected(&mut self, now: Time) {
        self.misdirected = Some(now + MISDIRECTED_TTL);
    }

    pub(super) fn record_renewal(&mut self) {
        self.misdirected = None;
    }

    pub(super) fn is_unavailable(&self, silence_timeout: Duration, now: Time) -> bool {
        self.misdirected.is_some_and(|until| now < until)
            || self.reach.is_backing_off()
            || self.reach.is_unresponsive(silence_timeout, now)
    }

    /// What its failures add to its utilization.
    pub(super) fn failure_penalty(&self) -> f64 {
        self.failure_rate * FAILURE_WEIGHT
    }
}
