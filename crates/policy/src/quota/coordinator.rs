//! The shares that are lent to this entry, and the buckets of customers that they fill.

use super::bucket::{Availability, Bucket, REFUND_AGE};
use super::shares::{LONGEST_TERM, Shares};
use super::{Bounds, CustomerKey, EntryKey, Life, Limit, Partition, RequestId, Stamp};
use super::{ConfigVersion, PARTITIONS};
use crate::Time;
use crate::number::float;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time for which answers are remembered: longer than the stamp of a request is recent, so that a
/// duplicate that comes later returns nothing.
const ANSWERED: Duration = Duration::from_secs(5);

/// How often idle customers are looked for.
const SWEEP: Duration = Duration::from_secs(10);

/// A request for tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct Ask {
    /// The entry that asks.
    pub entry: EntryKey,
    /// Identifies the request: a duplicate gets the same answer and costs nothing.
    pub id: RequestId,
    /// The latest stamp that the entry has from this coordinator. Without a recent one, `returned`
    /// is ignored, since a late datagram would return the tokens twice.
    pub echoed: Option<Stamp>,
    /// The customer.
    pub customer: CustomerKey,
    /// The limit as the entry knows it.
    pub limit: Limit,
    /// What the request costs; 0 to return tokens only.
    pub amount: f64,
    /// Tokens wanted ahead of use.
    pub ahead: f64,
    /// Unused tokens that were granted ahead.
    pub returned: f64,
    /// How long the caller can wait before it retries.
    pub max_wait: Duration,
    /// Whether the caller retries after a refusal, and so may use what is reserved for it.
    pub returning: bool,
}

/// What a coordinator answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    /// The request may run.
    Granted {
        /// Tokens granted ahead of use, valid for one term from when the request for tokens was
        /// sent, under [`Coordinator::version`].
        ahead: f64,
    },
    /// The request must not run.
    Refused {
        /// When the amount will be available, if it is reserved or nobody else requests it.
        retry_after: Duration,
        /// Whether the amount is reserved for a retry at that time.
        reserved: bool,
    },
}

/// Tokens of a request that no target ran.
#[derive(Debug, Clone, PartialEq)]
pub struct Refund {
    /// The entry that gives back.
    pub entry: EntryKey,
    /// Identifies the refund, so that a duplicate has no effect.
    pub id: RequestId,
    /// The stamp of the answer that granted the tokens, or, if they were granted ahead, the latest
    /// one from this coordinator when they were spent. A later stamp would refund too much, an
    /// earlier one too little.
    pub granted: Stamp,
    /// Whether the tokens were granted ahead of use.
    pub ahead: bool,
    /// The customer.
    pub customer: CustomerKey,
    /// The amount that was not used.
    pub amount: f64,
}

impl Ask {
    /// Comparisons with NaN are false, and would grant the request.
    fn is_valid(&self) -> bool {
        let Limit { rate, burst, .. } = self.limit;
        [self.amount, self.ahead, self.returned, rate, burst].into_iter().all(is_amount)
    }
}

