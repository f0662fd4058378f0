//! Permits for requests to targets that named a limit, given out by whoever coordinates them.

use super::MAX_REMEMBERED;
use policy::Hash;
use policy::pacing::{self, Pacer, Rate, RateLimit};
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// The limits of targets that this entry coordinates or stands by for, and the permits that are left.
#[derive(Debug)]
pub struct Permits {
    targets: Mutex<HashMap<Hash, Limited>>,
    started: Instant,
}

/// A target that named a limit.
#[derive(Debug, Default)]
struct Limited {
    limit: RateLimit,
    pacer: Option<Pacer>,
}

impl Default for Permits {
    fn default() -> Self {
        Self { targets: Mutex::default(), started: Instant::now() }
    }
}

impl Permits {
    /// Takes in which limit a target named in an answer that came at `heard`, to a request sent at `sent`.
    pub fn hear(&self, target: Hash, rate: Option<Rate>, sent: Instant, heard: Instant) {
        let (sent, heard) = (self.time(sent), self.time(heard));
        let mut targets = self.lock();
        if rate.is_none() && !targets.contains_key(&target) {
            return;
        }
        if targets.len() >= MAX_REMEMBERED {
            targets.clear();
        }
        targets.entry(target).or_default().limit.observe(rate, sent, heard);
    }

    /// Gives a permit out of this part of a target's limit, or says when to ask again. Returns whether one
    /// was needed.
    pub fn take(
        &self,
        target: Hash,
        part: impl FnOnce() -> f64,
        ask: pacing::Requester,
        now: Instant,
    ) -> Result<bool, Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        let Some(pacer) = pacer(&mut targets, target, part, now) else { return Ok(false) };
        pacer.acquire(ask, now).map(|()| true)
    }

    /// Whether there is a permit for a request of this rank, or how long until there is.
    pub fn look(
        &self,
        target: Hash,
        part: impl FnOnce() -> f64,
        rank: pacing::Priority,
        now: Instant,
    ) -> Result<(), Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        pacer(&mut targets, target, part, now).map_or(Ok(()), |pacer| pacer.check(rank, now))
    }

    fn time(&self, now: Instant) -> policy::Time {
        now.saturating_duration_since(self.started)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Hash, Limited>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The pacer of a target, if it is limited.
fn pacer(
    targets: &mut HashMap<Hash, Limited>,
    target: Hash,
    part: impl FnOnce() -> f64,
    now: policy::Time,
) -> Option<&mut Pacer> {
    let limited = targets.get_mut(&target)?;
    let rate = limited.limit.rate()?;
    let pacer = limited.pacer.get_or_insert_with(|| Pacer::new(now));
    pacer.set_limit(rate, part(), now);
    Some(pacer)
}
