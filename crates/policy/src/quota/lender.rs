//! To which entry this entry has lent its share of each partition.

use super::{EntryKey, PARTITIONS, Partition, RENEWALS_PER_TERM};
use crate::Time;
use crate::number::float;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// For how long the view of the entries has to be unchanged after a start. Entries that start
/// together and divide the limits by the few that they know already exceed them.
const SETTLED: Duration = Duration::from_millis(500);

/// Time after the start from which a view counts that still changes.
const LONGEST_START: Duration = Duration::from_secs(3);

/// Time after the start from which an entry without any peer counts as the only one.
const LONGEST_ALONE: Duration = Duration::from_secs(16);

/// For how long entries that are no longer known count, since they may be cut off and spend their
/// shares. For this time after a loss for good, customers have only the shares that are left.
const COUNT_RETENTION: Duration = Duration::from_secs(120);

/// The same for an entry that knows at most half of them, and so may be on the smaller side of a
/// partition.
const MINORITY_RETENTION: Duration = Duration::from_secs(600);

/// For how long a holder that doesn't answer gets no share, unless it answers a probe: longer than
/// it takes to declare it dead. Each attempt to lend to a dead entry leaves the partition without a
/// coordinator for a lease term.
const SILENCE: Duration = Duration::from_secs(8);

/// Number of renewals without an answer after which a holder is silent. One may be lost.
const UNANSWERED_RENEWALS: u32 = 2;

/// A return of a share that this entry requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// The entry that holds the share.
    pub holder: EntryKey,
    /// When the last renewal was sent to it, by this entry's clock. The request and its confirmation
    /// carry it, so that a late confirmation doesn't count for a later lease.
    pub sent: Time,
}

/// A share that is lent.
#[derive(Debug, Clone, Copy)]
struct Lease {
    holder: EntryKey,
    sent: Time,
    ends: Time,
}

/// How many entries were known at a time.
#[derive(Debug, Clone, Copy)]
struct Count {
    entries: usize,
    at: Time,
}

/// Entries that stopped as planned.
#[derive(Debug, Clone, Copy)]
struct Departure {
    entries: usize,
    /// How many of them have not come back.
    absent: usize,
    announced: Time,
    counts_from: Time,
}

/// The holder of this entry's share, by partition.
#[derive(Debug)]
pub struct Lender {
    own: EntryKey,
    least: usize,
    /// The entries that stopped as planned and have not come back. They don't count towards `least`.
    absent: usize,
    started: Option<Time>,
    settled: bool,
    /// The counts of the entries within the longer retention, each larger than all later ones.
    counts: VecDeque<Count>,
    departures: Vec<Departure>,
    leases: Vec<Option<Lease>>,
    /// The holders that don't answer, and until when they get no share.
    silent_until: HashMap<EntryKey, Time>,
    /// When the first renewal was sent that a holder hasn't answered.
    unanswered_since: HashMap<EntryKey, Time>,
}

impl Lender {
    /// Creates a lender that has lent nothing and has no share yet. The first observation counts as
    /// the start of the process.
    pub fn new(own: EntryKey) -> Self {
        Self {
            own,
            least: 1,
            absent: 0,
            started: None,
            settled: false,
            counts: VecDeque::new(),
            departures: Vec::new(),
            leases: vec![None; usize::from(PARTITIONS)],
            silent_until: HashMap::new(),
            unanswered_since: HashMap::new(),
        }
    }

    /// Divides the limits by at least this number of entries, such as that of the seeds in the
    /// settings, this one included. Entries that stop as planned lower it until others come.
    pub fn set_least_entries(&mut self, least: usize) {
        self.least = least.max(1);
    }

    /// Records the number of entries that this one knows, itself and dead ones included, and for how
    /// long this view has been unchanged. `count` is 0 while an entry with seeds knows no other.
    pub fn observe_entries(&mut self, count: usize, unchanged: Duration, now: Time) {
        let age = now.saturating_sub(*self.started.get_or_insert(now));
        self.settled |= if count == 0 {
            age >= LONGEST_ALONE
        } else {
            unchanged >= SETTLED && age >= SETTLED || age >= LONGEST_START
        };
        let known = self.counts.back().map_or(0, |count| count.entries);
        self.record_arrivals(count.saturating_sub(known));
        self.push(count, now);
        self.apply_departures(now);
        self.silent_until.retain(|_, until| now < *until);
        self.unanswered_since.retain(|_, since| now < *since + SILENCE);
    }

