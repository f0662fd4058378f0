//! How many requests a second a target in need gets from all entries together.
//!
//! **Load pattern.** A target that can bear less than usual names a limit in its answers, for as long as
//! it is in need; up to hundreds of entries send to it, with unequal demand. **Without it** each entry goes
//! on as before, or keeps to the whole limit by itself, and the target gets several times what it can
//! bear. **How.** Whoever coordinates the target gives a permit for each request, from one [`Pacer`]. Who
//! stands by gives [`STANDBY_SHARE`] of that, or [`ISOLATED_STANDBY_SHARE`] if it doesn't hear the first either, and without an answer there is no
//! permit, so that entries that are killed, frozen or cut off never make the sum exceed what is allowed.

use crate::{Hash, Time};
use std::collections::HashMap;
use std::time::Duration;

/// Requests a second.
pub type Rate = f64;

/// The limit that a target named last, in spite of answers that overtake one another.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RateLimit {
    rate: Option<Rate>,
    /// When the newest answer came that named this limit.
    heard: Time,
    /// When the newest request was sent that was answered with it.
    sent: Time,
}

impl RateLimit {
    /// The limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// When it was last heard of.
    pub fn received_at(&self) -> Time {
        self.heard
    }

    /// When the newest request was sent that was answered with it.
    pub fn sent_at(&self) -> Time {
        self.sent
    }

    /// Takes in what an answer names that came at `now` and whose request was sent at `sent`. Returns
    /// whether the limit is another now.
    ///
    /// A lower limit counts at once. A higher one, or none, counts only in the answer to a request that
    /// was sent after the limit was last heard of: any other may be older than that.
    pub fn observe(&mut self, named: Option<Rate>, sent: Time, now: Time) -> bool {
        if (named, self.rate) == (None, None) {
            return false;
        }
        let looser = match (named, self.rate) {
            (Some(new), Some(known)) => new > known,
            (None, Some(_)) => true,
            (_, None) => false,
        };
        if looser && sent < self.heard {
            return false;
        }
        let changed = named != self.rate;
        let sent = if changed { sent } else { self.sent.max(sent) };
        *self = Self { rate: named, heard: self.heard.max(now), sent };
        changed
    }
}

/// The part of a limit that is given out by who stands by for a coordinator. Both may be asked at the same
/// time, by entries that reach different ones of them.
pub const STANDBY_SHARE: f64 = 0.3;

/// The same where who stands by doesn't hear the coordinator either: then it is gone, most likely.
pub const ISOLATED_STANDBY_SHARE: f64 = 0.8;

/// Requests that a target gets in a second whatever it names, so that the end of its need is heard of.
const LEAST_RATE: Rate = 0.5;

/// Permits of this span may be saved up besides one, and of large limits those of [`SHORT_SPAN`] besides two.
/// Entries ask at random times, and without any a permit that nobody asks for in its moment would be lost.
const SAVED_SPAN: Duration = Duration::from_millis(250);

/// See [`SAVED_SPAN`].
const SHORT_SPAN: Duration = Duration::from_millis(125);

/// The part of what may be saved up that is kept for the most urgent requests.
const KEPT_FOR_URGENT: f64 = 0.5;

/// After so many permits for urgent requests in a row, the next is for another that waits for one.
const URGENT_IN_A_ROW: u32 = 7;

/// How long a request that was refused a permit counts as waiting, and an urgent one as the most urgent.
const RECENT: Duration = Duration::from_secs(2);

/// How often all entries together ask in the time in which one permit becomes free.
const ASKED_EACH: f64 = 3.0;

/// The longest that an entry is told to wait before it asks again.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// How urgent a request is: 0 goes first.
pub type Priority = u8;

