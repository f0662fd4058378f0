//! Permits for requests to targets that named a limit, given out by whoever coordinates them.

use super::MAX_REMEMBERED;
use crate::datagram::short;
use crate::groups::Group;
use crate::permits;
use crate::question::{Answer, AskPermit, Full, Permitted, Room, TargetLimit};
use crate::shared::Shared;
use crate::target::Target;
use policy::Hash;
use policy::pacing::{self, ALONE_PART, Limit, Pacer, Rate, STANDBY_PART};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
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
    limit: Limit,
    pacer: Option<Pacer>,
}

/// When to ask again for a target that isn't listed here.
const UNLISTED: Duration = Duration::from_millis(100);

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
        targets.entry(target).or_default().limit.hear(rate, sent, heard);
    }

    /// Gives a permit out of this part of a target's limit, or says when to ask again. Returns whether one
    /// was needed.
    pub fn take(
        &self,
        target: Hash,
        part: impl FnOnce() -> f64,
        ask: pacing::Ask,
        now: Instant,
    ) -> Result<bool, Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        let Some(pacer) = pacer(&mut targets, target, part, now) else { return Ok(false) };
        pacer.take(ask, now).map(|()| true)
    }

    /// Whether there is a permit for a request of this rank, or how long until there is.
    pub fn look(
        &self,
        target: Hash,
        part: impl FnOnce() -> f64,
        rank: pacing::Rank,
        now: Instant,
    ) -> Result<(), Duration> {
        let now = self.time(now);
        let mut targets = self.lock();
        pacer(&mut targets, target, part, now).map_or(Ok(()), |pacer| pacer.look(rank, now))
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

/// The part of a limit that this entry gives out for targets of a group.
pub(super) fn part(shared: &Shared, group: &Group) -> f64 {
    match group.coordinators.first() {
        Some(first) if first.address.is_none() => 1.0,
        Some(first) if !shared.peers.hears(first.key) => ALONE_PART,
        Some(_) | None => STANDBY_PART,
    }
}

/// Answers a question for a permit.
pub(super) fn decide(shared: &Shared, ask: &AskPermit) -> Answer {
    let now = Instant::now();
    if let Some(limit) = &ask.limit {
        hear(shared, limit);
    }
    let given = match find(shared, ask.service, ask.target) {
        Some(target) => {
            let groups = shared.groups(&target.service);
            let group = permits::group(&groups, &target);
            let part = || group.map_or(STANDBY_PART, |group| self::part(shared, group));
            let asker = ask.asker.unwrap_or_default().ask();
            shared.coordinator.permits.take(target.key, part, asker, now)
        }
        None => Err(UNLISTED),
    };
    let room = match given {
        Ok(_) => Room::Permitted(Permitted {}),
        Err(after) => {
            let after_us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
            Room::Full(Full { after_us, ..Full::default() })
        }
    };
    Answer { booking: ask.booking, room: Some(room) }
}

/// Takes in which limit a target names.
pub fn hear(shared: &Shared, limit: &TargetLimit) {
    // One that is gone, or that is not yet listed here.
    let Some(target) = find(shared, limit.service, limit.target) else { return };
    let now = Instant::now();
    let ago = |ms: u32| now.checked_sub(Duration::from_millis(ms.into())).unwrap_or(now);
    // Whatever a datagram holds, only what a target can name counts.
    let rate = limit.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    if rate.is_none() && limit.rate.is_some() {
        log::warn!(target: "peers", target_id = target.id.as_str(); "limit not readable");
        return;
    }
    shared.coordinator.permits.hear(target.key, rate, ago(limit.sent_ms), ago(limit.heard_ms));
}

fn find(shared: &Shared, service: u32, target: u32) -> Option<Arc<Target>> {
    let service = super::service(shared, service)?;
    let targets = shared.usable(&service.name);
    targets.iter().find(|other| short(other.key) == target).cloned()
}
