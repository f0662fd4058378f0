//! Learns how much time a first piece takes beyond the queue and the prefill that a reservation
//! counts.
//!
//! **Load pattern.** Prompts arrive at several times their mean rate for some seconds, and an
//! engine is reserved for each that can be prefilled within its objective. **Without this**, the
//! time left for everything else is fixed: where the network, the transfer of the KV cache and the
//! wait for a decode slot take longer, most of what was reserved in time is late, and displaced
//! prompts that would not have been. **Approach.** Each entry records by how much the first pieces
//! of its requests exceeded the prefill that was promised, and leaves as much of the objective as
//! nearly all of the latest took. Requests that end without a piece count with the time that they
//! waited. Old values are dropped, so an entry that gets no values returns to the fixed time. The
//! estimate never shortens that: longer queues serve no more prompts in a surge, but make the last
//! ones in them late.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Values kept: about a second of an entry's prompts in a surge, and some seconds otherwise.
const MAX_VALUES: usize = 64;

/// Values from which the estimate is used. The percentile of fewer is their maximum, so a single
/// accident would count.
const MIN_VALUES: usize = 20;

/// Nine of ten promises are to be kept. The percentile is higher than that, since values of prompts
/// with short queues, which keep their promise whatever the reserve, are among the others.
const PERCENTILE: usize = 95;

/// Age at which values are dropped. Surges are seconds apart, and what held in the one before the
/// last says nothing about the next.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Share of the objective that is left at most. With more, prompts would be refused by pools that
/// are nearly idle, and without prompts nobody would observe that the waits are over.
const MAX_RESERVE_SHARE: f64 = 0.5;

/// What was promised for the first piece when an engine was reserved for its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Promise {
    /// The queue at the engine and the prefill.
    pub prefill: Duration,
    /// What was left for everything else.
    pub reserve: Duration,
}

/// How long a first piece took, by part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// The queue and the prefill at an engine that only prefills, including the network to it.
    pub prefill: Duration,
    /// The network, and waits at the entry.
    pub network: Duration,
    /// The transfer of the KV cache.
    pub transfer: Duration,
    /// The wait for a decode slot and, if the engine prefills the prompt itself, that too.
    pub slot: Duration,
}

impl Parts {
    /// Splits a first piece that took `total`, of which prefill took `prefill` and the decode
    /// engine `decode`. Transfers to it take about `transfer`; what exceeds that is a wait.
    pub fn new(total: Duration, prefill: Duration, decode: Duration, transfer: Duration) -> Self {
        let network = total.saturating_sub(prefill + decode);
        let transfer = transfer.min(decode);
        Self { prefill, network, transfer, slot: decode - transfer }
    }
}

/// Estimates the time beyond what reservations count, for the requests of one service.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    /// The latest values with the times at which they were recorded, oldest first.
    values: VecDeque<(Time, Duration)>,
}

impl Estimator {
    /// Records that a first piece took `excess` longer than the prefill that was promised.
    pub fn record(&mut self, excess: Duration, now: Time) {
        if self.values.len() >= MAX_VALUES {
            self.values.pop_front();
        }
        self.values.push_back((now, excess));
    }

    /// Returns the time that [`PERCENTILE`] percent of the recent values don't exceed; `None` while
    /// there are too few.
    pub fn get(&self, now: Time) -> Option<Duration> {
        let is_recent = |at: &Time| now.saturating_sub(*at) < MAX_AGE;
        let recent = self.values.iter().filter(|(at, _)| is_recent(at));
        let mut recent: Vec<Duration> = recent.map(|(_, excess)| *excess).collect();
        if recent.len() < MIN_VALUES {
            return None;
        }
        let rank = (recent.len() * PERCENTILE).div_ceil(100) - 1;
        let (_, excess, _) = recent.select_nth_unstable(rank);
        Some(*excess)
    }
}

/// Returns the time to leave of an objective, for an estimate of what it takes.
pub fn reserve(estimate: Duration, objective: Duration) -> Duration {
    estimate.min(objective.mul_f64(MAX_RESERVE_SHARE))
}
