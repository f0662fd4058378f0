//! Divides the connections that a target accepts among the entries.
//!
//! **Load pattern.** A target accepts some tens of connections from all entries together and resets
//! any beyond; a load balancer hands most callers to a few of hundreds of entries. **Without this**,
//! equal shares leave one connection or none to an entry that has most of the requests, which then
//! refuses what it has read while the connections of the others are idle. **Approach.** More than half
//! of the connections are shared equally, so that any entry can serve callers at once. Most of the
//! rest goes by demand, of which entries tell each other. When a crowd moves on, the connections of
//! the entry that it leaves stay open for a moment; its demand counts for as long, so that the
//! target's limit holds.

use crate::Time;
use crate::number::float;
use std::time::Duration;

/// The share of a target's connections that the entries share equally.
const EQUAL_SHARE: f64 = 0.55;

/// The share that goes by demand. The target also needs some for health checks, and accepts fewer
/// while its queue is long.
const DEMAND_SHARE: f64 = 0.3;

/// Added to the demand of each entry, in requests: one request more or less makes no crowd.
const LEAST_DEMAND: f64 = 0.2;

/// The demand for a service at the entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// The number of entries, at least one.
    pub entries: u32,
    /// Requests that this entry serves at a time.
    pub own: f64,
    /// The mean of the other entries, as far as known.
    pub others: Option<f64>,
}

impl Demand {
    /// Returns how many of the `max` connections to a target this entry may have, one at least.
    pub fn connections(&self, max: u32) -> u32 {
        let entries = f64::from(self.entries.max(1));
        let share = EQUAL_SHARE / entries + DEMAND_SHARE * self.weight();
        // One at least; casting a positive float to an integer saturates.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let connections = (f64::from(max) * share) as u32;
        connections.max(1)
    }

    /// This entry's share of the whole demand.
    fn weight(&self) -> f64 {
        let entries = f64::from(self.entries.max(1));
        let Some(others) = self.others else { return 1.0 / entries };
        let (own, others) = (self.own + LEAST_DEMAND, others + LEAST_DEMAND);
        own / (own + others * (entries - 1.0))
    }
}

/// Measures how many requests for one service this entry serves at a time: the mean over
/// [`Meter::MEMORY`], or the present number if that is higher, since a crowd comes at once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Meter {
    active: u64,
    mean: f64,
    at: Time,
}

impl Meter {
    /// The time over which the mean is taken.
    pub const MEMORY: Duration = Duration::from_secs(2);

    /// Records that a request has begun.
    pub fn begin(&mut self, now: Time) {
        self.advance(now);
        self.active += 1;
    }

    /// Records that a request has ended.
    pub fn end(&mut self, now: Time) {
        self.advance(now);
        self.active = self.active.saturating_sub(1);
    }

    /// Returns how many requests are served at a time.
    pub fn demand(&self, now: Time) -> f64 {
        let mut meter = *self;
        meter.advance(now);
        meter.mean.max(float(meter.active))
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-elapsed / Self::MEMORY.as_secs_f64()).exp();
        self.mean = self.mean * kept + float(self.active) * (1.0 - kept);
        self.at = self.at.max(now);
    }
}
