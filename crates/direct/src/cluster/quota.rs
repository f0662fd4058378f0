//! The limits of customers at this entry, see [`policy::quota`]: the shares that it lends and those
//! that are lent to it, the tokens that it holds, and its requests that wait for an answer.

mod candidates;
mod grants;
mod pending;
mod step;

pub use step::{Counts, Demand, Due, Followup, Step, Taken, Verdict};

use crate::cluster::clock::SuspendClock;
use crate::cluster::groups::Member;
use crate::cluster::messages::{
    CustomerLimit, QuotaRenewal, QuotaRequest, QuotaResponse, QuotaReturn, RefundedTokens,
    ShareLease, Stamp as WireStamp, UnspentTokens, micros,
};
use candidates::Candidates;
use pending::{Advance, Asked, Promised, Unsent};
use policy::Time;
use policy::quota::{
    Answer, Ask, Bounds, Coordinator, CustomerKey, EntryKey, Held, Lender, Life, Limit, PARTITIONS,
    Partition, Stamp, partition,
};
use policy::reservations::ReservationId;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// The number of consecutive requests without an answer after which a holder counts as silent: one
/// datagram may be lost.
const UNANSWERED_REQUESTS: u32 = 2;

/// The shortest interval between two log lines about refusals of one customer.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// For how long refusals are remembered that the next log line of the customer is to count.
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(10);

/// Customers with refusals from which on those without recent ones are dropped.
const MAX_LOGGED_CUSTOMERS: usize = 1_024;

/// `Retry-After` when another entry can decide on the request.
const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_millis(10);

/// For how long, besides a lease term, an entry that has started waits for its view of the entries
/// to settle before it has a share.
const SETTLING: Duration = Duration::from_millis(500);

/// The share of the renewal interval within which a lease is not renewed again.
const FRESH_SHARE: f64 = 0.5;

/// Rows of each kind in one renewal, which then crosses networks without fragmentation.
const MAX_ROWS: usize = 12;

/// How limits are enforced.
#[derive(Debug, Clone)]
pub struct Settings {
    /// By how much limits may be exceeded.
    pub bounds: Bounds,
    /// The clock of leases.
    pub clock: Arc<dyn SuspendClock>,
}

/// The limits of customers at this entry.
#[derive(Debug)]
pub struct Quota {
    clock: Arc<dyn SuspendClock>,
    state: Mutex<State>,
    /// Notified when leases are to be renewed at once.
    pub due: Notify,
}

impl Quota {
    /// Creates the state of an entry that has just started; `life` is unique to the process.
    pub fn new(settings: &Settings, own: EntryKey, life: Life) -> Self {
        let state = State {
            own,
            life,
            coordinator: Coordinator::new(settings.bounds, life),
            started: settings.clock.now(),
            others_are_ready: false,
            lender: Lender::new(own),
            held: Held::default(),
            candidates: Candidates::default(),
            stamps: HashMap::new(),
            unanswered: HashMap::new(),
            asked: HashMap::new(),
            ahead: HashMap::new(),
            ahead_until: VecDeque::new(),
            refunds: Vec::new(),
            shares: HashMap::new(),
            counts: Counts::default(),
            is_leaving: false,
            leaving: HashSet::new(),
            promised: Promised::default(),
            refusals: HashMap::new(),
            refusals_swept: Time::ZERO,
            probed_at: None,
            renewed: [None; PARTITIONS as usize],
        };
        Self { clock: settings.clock.clone(), state: Mutex::new(state), due: Notify::new() }
    }

