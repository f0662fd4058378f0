//! The token bucket of a customer at its coordinator, with what is promised to its callers.

use super::shares::Shares;
use super::{Bounds, EntryKey, Limit};
use crate::Time;
use crate::number::span;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Part of the overage that is granted ahead of use. The rest covers what entries spend later than
/// it was granted.
const AHEAD: f64 = 0.5;

/// Part of the allowance by which requests larger than the bucket may overdraw it.
const OVERDRAFT: f64 = 0.5;

/// Parts of the overage and of the allowance that the bucket holds besides the burst, so that a
/// customer whose requests come in bursts gets what the bound allows in a window.
const OVERAGE_HELD: f64 = 0.5;
const ALLOWANCE_HELD: f64 = 0.25;

/// Part of the rate that is promised to callers who retry. The rest is left for first attempts,
/// which can still be in time: if a burst promised all of it, every request would be late.
const PROMISED: f64 = 0.25;

/// Time for which smaller requests find tokens that larger ones leave.
const LEFT_FOR_SMALL: Duration = Duration::from_millis(500);

/// Time over which the mean amount and the use of small requests are averaged.
const MEAN: Duration = Duration::from_secs(10);

/// Shortest time over which the use of small requests is averaged after the first one.
const SHORTEST_MEAN: Duration = Duration::from_millis(2_500);

/// How far above the mean a request is large. Amounts of requests of the same size differ less.
const LARGE: f64 = 1.01;

/// Largest part of the rate that small requests take from large ones in promises.
const MOST_FOR_SMALL: f64 = 0.9;

/// For how long a reserved amount is kept after the time at which its caller was told to retry.
const KEPT: Duration = Duration::from_secs(1);

/// Number of reservations per customer: a decision walks over them.
const MAX_RESERVATIONS: usize = 256;

/// Age from which a refund doesn't count. Until then, the room since its grant is known.
pub(super) const REFUND_AGE: Duration = Duration::from_secs(4);

/// Time for which the room is remembered: tokens granted ahead are refunded a term later.
const ROOMS: Duration = Duration::from_secs(8);

/// Number of steps in which the room is remembered, so that memory doesn't grow with the rate of the
/// requests. A refund is too small by one step at most.
const ROOM_STEPS: f64 = 256.0;

/// Time without requests after which a customer with a full bucket is forgotten.
const IDLE: Duration = Duration::from_secs(60);

/// Tokens, by which rounded levels may differ.
const ROUNDING: f64 = 1e-6;

/// An amount that is promised to a caller at a time.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    amount: f64,
    /// The level that the amount requires.
    level: f64,
    due: Time,
    /// Whether it is above the customer's mean amount. Smaller requests don't wait for it: the time
    /// at which it is due leaves them what they use.
    large: bool,
}

/// Tokens that were granted ahead to an entry, which may not have been used yet.
#[derive(Debug, Clone, Copy)]
struct Lot {
    tokens: f64,
    until: Time,
}

/// What the bucket could still take in at a time: after it was filled and cut, before a request.
#[derive(Debug, Clone, Copy)]
struct Room {
    tokens: f64,
    at: Time,
}

/// When a request can be granted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Availability {
    Now,
    In(Duration),
    /// Not with the shares that are lent now.
    Never,
}

impl Availability {
    fn at(due: Time, now: Time) -> Self {
        if due <= now { Self::Now } else { Self::In(due - now) }
    }
}

/// Returns what a limit allows in a window, before overage and allowance.
fn allowed(limit: &Limit, bounds: &Bounds) -> f64 {
    limit.rate * bounds.window.as_secs_f64() + limit.burst
}

/// Adds to the burst of a limit what the bounds allow besides.
fn with_bounds(limit: &Limit, bounds: &Bounds) -> Limit {
    let overage = bounds.overage * allowed(limit, bounds);
    let held = OVERAGE_HELD * overage + ALLOWANCE_HELD * bounds.allowance;
    Limit { burst: limit.burst + held, ..*limit }
}

/// Returns the level that is needed when each reservation is due, for it and all later ones, if the
/// bucket fills at this rate.
fn needed_levels(reservations: &[Reservation], rate: f64, now: Time) -> Vec<f64> {
    let mut needed = vec![0.0; reservations.len()];
    let mut after: Option<(f64, Time)> = None;
    for (at, reservation) in reservations.iter().enumerate().rev() {
        let due = reservation.due.max(now);
        let later = after.map_or(0.0, |(needed, next_due): (f64, Time)| {
            needed - rate * next_due.saturating_sub(due).as_secs_f64()
        });
        needed[at] = reservation.level.max(reservation.amount + later.max(0.0));
        after = Some((needed[at], due));
    }
    needed
}

