//! Permits for requests to targets that named a limit, given out by their coordinators.

use super::MAX_TRACKED;
use policy::Hash;
use policy::pacing::{self, Pacer, Rate, RateLimit};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The limits of targets for which this entry is the coordinator or its standby, and the permits
/// left.
#[derive(Debug)]
pub struct Permits {
    targets: Mutex<HashMap<Hash, LimitedTarget>>,
    started: Instant,
}

/// A target that named a limit.
#[derive(Debug, Default)]
struct LimitedTarget {
    limit: RateLimit,
    pacer: Option<Pacer>,
}

impl Default for Permits {
    fn default() -> Self {
        Self { targets: Mutex::default(), started: Instant::now() }
    }
}

impl Permits {
    /// Records the limit that a target named in a response that arrived at `received`, to a request
    /// sent at `sent`.
    pub fn observe_limit(
        &self,
        target: Hash,
        rate: Option<Rate>,
        sent: Instant,
        received: Instant,
    ) {
        let (sent, received) = (self.time(sent), self.time(received));
        let mut targets = self.lock();
        if rate.is_none() && !targets.contains_key(&target) {
            return;
        }
        if targets.len() >= MAX_TRACKED {
            targets.clear();
        }
        targets.entry(target).or_default().limit.observe(rate, sent, received);
    }

    /// Takes a permit out of this share of a target's limit, or returns the time after which to
    /// retry. Returns whether a permit was needed.
    pub fn acquire(
        &self,
        target: Hash,
        share: impl FnOnce() -> f64,
        requester: pacing::Requester,
        now: Instant,
    ) -> Result<bool, Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        let Some(pacer) = pacer(&mut targets, target, share, now) else { return Ok(false) };
        pacer.acquire(requester, now).map(|()| true)
    }

    /// Checks whether there is a permit for a request of this priority, or how long until there is.
    pub fn check(
        &self,
        target: Hash,
        share: impl FnOnce() -> f64,
        priority: pacing::Priority,
        now: Instant,
    ) -> Result<(), Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        pacer(&mut targets, target, share, now).map_or(Ok(()), |pacer| pacer.check(priority, now))
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Hash, LimitedTarget>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the pacer of a target, if it named a limit.
fn pacer(
    targets: &mut HashMap<Hash, LimitedTarget>,
    target: Hash,
    share: impl FnOnce() -> f64,
    now: policy::Time,
) -> Option<&mut Pacer> {
    let limited = targets.get_mut(&target)?;
    let rate = limited.limit.rate()?;
    let pacer = limited.pacer.get_or_insert_with(|| Pacer::new(now));
    pacer.set_limit(rate, share(), now);
    Some(pacer)
}