    /// Records the number of entries by which another entry divides the limits ([`Self::entries`]),
    /// from its answers, or one from earlier than the start. An entry that starts within a partition
    /// learns by this of entries that it has never reached. Ignored some time after the start, since
    /// counts that are passed on forever would never fall.
    pub fn observe_peer_count(&mut self, count: usize, now: Time) {
        if self.started.is_none_or(|started| now.saturating_sub(started) < LONGEST_ALONE) {
            self.push(count, now);
        }
    }

    /// Records that so many entries stopped as planned. They count until what they lent has ended.
    pub fn observe_departures(&mut self, departed: usize, now: Time) {
        let counts_from = now + self.term(now);
        let (entries, absent) = (departed, departed);
        self.departures.push(Departure { entries, absent, announced: now, counts_from });
    }

    /// Records that entries have come. Which of them were there before isn't known.
    fn record_arrivals(&mut self, arrived: usize) {
        let absent = self.departures.iter_mut().map(|departure| &mut departure.absent);
        let mut left = arrived;
        for absent in absent.chain([&mut self.absent]) {
            let back = left.min(*absent);
            *absent -= back;
            left -= back;
        }
    }

    fn push(&mut self, entries: usize, now: Time) {
        while self.counts.back().is_some_and(|count| count.entries <= entries) {
            self.counts.pop_back();
        }
        self.counts.push_back(Count { entries, at: now });
        // The newest count stays, however old it is.
        while self.counts.len() > 1 && self.counts[0].at + MINORITY_RETENTION <= now {
            self.counts.pop_front();
        }
    }

    fn apply_departures(&mut self, now: Time) {
        for departure in self.departures.extract_if(.., |departure| departure.counts_from <= now) {
            for count in self.counts.iter_mut().filter(|count| count.at <= departure.announced) {
                count.entries = count.entries.saturating_sub(departure.entries);
            }
            self.absent += departure.absent;
        }
        // A count that was reduced may be smaller than a later one.
        let mut largest = 0;
        let mut at = self.counts.len();
        while at > 0 {
            at -= 1;
            if self.counts[at].entries < largest {
                self.counts.remove(at);
            } else {
                largest = self.counts[at].entries;
            }
        }
    }

    /// Returns the number of entries by which the limits are divided, at least 1.
    pub fn entries(&self, now: Time) -> usize {
        let largest = |retention: Duration| {
            let recent = self.counts.iter().find(|count| now < count.at + retention);
            recent.or(self.counts.back()).map_or(0, |count| count.entries)
        };
        let known = self.counts.back().map_or(0, |count| count.entries);
        let largest_known = largest(MINORITY_RETENTION);
        let is_minority = known.saturating_mul(2) <= largest_known;
        let entries = if is_minority { largest_known } else { largest(COUNT_RETENTION) };
        entries.max(self.least.saturating_sub(self.absent)).max(1)
    }

    /// Returns the share of each limit that this entry may lend: 0 until its view of the entries has
    /// settled and a lease of its previous process has ended.
    pub fn share(&self, now: Time) -> f64 {
        let waited = self.started.is_some_and(|started| now >= started + self.term(now));
        if !self.settled || !waited {
            return 0.0;
        }
        1.0 / float(u64::try_from(self.entries(now)).unwrap_or(u64::MAX))
    }

    /// Returns the term of the leases.
    pub fn term(&self, now: Time) -> Duration {
        super::term(self.entries(now))
    }

    /// Returns how often leases are renewed.
    pub fn interval(&self, now: Time) -> Duration {
        self.term(now) / RENEWALS_PER_TERM
    }