/// The bucket of one customer.
#[derive(Debug)]
pub(super) struct Bucket {
    /// The limit, whose burst includes what the bounds add to it.
    limit: Limit,
    /// What the limit allows in a window, before overage and allowance.
    window: f64,
    level: f64,
    /// What a previous coordinator may have overdrawn. As a new bucket doesn't contain this debt, it
    /// is not overdrawn itself before the debt would have been repaid.
    debt: f64,
    overdraft: f64,
    fraction: f64,
    filled: Duration,
    gained: f64,
    /// In the order of time, each larger than all earlier ones.
    rooms: VecDeque<Room>,
    /// In the order in which they are due.
    reservations: Vec<Reservation>,
    /// By entry, so that a request doesn't walk over those of other entries.
    lots: HashMap<EntryKey, Vec<Lot>>,
    amounts: f64,
    count: f64,
    small_amounts: f64,
    /// The time over which `small_amounts` was used, decayed as they are.
    small_seconds: f64,
    used_at: Time,
}

impl Bucket {
    pub(super) fn new(bounds: &Bounds, limit: Limit, shares: &Shares, now: Time) -> Self {
        let overdraft = bounds.allowance * OVERDRAFT;
        let window = allowed(&limit, bounds);
        let limit = with_bounds(&limit, bounds);
        let idle = (shares.filled() - shares.gained_at()).as_secs_f64() * limit.rate;
        let repaid = (idle - limit.burst * shares.fraction()).max(0.0);
        Self {
            limit,
            window,
            level: shares.idle_level(limit.rate, limit.burst).max(0.0),
            debt: (overdraft * shares.fraction() - repaid).max(0.0),
            overdraft,
            fraction: shares.fraction(),
            filled: shares.filled(),
            gained: shares.gained(),
            rooms: VecDeque::new(),
            reservations: Vec::new(),
            lots: HashMap::new(),
            amounts: 0.0,
            count: 0.0,
            small_amounts: 0.0,
            small_seconds: 0.0,
            used_at: now,
        }
    }

    pub(super) fn limit(&self) -> &Limit {
        &self.limit
    }

    fn capacity(&self) -> f64 {
        self.limit.burst * self.fraction
    }

    fn rate(&self) -> f64 {
        self.limit.rate * self.fraction
    }

    /// Fills the bucket up to an integral of the fraction, which is still the same or has fallen.
    pub(super) fn fill(&mut self, filled: Duration, fraction: f64, now: Time) {
        self.fraction = fraction;
        let level = self.level + self.limit.rate * (filled - self.filled).as_secs_f64();
        self.filled = filled;
        self.level = level.min(self.capacity());
        self.debt = (self.debt - (level - self.level)).max(0.0);
        self.record_room(now);
    }

    /// Brings the bucket up to date with the shares, whose fraction may have changed just now.
    pub(super) fn advance(&mut self, shares: &Shares) {
        self.debt += (shares.gained() - self.gained) * self.overdraft;
        self.gained = shares.gained();
        self.fill(shares.filled(), shares.fraction(), shares.at());
    }

    /// Ends what has expired.
    pub(super) fn expire(&mut self, now: Time) {
        self.reservations.retain(|reservation| now < reservation.due + KEPT);
    }

    /// Ends the lots of all entries, also of those that request nothing more.
    pub(super) fn expire_lots(&mut self, now: Time) {
        self.lots.retain(|_, lots| {
            lots.retain(|lot| now < lot.until);
            !lots.is_empty()
        });
    }

    fn record_room(&mut self, now: Time) {
        let tokens = self.capacity() - self.level;
        while self.rooms.back().is_some_and(|room| tokens <= room.tokens) {
            self.rooms.pop_back();
        }
        let step = (self.capacity() + self.overdraft) / ROOM_STEPS;
        match self.rooms.back_mut() {
            // The lesser room counts for longer, which refunds less and never more.
            Some(room) if tokens - room.tokens < step => room.at = now,
            _ => self.rooms.push_back(Room { tokens, at: now }),
        }
        while self.rooms.front().is_some_and(|room| room.at + ROOMS < now) {
            self.rooms.pop_front();
        }
    }

