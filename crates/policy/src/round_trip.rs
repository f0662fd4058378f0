//! Estimates round trips to other entries, and decides how long to wait for their answers.
//!
//! **Load pattern.** Each prompt waits for the answers of coordinators, of which some are in the
//! same rack and others in another region, where a round trip alone takes most of a tenth of the
//! objective. **Without this** (a fixed share of the objective), answers from other regions arrive
//! after the wait has ended: the request loses that time, and the coordinator counts as silent.
//! **Approach.** Mean and deviation are smoothed per peer as in TCP, and the wait follows them
//! within bounds that depend on the objective. Answers that arrive after the wait are measured as
//! well: otherwise a link that becomes slower than the wait would never be learned. One lost
//! datagram is no reason to skip a peer; two timeouts without an answer between them are.

use crate::distance::Distance;
use crate::number::span;
use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Weight of a sample in the mean, as in TCP.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// Weight of a sample in the deviation, as in TCP.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Deviations above the mean until which an answer is awaited, as in TCP.
const DEVIATIONS: f64 = 4.0;

/// The least that the wait exceeds the mean. After a quiet time the deviation is close to zero, and
/// the next answer of a busy VM is some milliseconds late.
const MIN_MARGIN: Duration = Duration::from_millis(5);

/// The share of the objective for which an answer is awaited in any case.
const MIN_SHARE: f64 = 0.1;

/// The shortest wait: a small VM responds within this time while it is busy.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// The share of the objective after which no answer is awaited. With a longer wait, too little is
/// left to prefill the prompt elsewhere.
const MAX_SHARE: f64 = 0.3;

/// Consecutive timeouts after which a peer is skipped.
const MAX_TIMEOUTS: u32 = 2;

/// A peer that is not heard of for this long is forgotten.
const RETENTION: Duration = Duration::from_secs(60);

/// Estimates of the round trips to all peers.
#[derive(Debug, Clone, Default)]
pub struct Estimator {
    peers: HashMap<Hash, Peer>,
    /// Estimates over all peers at each distance, in the order of [`Distance::ALL`].
    distances: [Option<Estimate>; Distance::ALL.len()],
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    estimate: Option<Estimate>,
    /// Timeouts since its last answer.
    timeouts: u32,
    updated_at: Time,
}

/// A smoothed round trip.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Estimate {
    fn first(sample: f64) -> Self {
        Self { mean: sample, deviation: sample / 2.0 }
    }

    fn update(&mut self, sample: f64) {
        self.deviation += DEVIATION_WEIGHT * ((sample - self.mean).abs() - self.deviation);
        self.mean += MEAN_WEIGHT * (sample - self.mean);
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        span(self.mean)
    }

    /// Returns the time within which an answer normally arrives.
    pub fn upper(&self) -> Duration {
        span(self.mean) + span(DEVIATIONS * self.deviation).max(MIN_MARGIN)
    }
}

impl Estimator {
    /// Records how long the answer of a peer took, also of one that arrived after the wait.
    pub fn sample(&mut self, peer: Hash, distance: Distance, duration: Duration, now: Time) {
        let sample = duration.as_secs_f64();
        update(&mut self.peer(peer, now).estimate, sample);
        update(&mut self.distances[index(distance)], sample);
    }

    /// Records that a peer answered within the wait.
    pub fn answered(&mut self, peer: Hash, now: Time) {
        self.peer(peer, now).timeouts = 0;
    }

    /// Records that a peer did not answer within `wait`; returns whether it should be skipped for a
    /// while.
    #[must_use]
    pub fn timed_out(
        &mut self,
        peer: Hash,
        wait: Duration,
        objective: Duration,
        now: Time,
    ) -> bool {
        let known = self.peer(peer, now);
        known.timeouts += 1;
        known.timeouts >= MAX_TIMEOUTS || wait >= objective.mul_f64(MAX_SHARE)
    }

    /// Returns how long to wait for the answer of a peer. As long as no answer came from that
    /// distance, those from other regions are awaited as long as possible.
    pub fn wait(&self, peer: Hash, distance: Distance, objective: Duration) -> Duration {
        let min = objective.mul_f64(MIN_SHARE).max(MIN_WAIT);
        let max = objective.mul_f64(MAX_SHARE).max(min);
        match self.estimate(peer, distance) {
            Some(estimate) => estimate.upper().clamp(min, max),
            None if distance == Distance::OtherRegion => max,
            None => min,
        }
    }

    /// Returns the estimate for a peer, or that for its distance if there is none.
    pub fn estimate(&self, peer: Hash, distance: Distance) -> Option<Estimate> {
        let own = self.peers.get(&peer).and_then(|peer| peer.estimate);
        own.or_else(|| self.by_distance(distance))
    }

    /// Returns the estimate over all peers at a distance.
    pub fn by_distance(&self, distance: Distance) -> Option<Estimate> {
        self.distances[index(distance)]
    }

    fn peer(&mut self, peer: Hash, now: Time) -> &mut Peer {
        if !self.peers.contains_key(&peer) {
            self.peers.retain(|_, known| now < known.updated_at + RETENTION);
        }
        let known = self.peers.entry(peer).or_default();
        known.updated_at = now;
        known
    }
}

fn update(estimate: &mut Option<Estimate>, sample: f64) {
    match estimate {
        Some(estimate) => estimate.update(sample),
        None => *estimate = Some(Estimate::first(sample)),
    }
}

fn index(distance: Distance) -> usize {
    match distance {
        Distance::SameDomain => 0,
        Distance::SameRegion => 1,
        Distance::OtherRegion => 2,
    }
}
