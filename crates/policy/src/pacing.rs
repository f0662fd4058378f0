//! Limits the requests per second that a rate-limited target gets from all entries together.
//!
//! **Load pattern.** A target that can take less load than usual names a rate limit in its
//! responses, for as long as that lasts. Up to hundreds of entries send to it, with unequal demand.
//! **Without this**, each entry goes on as before, or applies the whole limit by itself, and the
//! target gets several times what it can take. **Approach.** The coordinator of the target grants a
//! permit for each request, from one [`Pacer`]. The standby grants [`STANDBY_SHARE`] of the limit,
//! or [`ISOLATED_STANDBY_SHARE`] if it does not reach the coordinator either. Without a response
//! there is no permit, so entries that are killed, frozen or partitioned never make the sum exceed
//! what is allowed.

use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Requests per second.
pub type Rate = f64;

/// The rate limit that a target named last. Handles responses that overtake one another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateLimit {
    rate: Option<Rate>,
    /// When the newest response with this limit was received.
    received_at: Time,
    /// When the newest request was sent whose response named this limit.
    sent_at: Time,
}

impl RateLimit {
    /// Returns the limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Returns when the newest response with this limit was received.
    pub fn received_at(&self) -> Time {
        self.received_at
    }

    /// Returns when the newest request was sent whose response named this limit.
    pub fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// Records the limit in a response that was received at `now`, to a request that was sent at
    /// `sent_at`. Returns whether the limit has changed.
    ///
    /// A lower limit applies at once. A higher one, or none, applies only if the request was sent
    /// after the current limit was last received: any other response may be older than that limit.
    pub fn observe(&mut self, named: Option<Rate>, sent_at: Time, now: Time) -> bool {
        if (named, self.rate) == (None, None) {
            return false;
        }
        let looser = match (named, self.rate) {
            (Some(new), Some(known)) => new > known,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if looser && sent_at < self.received_at {
            return false;
        }
        let changed = named != self.rate;
        let sent_at = if changed { sent_at } else { self.sent_at.max(sent_at) };
        *self = Self { rate: named, received_at: self.received_at.max(now), sent_at };
        changed
    }
}

/// Share of a rate limit that the standby of a coordinator grants. Both may be asked at the same
/// time, by entries that reach only one of them.
pub const STANDBY_SHARE: f64 = 0.3;

/// Share that the standby grants if it does not reach the coordinator, which has then most likely
/// failed.
pub const ISOLATED_STANDBY_SHARE: f64 = 0.8;

/// Requests per second that a target gets however low its limit is, so that the end of the limit is
/// noticed.
const MIN_RATE: Rate = 0.5;

/// Burst size of small limits: one permit and those of this time. For large limits it is two
/// permits and those of [`SHORT_BURST`]. Entries ask at random times, and without a burst a permit
/// that nobody asks for at its moment would be lost.
const BURST: Duration = Duration::from_millis(250);

/// Burst of large limits, see [`BURST`].
const SHORT_BURST: Duration = Duration::from_millis(125);

/// Share of the burst that is reserved for the most urgent requests.
const URGENT_RESERVE: f64 = 0.5;

/// Number of consecutive permits for urgent requests after which a less urgent one gets the next,
/// if one waits.
const MAX_CONSECUTIVE_URGENT: u32 = 7;

/// How long a request that was refused a permit counts as waiting, and how long the lowest priority
/// value seen counts as the most urgent one.
const RECENT: Duration = Duration::from_secs(2);

/// How often all entries together ask while one permit becomes available.
const REQUESTS_PER_PERMIT: f64 = 3.0;

/// Longest time that an entry waits before it asks again.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Priority of a request: 0 is the most urgent.
pub type Priority = u8;

/// Grants permits for requests to one target, as a token bucket.
#[derive(Debug, Clone)]
pub struct Pacer {
    rate: Rate,
    permits: f64,
    updated_at: Time,
    /// The lowest priority value seen recently, and when.
    most_urgent: Option<(Priority, Time)>,
    /// When a less urgent request was last refused.
    refused_at: Option<Time>,
    consecutive_urgent: u32,
    /// Entries that were refused recently.
    waiting: HashMap<Hash, Time>,
    /// When expired entries were last removed from `waiting`.
    cleaned_at: Time,
}

/// The entry and the priority of the request that a permit is requested for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// The hash of the entry's name.
    pub entry: Hash,
    /// The priority of the request.
    pub priority: Priority,
}