    /// Applies a limit that an entry knows, if it is newer.
    pub(super) fn update(&mut self, limit: &Limit, bounds: &Bounds) {
        if limit.version <= self.limit.version {
            return;
        }
        self.window = allowed(limit, bounds);
        let limit = with_bounds(limit, bounds);
        if limit.rate < self.limit.rate || limit.burst < self.limit.burst {
            // What was promised by the higher limit doesn't become available in time.
            self.reservations.clear();
        }
        if self.level < 0.0 {
            // What is overdrawn is repaid at the new rate in the time that it takes at the old one.
            // A raised limit demands no more than may be overdrawn, or what is.
            let least = self.level.min(-self.overdraft * self.fraction);
            self.level = (self.level * limit.rate / self.limit.rate).max(least);
        }
        self.limit = limit;
        self.level = self.level.min(self.capacity());
        self.lots.clear();
    }

    /// Returns the level that a request requires; none if this bucket never reaches it.
    fn required_level(&self, amount: f64) -> Option<f64> {
        let capacity = self.capacity();
        if amount <= capacity {
            return Some(amount);
        }
        // What is overdrawn must not exceed this coordinator's part of the allowance.
        let least = amount - self.overdraft * self.fraction;
        (least <= capacity + ROUNDING).then_some(capacity)
    }

    /// Records the amount of a request, granted or not.
    pub(super) fn observe(&mut self, amount: f64, now: Time) {
        let decay = (-now.saturating_sub(self.used_at).as_secs_f64() / MEAN.as_secs_f64()).exp();
        self.used_at = self.used_at.max(now);
        self.amounts = self.amounts * decay + amount;
        self.count = self.count * decay + 1.0;
        let small = if self.is_large(amount) { 0.0 } else { amount };
        self.small_amounts = self.small_amounts * decay + small;
        self.small_seconds = self.small_seconds * decay + MEAN.as_secs_f64() * (1.0 - decay);
    }

    fn is_large(&self, amount: f64) -> bool {
        amount * self.count > self.amounts * LARGE
    }

    /// Tokens per second that requests up to the mean amount use. Without larger ones, nothing is
    /// left for them.
    fn small_rate(&self) -> f64 {
        let seconds = self.small_seconds.max(SHORTEST_MEAN.as_secs_f64());
        (self.small_amounts / seconds).min(self.rate())
    }

    /// Returns when an amount becomes available that nobody else was promised.
    pub(super) fn availability(&self, amount: f64, now: Time) -> Availability {
        let Some(required) = self.required_level(amount) else { return Availability::Never };
        if self.rate() <= 0.0 {
            return Availability::Never;
        }
        let debt = if amount > required { self.debt } else { 0.0 };
        let (rate, left) = if self.is_large(amount) {
            let small_rate = self.small_rate();
            let rate = self.rate() - small_rate.min(self.rate() * MOST_FOR_SMALL);
            (rate, small_rate * LEFT_FOR_SMALL.as_secs_f64())
        } else {
            (self.rate(), 0.0)
        };
        let capacity = self.capacity();
        // A full bucket is available however much is to be left in it.
        let target = (required + left).min(capacity.max(required));
        let left = target - required;
        let reservations = self.reservations_before(self.is_large(amount));
        let needs = needed_levels(&reservations, rate, now);
        let (mut level, mut from) = (self.level, now);
        let due = |level: f64, from: Time| {
            let lacking = target - level + debt;
            if lacking > ROUNDING { from + span(lacking / rate) } else { from }
        };
        for (next, needed) in reservations.iter().zip(needs) {
            let (due, next_due) = (due(level, from), next.due.max(now));
            let gained = rate * next_due.saturating_sub(due).as_secs_f64();
            let rest = level.max(target) - amount - left;
            if due <= next_due && rest + gained >= needed - ROUNDING {
                return Availability::at(due, now);
            }
            // What doesn't fit into the bucket is lost until then.
            level += rate * (next_due - from).as_secs_f64();
            level = level.min(capacity) - next.amount;
            from = next_due;
        }
        Availability::at(due(level, from), now)
    }

    /// Returns the reservations that go before a request.
    fn reservations_before(&self, large: bool) -> Vec<Reservation> {
        self.reservations.iter().filter(|other| large || !other.large).copied().collect()
    }