    /// Calls a function with the state and the time.
    pub fn with<T>(&self, act: impl FnOnce(&mut State, Time) -> T) -> T {
        let now = self.clock.now();
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// The state behind [`Quota`].
#[derive(Debug)]
pub struct State {
    own: EntryKey,
    life: Life,
    coordinator: Coordinator,
    started: Time,
    /// Whether another entry has had a share since this one started.
    others_are_ready: bool,
    /// This entry's share.
    pub lender: Lender,
    held: Held,
    candidates: Candidates,
    /// The newest stamps of other entries.
    stamps: HashMap<EntryKey, Stamp>,
    /// Consecutive requests to other entries without an answer.
    unanswered: HashMap<EntryKey, u32>,
    asked: HashMap<ReservationId, Asked>,
    /// Customers for which tokens are held.
    ahead: HashMap<CustomerKey, Advance>,
    /// When their tokens become void, in the order of the grants.
    ahead_until: VecDeque<(Time, CustomerKey)>,
    /// Refunds that were not sent yet.
    refunds: Vec<Unsent>,
    /// When the leases to this entry end.
    shares: HashMap<(Partition, EntryKey), Time>,
    counts: Counts,
    /// Whether this entry stops: it no longer lends its share, and others are to hold theirs.
    is_leaving: bool,
    /// Other entries that stop.
    leaving: HashSet<EntryKey>,
    /// Callers that were told to retry.
    promised: Promised,
    /// When refusals of a customer were last logged, and how many were since.
    refusals: HashMap<CustomerKey, (Time, u64)>,
    refusals_swept: Time,
    /// When silent entries were last probed.
    probed_at: Option<Time>,
    /// When, and at which holder, [`State::renew`] last renewed the lease of each partition.
    renewed: [Option<(EntryKey, Time)>; PARTITIONS as usize],
}

impl State {
    /// Takes what a request costs from the tokens held here, if they cover it.
    pub fn spend(&mut self, demand: &Demand, now: Time) -> Option<Taken> {
        let Demand { customer, limit, amount, .. } = *demand;
        if !self.held.spend(customer, &limit, amount, now) {
            return None;
        }
        let holder = self.ahead.get(&customer)?.holder;
        self.counts.used += amount;
        let granted = self.stamp_of(holder, now);
        Some(Taken { customer, amount, holder, granted, ahead: true })
    }

    /// Takes the next step for a request that the held tokens don't cover. `last` is the id of its
    /// last message, `id` one for a new message. A holder that hasn't answered gets the same message
    /// again: if only its answer was lost, it takes nothing twice.
    pub fn next_step(
        &mut self,
        demand: &Demand,
        members: &Arc<[Member]>,
        (last, id): (Option<ReservationId>, ReservationId),
        now: Time,
    ) -> Step {
        let partition = partition(demand.customer);
        let Some(holder) = self.holder(partition, members, now) else {
            let lease_end = self.lender.lease_end(partition).unwrap_or(now);
            return Step::NoHolder(lease_end.saturating_sub(now));
        };
        let lease = self.lease(holder, &[partition], now);
        if holder == self.own {
            let ask = self.ask(demand, holder, id, now);
            self.lend(&lease, now);
            let Some(answer) = self.decide_request(ask, demand.fingerprint, now) else {
                return Step::Decided(Verdict::NotReady);
            };
            let version = self.coordinator.version(demand.customer).unwrap_or_default();
            let asked = Asked::new(demand, holder, now).0;
            return Step::Decided(self.apply(&asked, answer, version, self.own_stamp(now), now));
        }
        let term = self.lender.term(now);
        let unanswered = last
            .and_then(|last| self.asked.get_mut(&last))
            .filter(|asked| asked.holder == holder && now.saturating_sub(asked.sent_at) < term);
        if let Some((message, verdict)) = unanswered.and_then(|asked| asked.repeat(lease.clone())) {
            return Step::Ask { holder, message, verdict };
        }
        self.request(demand, lease, id, now)
    }

    /// Returns a new message that requests tokens.
    fn request(
        &mut self,
        demand: &Demand,
        lease: ShareLease,
        id: ReservationId,
        now: Time,
    ) -> Step {
        let holder = lease.holder;
        let ask = self.ask(demand, holder, id, now);
        let (mut asked, verdict) = Asked::new(demand, holder, now);
        let message = QuotaRequest {
            id,
            lease: Some(lease),
            limit: Some(encode_limit(ask.customer, &ask.limit)),
            amount: ask.amount,
            ahead: ask.ahead,
            returned: ask.returned,
            max_wait_us: micros(ask.max_wait),
            returning: ask.returning,
            fingerprint: demand.fingerprint,
        };
        asked.message = Some(message.clone());
        self.asked.insert(id, asked);
        Step::Ask { holder, message, verdict }
    }

    fn ask(&mut self, demand: &Demand, holder: EntryKey, id: ReservationId, now: Time) -> Ask {
        let Demand { customer, limit, amount, max_wait, returning, .. } = *demand;
        // Tokens go back only to the entry that granted them; those of another one are dropped.
        let unspent = self.held.take_unspent(customer, now);
        let own = self.ahead.remove(&customer).filter(|ahead| ahead.holder == holder);
        let returned = own.map_or(0.0, |_| unspent);
        self.counts.unspent += returned;
        let ahead = self.held.wanted(customer, now);
        let echoed = Some(self.stamp_of(holder, now)).filter(|stamp| !stamp.at.is_zero());
        let entry = self.own;
        Ask { entry, id, echoed, customer, limit, amount, ahead, returned, max_wait, returning }
    }

    /// Records the answer to a request for tokens of this entry.
    fn apply(
        &mut self,
        asked: &Asked,
        answer: Answer,
        version: u64,
        granted: Stamp,
        now: Time,
    ) -> Verdict {
        let Asked { demand, holder, sent_at, .. } = asked;
        let Demand { customer, limit, amount, .. } = *demand;
        match answer {
            Answer::Granted { ahead } => {
                let until = *sent_at + self.lender.term(now);
                if ahead > 0.0 && until > now {
                    let limit = Limit { version, ..limit };
                    self.held.add(customer, &limit, ahead, until, now);
                    self.ahead.insert(customer, Advance { holder: *holder, until, limit });
                    self.ahead_until.push_back((until, customer));
                }
                self.counts.used += amount;
                let (holder, ahead) = (*holder, false);
                Verdict::Taken(Taken { customer, amount, holder, granted, ahead })
            }
            Answer::Refused { retry_after, reserved } => Verdict::Refused { retry_after, reserved },
        }
    }

    /// Records that this entry stops. It lends its share no longer, and asks others to take theirs
    /// back while it still answers.
    pub fn leave(&mut self) {
        self.is_leaving = true;
        self.set_leaving(self.own, true);
    }

    /// Whether this entry stops.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Records whether an entry stops; returns whether this is new.
    fn set_leaving(&mut self, entry: EntryKey, leaving: bool) -> bool {
        let changed = match leaving {
            true => self.leaving.insert(entry),
            false => self.leaving.remove(&entry),
        };
        if changed {
            self.candidates = Candidates::default();
        }
        changed
    }

    /// Applies the response of another entry; returns what follows from it.
    pub fn deliver(&mut self, response: &QuotaResponse, now: Time) -> Followup {
        let Some(stamp) = response.stamp.map(|stamp| stamp.decode()) else {
            return Followup::Nothing;
        };
        let holder = response.holder;
        let known = self.stamps.entry(holder).or_insert(stamp);
        if known.life != stamp.life || known.at < stamp.at {
            *known = stamp;
        }
        self.unanswered.remove(&holder);
        self.others_are_ready |= response.ready;
        self.lender.answered(holder);
        self.lender.observe_peer_count(usize::try_from(response.entries).unwrap_or(0), now);
        if let Some(mut asked) = self.asked.remove(&response.id)
            && let Some(sender) = asked.sender.take()
            // A process that was frozen meanwhile finds an answer that is no longer valid.
            && now.saturating_sub(asked.sent_at) < self.lender.term(now)
        {
            let answer = response.decision.map(|decision| decision.decode());
            let verdict = answer.map_or(Verdict::NotReady, |answer| {
                self.apply(&asked, answer, response.version, stamp, now)
            });
            if let Err(Verdict::Taken(taken)) = sender.send(verdict) {
                // The request has stopped waiting.
                self.refund(&taken, now);
            }
        }
        if self.set_leaving(holder, response.leaving) {
            Followup::NewHolder
        } else if response.not_lent && !response.leaving {
            Followup::Repeat
        } else {
            Followup::Nothing
        }
    }

    /// Gives back the tokens of a request that no target ran.
    pub fn refund(&mut self, taken: &Taken, now: Time) {
        self.counts.refunded += taken.amount;
        self.refunds.push(Unsent { taken: *taken, since: now });
    }

    /// Records that a holder did not answer a request in time.
    pub fn record_unanswered(&mut self, holder: EntryKey, now: Time) {
        let count = self.unanswered.entry(holder).or_default();
        *count += 1;
        if *count < UNANSWERED_REQUESTS {
            return;
        }
        self.unanswered.remove(&holder);
        for partition in 0..PARTITIONS {
            self.lender.silent(partition, holder, now);
        }
    }

    /// Returns when to retry a request that no holder has decided on. `not_ready` tells that the
    /// holder has answered that it has no shares.
    pub fn retry_after(&self, customer: CustomerKey, not_ready: bool, now: Time) -> Duration {
        let term = self.lender.term(now);
        let end = if !not_ready || self.lender.share(now) > 0.0 {
            self.lender.lease_end(partition(customer)).unwrap_or(now + term)
        } else if self.others_are_ready {
            return OTHER_ENTRY_RETRY_AFTER;
        } else {
            // All entries have just started.
            (self.started + term + SETTLING).max(now + self.lender.interval(now))
        };
        end.saturating_sub(now)
    }

    /// Forgets entries that are gone. One that stopped may start again under its name, and may then
    /// be a holder again.
    fn forget_gone(&mut self, members: &Arc<[Member]>) {
        if self.candidates.are_of(members) {
            return;
        }
        let live: HashSet<_> = members.iter().map(|member| member.key).collect();
        self.leaving.retain(|entry| *entry == self.own || live.contains(entry));
        self.stamps.retain(|entry, _| live.contains(entry));
        self.unanswered.retain(|entry, _| live.contains(entry));
    }

    fn holder(
        &mut self,
        partition: Partition,
        members: &Arc<[Member]>,
        now: Time,
    ) -> Option<EntryKey> {
        self.forget_gone(members);
        let candidates = self.candidates.of(partition, members, &self.leaving);
        self.lender.holder(partition, candidates, now)
    }

    /// Returns the lease of some partitions to an entry that [`Lender::holder`] has just returned
    /// for them, and records that it is sent.
    fn lease(&mut self, holder: EntryKey, partitions: &[Partition], now: Time) -> ShareLease {
        for partition in partitions {
            self.lender.record_sent(*partition, holder, now);
        }
        let echoed = match holder == self.own {
            true => Some(self.own_stamp(now)),
            false => self.stamps.get(&holder).copied(),
        };
        ShareLease {
            lender: self.own,
            holder,
            partitions: partitions.iter().map(|partition| u32::from(*partition)).collect(),
            share: if self.is_leaving { 0.0 } else { self.lender.share(now) },
            term_us: micros(self.lender.term(now)),
            echoed: echoed.map(WireStamp::new),
        }
    }

    /// Returns the messages that are due, and lends to this entry itself what it coordinates.
    /// `unique_id` returns ids for them.
    pub fn renew(
        &mut self,
        members: &Arc<[Member]>,
        unique_id: impl Fn() -> ReservationId,
        now: Time,
    ) -> Due {
        let mut due = Due::default();
        let mut holders = self.take_stale(members, now);
        let mut unspent = self.take_unspent(&unique_id, now);
        let mut refunds = self.take_refunds(&unique_id, now);
        let others = unspent.keys().chain(refunds.keys()).copied().collect::<HashSet<_>>();
        for holder in others {
            holders.entry(holder).or_default();
        }
        for (holder, partitions) in holders {
            let lease = self.lease(holder, &partitions, now);
            let renewals = split(
                &lease,
                &unspent.remove(&holder).unwrap_or_default(),
                &refunds.remove(&holder).unwrap_or_default(),
                &unique_id,
            );
            if holder == self.own {
                for renewal in renewals {
                    self.respond_to_renewal(&renewal, now);
                }
                continue;
            }
            due.renewals.extend(renewals.into_iter().map(|renewal| (holder, renewal)));
        }
        due.returns = self.returns(members, now);
        self.probe(&mut due, members, unique_id, now);
        due
    }

    /// Returns the partitions whose leases are to be renewed, by holder, and records that they are.
    fn take_stale(
        &mut self,
        members: &Arc<[Member]>,
        now: Time,
    ) -> HashMap<EntryKey, Vec<Partition>> {
        let mut holders: HashMap<EntryKey, Vec<Partition>> = HashMap::new();
        let fresh = self.lender.interval(now).mul_f64(FRESH_SHARE);
        for partition in 0..PARTITIONS {
            let Some(holder) = self.holder(partition, members, now) else { continue };
            let renewed = &mut self.renewed[usize::from(partition)];
            // This round may be early, for partitions that have a new holder.
            let is_fresh = |(at, time)| at == holder && now.saturating_sub(time) < fresh;
            if !renewed.is_some_and(is_fresh) {
                *renewed = Some((holder, now));
                holders.entry(holder).or_default().push(partition);
            }
        }
        holders
    }

    /// Adds messages to silent entries that would be preferred as holders. They lend nothing.
    fn probe(
        &mut self,
        due: &mut Due,
        members: &Arc<[Member]>,
        unique_id: impl Fn() -> ReservationId,
        now: Time,
    ) {
        let interval = self.lender.interval(now).mul_f64(FRESH_SHARE);
        if self.probed_at.is_some_and(|at| now.saturating_sub(at) < interval) {
            return;
        }
        self.probed_at = Some(now);
        let mut probed = HashSet::new();
        for partition in 0..PARTITIONS {
            let candidates = self.candidates.of(partition, members, &self.leaving);
            probed.extend(self.lender.probe(candidates, now));
        }
        for holder in probed {
            let lease = ShareLease { share: 0.0, ..self.lease(holder, &[], now) };
            let lease = Some(lease);
            due.renewals
                .push((holder, QuotaRenewal { id: unique_id(), lease, ..QuotaRenewal::default() }));
        }
    }

    /// Takes the tokens that would be void before the next renewal.
    fn take_unspent(
        &mut self,
        unique_id: impl Fn() -> ReservationId,
        now: Time,
    ) -> HashMap<EntryKey, Vec<UnspentTokens>> {
        let horizon = now + self.lender.interval(now).mul_f64(1.5);
        let mut ending = Vec::new();
        while let Some((until, customer)) = self.ahead_until.front().copied() {
            if until > horizon {
                break;
            }
            self.ahead_until.pop_front();
            // More tokens may have been granted since.
            if self.ahead.get(&customer).is_some_and(|ahead| ahead.until <= horizon) {
                ending.extend(self.ahead.remove(&customer).map(|ahead| (customer, ahead)));
            }
        }
        let mut unspent: HashMap<EntryKey, Vec<UnspentTokens>> = HashMap::new();
        for (customer, Advance { holder, limit, .. }) in ending {
            let amount = self.held.take_unspent(customer, now);
            if amount > 0.0 {
                self.counts.unspent += amount;
                let limit = Some(encode_limit(customer, &limit));
                let row = UnspentTokens { id: unique_id(), limit, amount };
                unspent.entry(holder).or_default().push(row);
            }
        }
        unspent
    }

    fn take_refunds(
        &mut self,
        unique_id: impl Fn() -> ReservationId,
        now: Time,
    ) -> HashMap<EntryKey, Vec<RefundedTokens>> {
        let mut refunds: HashMap<EntryKey, Vec<RefundedTokens>> = HashMap::new();
        let term = self.lender.term(now);
        for Unsent { taken, since } in self.refunds.drain(..) {
            if now.saturating_sub(since) < term {
                let Taken { customer, amount, holder, granted, ahead } = taken;
                let granted = Some(WireStamp::new(granted));
                let row = RefundedTokens { id: unique_id(), customer, amount, granted, ahead };
                refunds.entry(holder).or_default().push(row);
            }
        }
        refunds
    }

    fn returns(&mut self, members: &Arc<[Member]>, now: Time) -> Vec<(EntryKey, QuotaReturn)> {
        let mut returns: HashMap<EntryKey, QuotaReturn> = HashMap::new();
        for partition in 0..PARTITIONS {
            let candidates = self.candidates.of(partition, members, &self.leaving);
            let pending = self.lender.pending_return(partition, candidates, now);
            let Some(pending) = pending else { continue };
            let message = returns.entry(pending.holder).or_insert_with(|| QuotaReturn {
                lender: self.own,
                holder: pending.holder,
                ..QuotaReturn::default()
            });
            message.partitions.push(partition.into());
            let sent = u64::try_from(pending.sent.as_nanos()).unwrap_or(u64::MAX);
            message.sent_ns.push(sent);
        }
        returns.into_iter().collect()
    }

    /// Returns the renewal of all leases to one holder.
    pub fn renewal_for(
        &mut self,
        holder: EntryKey,
        members: &Arc<[Member]>,
        id: ReservationId,
        now: Time,
    ) -> Option<QuotaRenewal> {
        let held = (0..PARTITIONS)
            .filter(|partition| self.holder(*partition, members, now) == Some(holder))
            .collect::<Vec<_>>();
        if held.is_empty() || holder == self.own {
            return None;
        }
        let lease = Some(self.lease(holder, &held, now));
        Some(QuotaRenewal { id, lease, ..QuotaRenewal::default() })
    }

    /// Drops what has ended, and takes the counts.
    pub fn take_counts(&mut self, now: Time) -> Counts {
        let before = self.shares.len();
        self.shares.retain(|_, ends| *ends > now);
        self.counts.expired += u64::try_from(before - self.shares.len()).unwrap_or(u64::MAX);
        let term = self.lender.term(now);
        self.promised.sweep(now);
        self.asked.retain(|_, asked| now.saturating_sub(asked.sent_at) < term);
        std::mem::take(&mut self.counts)
    }

    /// Returns the fraction of the limits of a partition that this entry may grant.
    pub fn fraction(&self, partition: Partition, now: Time) -> f64 {
        self.coordinator.fraction(partition, now)
    }

    /// Drops tokens granted under an older configuration.
    pub fn observe_version(&mut self, version: u64) {
        self.held.clear_older(version);
    }

    /// Counts a refusal; returns the number to log, at most once a second.
    pub fn count_refusal(&mut self, customer: CustomerKey, now: Time) -> Option<u64> {
        let sweep_due = now.saturating_sub(self.refusals_swept) >= REFUSAL_LOG_INTERVAL;
        if self.refusals.len() >= MAX_LOGGED_CUSTOMERS && sweep_due {
            self.refusals_swept = now;
            self.refusals.retain(|_, (at, count)| {
                let kept = if *count > 0 { MAX_REFUSAL_AGE } else { REFUSAL_LOG_INTERVAL };
                now.saturating_sub(*at) < kept
            });
        }
        let known = self.refusals.get_mut(&customer);
        if let Some((at, count)) = known
            && now.saturating_sub(*at) < REFUSAL_LOG_INTERVAL
        {
            *count += 1;
            return None;
        }
        let before = self.refusals.insert(customer, (now, 0));
        Some(before.map_or(0, |(_, count)| count) + 1)
    }

    fn own_stamp(&self, now: Time) -> Stamp {
        Stamp { life: self.life, at: now }
    }

    /// Returns the newest stamp of an entry; one of no process if none is known.
    fn stamp_of(&self, entry: EntryKey, now: Time) -> Stamp {
        if entry == self.own {
            return self.own_stamp(now);
        }
        self.stamps.get(&entry).copied().unwrap_or(Stamp { life: 0, at: Time::ZERO })
    }
}

/// Spreads tokens that are given back over as many renewals as needed, at least one.
fn split(
    lease: &ShareLease,
    unspent: &[UnspentTokens],
    refunds: &[RefundedTokens],
    unique_id: impl Fn() -> ReservationId,
) -> Vec<QuotaRenewal> {
    let count = unspent.len().max(refunds.len()).div_ceil(MAX_ROWS).max(1);
    let mut unspent = unspent.chunks(MAX_ROWS);
    let mut refunds = refunds.chunks(MAX_ROWS);
    let renewal = |_| QuotaRenewal {
        id: unique_id(),
        lease: Some(lease.clone()),
        unspent: unspent.next().unwrap_or_default().to_vec(),
        refunds: refunds.next().unwrap_or_default().to_vec(),
    };
    (0..count).map(renewal).collect()
}

fn encode_limit(customer: CustomerKey, limit: &Limit) -> CustomerLimit {
    let Limit { rate, burst, version } = *limit;
    CustomerLimit { customer, rate, burst, version }
}