impl Pacer {
    /// Creates a pacer without permits: it does not know what another coordinator has just granted.
    pub fn new(now: Time) -> Self {
        Self {
            rate: MIN_RATE,
            permits: 0.0,
            updated_at: now,
            most_urgent: None,
            refused_at: None,
            consecutive_urgent: 0,
            waiting: HashMap::new(),
            cleaned_at: now,
        }
    }

    /// Sets the limit and the share of it that this pacer grants.
    pub fn set_limit(&mut self, limit: Rate, share: f64, now: Time) {
        self.advance(now);
        self.rate = limit.max(MIN_RATE) * share;
        self.permits = self.permits.min(self.capacity());
    }

    /// Takes a permit, or returns the time after which to ask again.
    pub fn acquire(&mut self, requester: Requester, now: Time) -> Result<(), Duration> {
        self.record_priority(requester.priority, now);
        if let Err(wait) = self.check(requester.priority, now) {
            self.record_refusal(requester, now);
            return Err(wait.max(self.min_wait()).min(MAX_WAIT));
        }
        self.permits -= 1.0;
        self.consecutive_urgent =
            if self.is_urgent(requester.priority, now) { self.consecutive_urgent + 1 } else { 0 };
        self.waiting.remove(&requester.entry);
        Ok(())
    }

    /// Checks whether a permit is available, or returns the time until one is.
    pub fn check(&mut self, priority: Priority, now: Time) -> Result<(), Duration> {
        self.advance(now);
        let missing = self.required(priority, now) - self.permits;
        if missing <= 0.0 {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(MAX_WAIT);
        Err(wait.min(MAX_WAIT))
    }

    /// Returns how many permits have to be available for a request of this priority to get one.
    fn required(&self, priority: Priority, now: Time) -> f64 {
        let prefer_others =
            self.consecutive_urgent >= MAX_CONSECUTIVE_URGENT && is_recent(self.refused_at, now);
        if self.is_urgent(priority, now) == prefer_others {
            1.0 + (self.capacity() - 1.0) * URGENT_RESERVE
        } else {
            1.0
        }
    }

    fn is_urgent(&self, priority: Priority, now: Time) -> bool {
        match self.most_urgent {
            Some((lowest, seen_at)) if is_recent(Some(seen_at), now) => priority <= lowest,
            Some(_) | None => true,
        }
    }

    fn record_priority(&mut self, priority: Priority, now: Time) {
        if self.is_urgent(priority, now) {
            self.most_urgent = Some((priority, now));
        }
    }

    fn record_refusal(&mut self, requester: Requester, now: Time) {
        if !self.is_urgent(requester.priority, now) {
            self.refused_at = Some(now);
        }
        if now.saturating_sub(self.cleaned_at) >= RECENT {
            self.waiting.retain(|_, at| is_recent(Some(*at), now));
            self.cleaned_at = now;
        }
        self.waiting.insert(requester.entry, now);
    }

    /// Returns how long an entry waits at least before it asks again, so that not all waiting
    /// entries ask for each permit.
    fn min_wait(&self) -> Duration {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let wait = f64::from(waiting) / (self.rate * REQUESTS_PER_PERMIT);
        Duration::try_from_secs_f64(wait).unwrap_or(MAX_WAIT)
    }

    /// Returns the maximum number of saved permits.
    fn capacity(&self) -> f64 {
        let within = |span: Duration| self.rate * span.as_secs_f64();
        (1.0 + within(BURST)).min(2.0 + within(SHORT_BURST))
    }

    fn advance(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.permits = (self.permits + elapsed * self.rate).min(self.capacity());
        self.updated_at = self.updated_at.max(now);
    }
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < RECENT)
}