    /// What can be taken now without breaking a promise.
    fn unpromised(&self, now: Time) -> f64 {
        let Some(first) = self.reservations.first() else { return self.level };
        let gained = self.rate() * first.due.saturating_sub(now).as_secs_f64();
        let needed = needed_levels(&self.reservations, self.rate(), now)[0];
        self.level - (needed - gained).max(0.0)
    }

    pub(super) fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Promises an amount at the earliest time from `due` on that is left, and returns that time. If
    /// it is after `latest`, or there is no room for the reservation, the error is when there might
    /// be: a caller that is told an earlier time would be refused again.
    pub(super) fn reserve(&mut self, amount: f64, due: Time, latest: Time) -> Result<Time, Time> {
        let Some(level) = self.required_level(amount) else { return Err(due) };
        let spacing = span(amount / (self.rate() * PROMISED));
        let large = self.is_large(amount);
        let last = self.reservations.iter().rfind(|other| large || !other.large);
        let due = last.map_or(due, |last| due.max(last.due + spacing));
        if due > latest || self.reservations.len() >= MAX_RESERVATIONS {
            return Err(due);
        }
        let at = self.reservations.partition_point(|other| other.due <= due);
        self.reservations.insert(at, Reservation { amount, level, due, large });
        Ok(due)
    }

    /// Grants what was reserved for a caller that retries. Returns how long it has to wait, if it
    /// came early or the shares have changed since; none if nothing is reserved for it.
    pub(super) fn redeem(&mut self, amount: f64, now: Time) -> Option<Duration> {
        let same = |other: &Reservation| (other.amount - amount).abs() <= ROUNDING;
        let at = self.reservations.iter().position(same)?;
        let reservation = self.reservations[at];
        if now < reservation.due {
            return Some(reservation.due - now);
        }
        let required = self.required_level(amount)?;
        let debt = if amount > required { self.debt } else { 0.0 };
        let lacking = required + debt - self.level;
        if lacking > ROUNDING {
            return (self.rate() > 0.0).then(|| span(lacking / self.rate()));
        }
        self.reservations.remove(at);
        self.take(amount);
        Some(Duration::ZERO)
    }

    /// Grants tokens ahead of use to an entry, at most `wanted`, if they cover a request of this
    /// amount: fewer tokens would only expire. Half of the bucket stays for other entries.
    pub(super) fn grant_ahead(
        &mut self,
        bounds: &Bounds,
        entry: EntryKey,
        (wanted, amount): (f64, f64),
        entries: f64,
        (now, until): (Time, Time),
    ) -> f64 {
        let most = AHEAD * bounds.overage * self.window * self.fraction / entries;
        let lots = self.lots.entry(entry).or_default();
        lots.retain(|lot| now < lot.until);
        let outstanding: f64 = lots.iter().map(|lot| lot.tokens).sum();
        let spare = self.unpromised(now) - self.capacity() / 2.0;
        let tokens = wanted.min(most - outstanding).min(spare);
        if tokens < amount || tokens <= 0.0 {
            return 0.0;
        }
        self.take(tokens);
        self.lots.entry(entry).or_default().push(Lot { tokens, until });
        tokens
    }

    /// Takes back tokens that were granted ahead, no more than the entry still has.
    pub(super) fn give_back(&mut self, entry: EntryKey, tokens: f64, now: Time) {
        let Some(lots) = self.lots.get_mut(&entry) else { return };
        let mut rest = tokens;
        for lot in lots.iter_mut().filter(|lot| now < lot.until) {
            let taken = lot.tokens.min(rest);
            lot.tokens -= taken;
            rest -= taken;
        }
        lots.retain(|lot| lot.tokens > 0.0);
        self.level = (self.level + tokens - rest).min(self.capacity());
    }

    /// Takes back tokens granted at a time, as far as the bucket would contain them now if they had
    /// not been granted: it might have been full since.
    pub(super) fn refund(&mut self, amount: f64, granted: Time) {
        let at = self.rooms.partition_point(|room| room.at <= granted);
        let room = self.capacity() - self.level;
        let least = self.rooms.get(at).map_or(room, |least| least.tokens.min(room));
        self.level += amount.min(least).max(0.0);
    }

    /// Whether a new bucket would contain as much.
    pub(super) fn is_idle(&self, now: Time) -> bool {
        let full = self.level >= self.capacity() - ROUNDING && self.debt <= 0.0;
        now >= self.used_at + IDLE && (full || self.fraction <= 0.0)
    }
}