    /// Returns the entry to lend to and to ask: the first of the candidates that is not silent, once
    /// no other entry holds the share; the own key for this entry itself; none if there is no holder
    /// yet. Without candidates that answer, this entry coordinates its own share, so there should be
    /// more than two: a coordinator and its standby may be down together.
    pub fn holder(
        &mut self,
        partition: Partition,
        candidates: &[EntryKey],
        now: Time,
    ) -> Option<EntryKey> {
        let preferred = self.preferred(candidates, now);
        let lease = self.leases.get_mut(usize::from(partition))?;
        if lease.is_some_and(|lease| lease.ends <= now) {
            *lease = None;
        }
        lease.is_none_or(|lease| lease.holder == preferred).then_some(preferred)
    }

    fn preferred(&self, candidates: &[EntryKey], now: Time) -> EntryKey {
        let preferred = candidates.iter().find(|candidate| !self.is_silent(**candidate, now));
        preferred.copied().unwrap_or(self.own)
    }

    fn is_silent(&self, holder: EntryKey, now: Time) -> bool {
        let patience = self.interval(now) * UNANSWERED_RENEWALS;
        let is_overdue = |since: &Time| *since + patience <= now;
        holder != self.own
            && (self.silent_until.get(&holder).is_some_and(|until| now < *until)
                || self.unanswered_since.get(&holder).is_some_and(is_overdue))
    }

    /// Returns the better candidate that is silent, to be sent a renewal with a share of 0 and without
    /// [`Self::record_sent`] at each interval. Its answer ends its silence and brings a stamp.
    pub fn probe(&self, candidates: &[EntryKey], now: Time) -> Option<EntryKey> {
        candidates.first().copied().filter(|first| self.is_silent(*first, now))
    }

    /// Records that a renewal, or a request for tokens that renews, is sent to a holder. Must be
    /// called before it is sent, and only with what [`Self::holder`] has just returned.
    pub fn record_sent(&mut self, partition: Partition, holder: EntryKey, now: Time) {
        let ends = now + self.term(now);
        if holder != self.own {
            self.unanswered_since.entry(holder).or_insert(now);
        }
        let Some(lease) = self.leases.get_mut(usize::from(partition)) else { return };
        // An earlier renewal may have had a longer term.
        let ends = lease.map_or(ends, |lease| ends.max(lease.ends));
        *lease = Some(Lease { holder, sent: now, ends });
    }

    /// Returns the return to request while a lease keeps a better candidate from being used. It may
    /// be requested again at any interval, since a lost request only delays the change.
    pub fn pending_return(
        &self,
        partition: Partition,
        candidates: &[EntryKey],
        now: Time,
    ) -> Option<Return> {
        let lease = (*self.leases.get(usize::from(partition))?)?;
        let differs = lease.holder != self.preferred(candidates, now);
        (differs && now < lease.ends).then_some(Return { holder: lease.holder, sent: lease.sent })
    }

    /// Records that a holder confirmed the return of the share.
    pub fn returned(&mut self, partition: Partition, confirmed: Return) {
        let Some(lease) = self.leases.get_mut(usize::from(partition)) else { return };
        let is_last =
            |lease: Lease| lease.holder == confirmed.holder && lease.sent == confirmed.sent;
        if lease.is_some_and(is_last) {
            *lease = None;
        }
    }

    /// Records that a holder doesn't answer. It gets no share until it does or for some time, and the
    /// next candidate gets it once the lease has ended. A holder that doesn't answer several renewals
    /// is silent without this.
    pub fn silent(&mut self, partition: Partition, holder: EntryKey, now: Time) {
        let lent = self.leases.get(usize::from(partition)).copied().flatten();
        if lent.is_some_and(|lease| lease.holder == holder) {
            self.silent_until.insert(holder, now + SILENCE);
        }
    }

    /// Records that a holder answered a renewal, a probe or a request for tokens.
    pub fn answered(&mut self, holder: EntryKey) {
        self.silent_until.remove(&holder);
        self.unanswered_since.remove(&holder);
    }

    /// Returns when the present lease ends if it is not renewed; none if nothing is lent.
    pub fn lease_end(&self, partition: Partition) -> Option<Time> {
        self.leases.get(usize::from(partition)).copied().flatten().map(|lease| lease.ends)
    }
}