/// Gives out permits for requests to one target.
#[derive(Debug, Clone)]
pub struct Pacer {
    rate: Rate,
    permits: f64,
    at: Time,
    /// The lowest rank seen lately, and when.
    urgent: Option<(Priority, Time)>,
    /// When a request that is less urgent was last refused.
    refused: Option<Time>,
    in_a_row: u32,
    /// Who was refused lately.
    waiting: HashMap<Hash, Time>,
    /// When they were last looked through.
    swept: Time,
}

/// Who asks for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// The entry.
    pub entry: Hash,
    /// How urgent the request is.
    pub priority: Priority,
}

impl Pacer {
    /// One that has no permits yet: it doesn't know what others have given out before.
    pub fn new(now: Time) -> Self {
        Self {
            rate: LEAST_RATE,
            permits: 0.0,
            at: now,
            urgent: None,
            refused: None,
            in_a_row: 0,
            waiting: HashMap::new(),
            swept: now,
        }
    }

    /// Gives out this part of a limit from now on.
    pub fn set_limit(&mut self, limit: Rate, part: f64, now: Time) {
        self.advance(now);
        self.rate = limit.max(LEAST_RATE) * part;
        self.permits = self.permits.min(self.most());
    }

    /// Gives a permit, or says after how long to ask again.
    pub fn acquire(&mut self, ask: Requester, now: Time) -> Result<(), Duration> {
        self.note_rank(ask.priority, now);
        if let Err(wait) = self.check(ask.priority, now) {
            self.note_refusal(ask, now);
            return Err(wait.max(self.pause()).min(LONGEST_WAIT));
        }
        self.permits -= 1.0;
        self.in_a_row = if self.is_urgent(ask.priority, now) { self.in_a_row + 1 } else { 0 };
        self.waiting.remove(&ask.entry);
        Ok(())
    }

    /// Whether there is a permit, or how long until there is.
    pub fn check(&mut self, rank: Priority, now: Time) -> Result<(), Duration> {
        self.advance(now);
        let missing = self.needed(rank, now) - self.permits;
        if missing <= 0.0 {
            return Ok(());
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(LONGEST_WAIT);
        Err(wait.min(LONGEST_WAIT))
    }

    /// Permits that have to be there for a request to get one.
    fn needed(&self, rank: Priority, now: Time) -> f64 {
        let others_turn = self.in_a_row >= URGENT_IN_A_ROW && is_recent(self.refused, now);
        if self.is_urgent(rank, now) == others_turn {
            1.0 + (self.most() - 1.0) * KEPT_FOR_URGENT
        } else {
            1.0
        }
    }

    fn is_urgent(&self, rank: Priority, now: Time) -> bool {
        match self.urgent {
            Some((lowest, seen)) if is_recent(Some(seen), now) => rank <= lowest,
            Some(_) | None => true,
        }
    }

    fn note_rank(&mut self, rank: Priority, now: Time) {
        if self.is_urgent(rank, now) {
            self.urgent = Some((rank, now));
        }
    }

    fn note_refusal(&mut self, ask: Requester, now: Time) {
        if !self.is_urgent(ask.priority, now) {
            self.refused = Some(now);
        }
        if now.saturating_sub(self.swept) >= RECENT {
            self.waiting.retain(|_, at| is_recent(Some(*at), now));
            self.swept = now;
        }
        self.waiting.insert(ask.entry, now);
    }

    /// How long an entry waits before it asks again, so that all who wait don't ask for each permit.
    fn pause(&self) -> Duration {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let pause = f64::from(waiting) / (self.rate * ASKED_EACH);
        Duration::try_from_secs_f64(pause).unwrap_or(LONGEST_WAIT)
    }

    /// Permits that may be saved up.
    fn most(&self) -> f64 {
        let of = |span: Duration| self.rate * span.as_secs_f64();
        (1.0 + of(SAVED_SPAN)).min(2.0 + of(SHORT_SPAN))
    }

    fn advance(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.permits = (self.permits + passed * self.rate).min(self.most());
        self.at = self.at.max(now);
    }
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < RECENT)
}