fn is_amount(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// The shares of one partition and the buckets that they fill.
#[derive(Debug, Default)]
struct Coordinated {
    shares: Shares,
    buckets: HashMap<CustomerKey, Bucket>,
}

impl Coordinated {
    /// Changes the shares. All buckets are filled by the shares from before, and cut to the lowest
    /// fraction since the last change, also those that nobody uses.
    fn change(&mut self, now: Time, change: impl FnOnce(&mut Shares)) {
        self.shares.advance(now);
        let before = self.shares.fraction();
        // A renewal that changes nothing, which most do, needs no walk over the customers.
        let filled = self.shares.filled();
        change(&mut self.shares);
        if self.shares.fraction() != before {
            for bucket in self.buckets.values_mut() {
                bucket.fill(filled, before, now);
                bucket.advance(&self.shares);
            }
        }
    }
}

/// The shares lent to this entry, and the buckets of the customers that it coordinates.
#[derive(Debug)]
pub struct Coordinator {
    bounds: Bounds,
    life: Life,
    partitions: Vec<Coordinated>,
    /// The answers to recent requests for tokens; none for refunds.
    answered: HashMap<(EntryKey, RequestId), Option<Answer>>,
    answered_at: VecDeque<(Time, (EntryKey, RequestId))>,
    swept_at: Time,
}

impl Coordinator {
    /// Creates a coordinator without shares. `life` is random or otherwise unique per process.
    /// Bounds that are not finite or negative count as 0.
    pub fn new(bounds: Bounds, life: Life) -> Self {
        let [overage, allowance] = [bounds.overage, bounds.allowance]
            .map(|bound| if is_amount(bound) { bound } else { 0.0 });
        let bounds = Bounds { overage, allowance, ..bounds };
        Self {
            bounds,
            life,
            partitions: (0..PARTITIONS).map(|_| Coordinated::default()).collect(),
            answered: HashMap::new(),
            answered_at: VecDeque::new(),
            swept_at: Time::ZERO,
        }
    }

    /// Returns the stamp for an answer that is given now.
    pub fn stamp(&self, now: Time) -> Stamp {
        Stamp { life: self.life, at: now }
    }

    /// Records that a lender lends its share of a partition, or renews the lease. The lease ends one
    /// term after the echoed stamp; without a stamp of this process, nothing is lent yet. Returns
    /// the stamp for the lender to echo.
    pub fn lend(
        &mut self,
        partition: Partition,
        lender: EntryKey,
        share: f64,
        term: Duration,
        echoed: Option<Stamp>,
        now: Time,
    ) -> Stamp {
        let echoed = echoed.filter(|stamp| stamp.life == self.life && stamp.at <= now);
        if let Some(echoed) = echoed
            && let Some(coordinated) = self.partitions.get_mut(usize::from(partition))
        {
            let ends = echoed.at + term.min(LONGEST_TERM);
            coordinated.change(now, |shares| shares.renew(lender, share, echoed.at, ends));
        }
        self.stamp(now)
    }

    /// Ends the lease of a lender. Renewals that were sent before have no effect after this.
    pub fn give_back_share(&mut self, partition: Partition, lender: EntryKey, now: Time) {
        if let Some(coordinated) = self.partitions.get_mut(usize::from(partition)) {
            coordinated.change(now, |shares| shares.give_back(lender));
        }
    }

    /// Decides on a request for tokens. `entries` is the number of entries that this one knows.
    pub fn ask(&mut self, ask: &Ask, entries: usize, now: Time) -> Answer {
        self.sweep(now);
        if let Some(answer) = self.answered.get(&(ask.entry, ask.id)) {
            return answer.unwrap_or(Answer::Granted { ahead: 0.0 });
        }
        let answer = self.decide(ask, entries, now);
        self.remember((ask.entry, ask.id), Some(answer), now);
        answer
    }

    /// Whether a request was sent less than a term ago.
    fn is_recent(&self, ask: &Ask, term: Duration, now: Time) -> bool {
        ask.echoed.is_some_and(|stamp| {
            let age = now.saturating_sub(stamp.at);
            stamp.life == self.life && stamp.at <= now && age <= term.min(REFUND_AGE)
        })
    }

    fn decide(&mut self, ask: &Ask, entries: usize, now: Time) -> Answer {
        let term = super::term(entries);
        let refused = Answer::Refused { retry_after: term, reserved: false };
        if !ask.is_valid() {
            return refused;
        }
        let is_recent = self.is_recent(ask, term, now);
        let partition = usize::from(super::partition(ask.customer));
        let Some(coordinated) = self.partitions.get_mut(partition) else { return refused };
        let Coordinated { shares, buckets } = coordinated;
        shares.advance(now);
        let bucket = buckets
            .entry(ask.customer)
            .or_insert_with(|| Bucket::new(&self.bounds, ask.limit, shares, now));
        bucket.advance(shares);
        bucket.expire(now);
        bucket.update(&ask.limit, &self.bounds);
        if is_recent && ask.limit.version == bucket.limit().version {
            bucket.give_back(ask.entry, ask.returned, now);
        }
        if ask.amount <= 0.0 {
            return Answer::Granted { ahead: 0.0 };
        }
        bucket.observe(ask.amount, now);
        if ask.returning
            && let Some(retry_after) = bucket.redeem(ask.amount, now)
        {
            return if retry_after.is_zero() {
                Answer::Granted { ahead: 0.0 }
            } else {
                Answer::Refused { retry_after, reserved: true }
            };
        }
        decide_new(bucket, ask, &self.bounds, entries, now)
    }

    /// Returns the version of the limit by which requests of a customer are decided.
    pub fn version(&self, customer: CustomerKey) -> Option<ConfigVersion> {
        let coordinated = self.partitions.get(usize::from(super::partition(customer)))?;
        Some(coordinated.buckets.get(&customer)?.limit().version)
    }

    /// Takes back tokens that were granted and not used, unless they were granted too long ago.
    pub fn refund(&mut self, refund: &Refund, entries: usize, now: Time) {
        self.sweep(now);
        let Stamp { life, at } = refund.granted;
        let is_known = self.answered.contains_key(&(refund.entry, refund.id));
        if is_known || life != self.life || at > now || now > at + REFUND_AGE {
            return;
        }
        self.remember((refund.entry, refund.id), None, now);
        if !is_amount(refund.amount) {
            return;
        }
        let partition = usize::from(super::partition(refund.customer));
        let Some(coordinated) = self.partitions.get_mut(partition) else { return };
        coordinated.shares.advance(now);
        let Some(bucket) = coordinated.buckets.get_mut(&refund.customer) else { return };
        bucket.advance(&coordinated.shares);
        bucket.expire(now);
        let granted = if refund.ahead { at.saturating_sub(super::term(entries)) } else { at };
        bucket.refund(refund.amount, granted);
    }

    /// Returns the fraction of all limits of a partition that this entry may grant, from 0 to 1.
    pub fn fraction(&self, partition: Partition, now: Time) -> f64 {
        let coordinated = self.partitions.get(usize::from(partition));
        coordinated.map_or(0.0, |coordinated| coordinated.shares.fraction_at(now))
    }

    /// Returns the number of customers that state is kept for.
    pub fn customers(&self) -> usize {
        self.partitions.iter().map(|coordinated| coordinated.buckets.len()).sum()
    }

    fn remember(&mut self, key: (EntryKey, RequestId), answer: Option<Answer>, now: Time) {
        self.answered.insert(key, answer);
        self.answered_at.push_back((now, key));
    }

    /// Forgets old answers and idle customers.
    fn sweep(&mut self, now: Time) {
        while let Some((at, key)) = self.answered_at.front()
            && *at + ANSWERED < now
        {
            self.answered.remove(key);
            self.answered_at.pop_front();
        }
        if now.saturating_sub(self.swept_at) < SWEEP {
            return;
        }
        self.swept_at = now;
        for coordinated in &mut self.partitions {
            let Coordinated { shares, buckets } = coordinated;
            shares.advance(now);
            buckets.retain(|_, bucket| {
                bucket.advance(shares);
                bucket.expire_lots(now);
                !bucket.is_idle(now)
            });
        }
    }
}

/// Decides on a request for which nothing is reserved, from a bucket that is up to date.
fn decide_new(
    bucket: &mut Bucket,
    ask: &Ask,
    bounds: &Bounds,
    entries: usize,
    now: Time,
) -> Answer {
    let term = super::term(entries);
    match bucket.availability(ask.amount, now) {
        Availability::Now => {
            bucket.take(ask.amount);
            let entries = float(u64::try_from(entries.max(1)).unwrap_or(u64::MAX));
            let wanted = (ask.ahead, ask.amount);
            let ahead = bucket.grant_ahead(bounds, ask.entry, wanted, entries, (now, now + term));
            Answer::Granted { ahead }
        }
        Availability::In(retry_after) => {
            let latest = now + ask.max_wait;
            let reserved = bucket.reserve(ask.amount, now + retry_after, latest);
            let (Ok(due) | Err(due)) = reserved;
            Answer::Refused { retry_after: due - now, reserved: reserved.is_ok() }
        }
        // The shares may change within a term.
        Availability::Never => Answer::Refused { retry_after: term, reserved: false },
    }
}
