//! Orders the requests that wait at a target.
//!
//! **Load pattern.** One caller floods, a few jobs are a hundred times longer than the rest, and an
//! urgent reply arrives in between. **Without this** (first come, first served), the flood's
//! backlog goes before all others, long jobs hold all slots, and late work runs for nobody.
//! **Approach.** Start-time fair queueing: each item gets a start tag, the virtual time at which
//! its caller's earlier work is paid for at its weight, and the smallest tag starts first. Urgent
//! items go before all others, but only up to a share of the work while others wait. Long items may
//! not hold the last slots while short ones arrive. The queue is bounded in work; when it is full,
//! the caller with the most waiting work loses its newest item. Items whose deadline has passed are
//! returned by [`Queue::expire`] and never start.

mod discipline;

pub use discipline::{Discipline, Fifo};

use crate::estimate::Cost;
use crate::number::float;
use crate::{CallerId, Time};
use conf::resource::Role;
use std::collections::HashMap;
use std::time::Duration;

/// Identifies an item in its queue.
pub type ItemId = u64;

/// Settings of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Maximum work that may wait, in units of [`Cost::work`]. At 1,000 per second the default is a
    /// minute; longer waits outlast any deadline.
    pub capacity: u64,
    /// Share of the work that urgent items may take while others wait.
    pub urgent_share: f64,
    /// Work from which an item is long: about ten times a typical response.
    pub long_work: u64,
    /// Share of the slots that long items may hold while short ones arrive.
    pub long_share: f64,
    /// How long after the last short item arrived short items are still expected.
    pub short_memory: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 16,
            capacity: 60_000,
            urgent_share: 0.8,
            long_work: 1_500,
            long_share: 0.5,
            short_memory: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Returns whether an item of this cost is long. Engines that support priorities should prefill
    /// short ones first: the prompt of one long job takes a second, and all later ones wait for it.
    pub fn is_long(&self, cost: &Cost) -> bool {
        cost.work() >= self.long_work
    }
}

/// Returns how many requests an engine of this role runs concurrently, if a mixed engine runs
/// `slots`.
///
/// A prefill engine computes one prompt at a time. A second request keeps it busy between two
/// prompts, and further ones should wait in the queue, which is fair.
pub fn slots(role: Role, slots: u32) -> u32 {
    match role {
        Role::Prefill => slots.min(2),
        Role::Decode | Role::Mixed => slots,
    }
}

/// A waiting request.
#[derive(Debug, Clone, PartialEq)]
pub struct Item<T> {
    /// Its id, unique within the queue.
    pub id: ItemId,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The caller's weight, at least 1.
    pub weight: u32,
    /// Whether it goes before items that are not urgent.
    pub urgent: bool,
    /// Its predicted work.
    pub cost: Cost,
    /// Latest time at which it may start, if it has a deadline.
    pub deadline: Option<Time>,
    /// Whether its output has begun at another engine, as after prefill or a migration. Its caller
    /// is already receiving it, so it goes before all items that are not urgent and is never
    /// displaced. Fairness was applied where the prompt waited.
    pub begun: bool,
    /// The payload.
    pub value: T,
}

/// The outcome of [`Queue::push`].
#[derive(Debug, PartialEq)]
pub enum Pushed<T> {
    /// The item waits.
    Queued,
    /// The item waits, and these were removed to make room. They have not run.
    Displaced(Vec<Item<T>>),
    /// There is no room for the item. It has not run.
    Full(Item<T>),
}

/// The waiting work of a queue.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Number of requests.
    pub requests: usize,
    /// Their predicted work.
    pub cost: Cost,
    /// The part of that work whose output has begun at another engine. It goes before other work
    /// that is not urgent.
    pub begun: Cost,
    /// Number of urgent requests.
    pub urgent: usize,
}

/// The bounded fair queue of a target.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    waiting: Vec<Waiting<T>>,
    running: HashMap<ItemId, bool>,
    backlog: Backlog,
    flows: HashMap<CallerId, Flow>,
    virtual_time: f64,
    urgent_credit: f64,
    last_short: Option<Time>,
    pushes: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    start: f64,
    sequence: u64,
    item: Item<T>,
}

/// State of a caller while its tags are ahead of the virtual time.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    finish: f64,
}

/// Number of flows from which those with no outstanding charge are dropped. About 4,500 callers are
/// in use.
const MAX_FLOWS: usize = 8_192;

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: HashMap::new(),
            backlog: Backlog::default(),
            flows: HashMap::new(),
            virtual_time: 0.0,
            urgent_credit: 0.0,
            last_short: None,
            pushes: 0,
        }
    }

    /// Sets how many requests may run concurrently.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// Returns the work that waits now.
    pub fn backlog(&self) -> Backlog {
        self.backlog
    }

    /// Returns how many items were started and not yet marked with [`Queue::done`].
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the waiting work that would start before a new item of this caller and urgency.
    pub fn ahead(&self, caller: &str, urgent: bool) -> Cost {
        let start = self.start_tag(caller);
        let goes_before = |w: &&Waiting<T>| {
            let same_class = w.item.urgent == urgent && w.start <= start;
            w.item.begun || same_class || (w.item.urgent && !urgent)
        };
        self.waiting.iter().filter(goes_before).fold(Cost::default(), |sum, w| sum + w.item.cost)
    }

    /// Adds an item, displacing others if that is fairer than refusing it.
    pub fn push(&mut self, item: Item<T>, now: Time) -> Pushed<T> {
        if !self.settings.is_long(&item.cost) {
            self.last_short = Some(now);
        }
        let mut displaced = Vec::new();
        // An item larger than the whole capacity may wait in an empty queue, or it could never run.
        let exceeds = |queue: &Self| {
            let work = queue.backlog.cost.work() + item.cost.work();
            !queue.waiting.is_empty() && work > queue.settings.capacity
        };
        while !item.begun && exceeds(self) {
            match self.displace_for(&item) {
                Some(other) => displaced.push(other),
                None if displaced.is_empty() => return Pushed::Full(item),
                None => break,
            }
        }
        self.insert(item);
        if displaced.is_empty() { Pushed::Queued } else { Pushed::Displaced(displaced) }
    }

    /// Returns the item that starts now, if a slot is free for one. The caller marks its end with
    /// [`Queue::done`]. Items past their deadline are left for [`Queue::expire`].
    pub fn pop(&mut self, now: Time) -> Option<Item<T>> {
        let index = self.next(now)?;
        let waiting = self.take(index);
        self.charge(&waiting);
        let long = self.settings.is_long(&waiting.item.cost);
        self.running.insert(waiting.item.id, long);
        Some(waiting.item)
    }

    /// Returns the item that [`Queue::pop`] would return, without removing it; for offers with late
    /// binding.
    pub fn peek(&self, now: Time) -> Option<&Item<T>> {
        self.next(now).map(|index| &self.waiting[index].item)
    }

    /// Starts the item `id` out of order, as when an offer for it was accepted.
    pub fn start(&mut self, id: ItemId) -> Option<Item<T>> {
        let index = self.waiting.iter().position(|w| w.item.id == id)?;
        let waiting = self.take(index);
        self.charge(&waiting);
        let long = self.settings.is_long(&waiting.item.cost);
        self.running.insert(id, long);
        Some(waiting.item)
    }

    /// Frees the slot of an item that was started.
    pub fn done(&mut self, id: ItemId) {
        self.running.remove(&id);
    }

    /// Removes a waiting item that was cancelled or started elsewhere.
    pub fn remove(&mut self, id: ItemId) -> Option<Item<T>> {
        let index = self.waiting.iter().position(|w| w.item.id == id)?;
        let removed = self.take(index);
        self.refund(&removed);
        Some(removed.item)
    }

    /// Removes and returns all items whose deadline has passed. They have not run.
    pub fn expire(&mut self, now: Time) -> Vec<Item<T>> {
        let mut expired = Vec::new();
        let mut index = 0;
        while index < self.waiting.len() {
            if self.waiting[index].item.deadline.is_some_and(|deadline| deadline < now) {
                let removed = self.take(index);
                self.refund(&removed);
                expired.push(removed.item);
            } else {
                index += 1;
            }
        }
        expired
    }

    /// Returns the index of the next item: by class, then by smallest start tag.
    fn next(&self, now: Time) -> Option<usize> {
        let slots = usize::try_from(self.settings.slots).unwrap_or(usize::MAX);
        if self.running.len() >= slots {
            return None;
        }
        let long_allowed = self.long_allowed(now);
        let may_start = |w: &Waiting<T>| {
            w.item.deadline.is_none_or(|deadline| deadline >= now)
                && (long_allowed || !self.settings.is_long(&w.item.cost))
        };
        let first = |urgent: bool| {
            let class = self.waiting.iter().enumerate();
            let class = class.filter(|(_, w)| w.item.urgent == urgent && may_start(w));
            class.min_by(|(_, a), (_, b)| {
                a.start.total_cmp(&b.start).then(a.sequence.cmp(&b.sequence))
            })
        };
        let urgent = first(true).map(|(index, _)| index);
        let begun = self.waiting.iter().enumerate().filter(|(_, w)| w.item.begun);
        let begun = begun.min_by_key(|(_, w)| w.sequence);
        let normal = begun.map(|(index, _)| index).or(first(false).map(|(index, _)| index));
        if self.urgent_credit < 0.0 { normal.or(urgent) } else { urgent.or(normal) }
    }

    /// Returns whether a long item may take a slot. Long items leave some slots free while short
    /// items are expected.
    fn long_allowed(&self, now: Time) -> bool {
        let is_recent = |last: Time| now.saturating_sub(last) <= self.settings.short_memory;
        if !self.last_short.is_some_and(is_recent) {
            return true;
        }
        let long = self.running.values().filter(|long| **long).count();
        let max = f64::from(self.settings.slots) * self.settings.long_share;
        float(u64::try_from(long).unwrap_or(u64::MAX)) < max.max(1.0)
    }

    /// Accounts for an item that starts: advances the virtual time and charges urgent work for its
    /// precedence.
    fn charge(&mut self, waiting: &Waiting<T>) {
        // Items that start out of order, because they are urgent or begun, must not advance the
        // virtual time past items that wait: new callers would be queued behind a whole flood
        // instead of before it.
        let waiting_starts = self.waiting.iter().filter(|w| !w.item.begun).map(|w| w.start);
        let min_start = waiting_starts.fold(f64::INFINITY, f64::min);
        self.virtual_time = self.virtual_time.max(waiting.start.min(min_start));
        let work = float(waiting.item.cost.work());
        let bound = float(self.settings.capacity) / 10.0;
        let share = self.settings.urgent_share;
        let others_wait = self.waiting.iter().any(|w| !w.item.urgent);
        let credit = match (waiting.item.urgent, others_wait) {
            (true, true) => self.urgent_credit - work * (1.0 - share),
            (true, false) => self.urgent_credit,
            (false, _) => self.urgent_credit + work * share,
        };
        self.urgent_credit = credit.min(bound);
    }

    fn start_tag(&self, caller: &str) -> f64 {
        self.flows.get(caller).map_or(0.0, |flow| flow.finish).max(self.virtual_time)
    }

    fn insert(&mut self, item: Item<T>) {
        let start = self.start_tag(&item.caller);
        // Items that have begun were charged where their prompt waited.
        let charge = if item.begun { 0.0 } else { charge(&item) };
        let finish = start + charge;
        if self.flows.len() >= MAX_FLOWS {
            let now = self.virtual_time;
            self.flows.retain(|_, flow| flow.finish > now);
        }
        self.flows.insert(item.caller.clone(), Flow { finish });
        self.backlog.requests += 1;
        self.backlog.cost += item.cost;
        self.backlog.begun += if item.begun { item.cost } else { Cost::default() };
        self.backlog.urgent += usize::from(item.urgent);
        self.pushes += 1;
        self.waiting.push(Waiting { start, sequence: self.pushes, item });
    }

    fn take(&mut self, index: usize) -> Waiting<T> {
        let waiting = self.waiting.remove(index);
        let item = &waiting.item;
        self.backlog.requests -= 1;
        self.backlog.cost -= item.cost;
        self.backlog.begun -= if item.begun { item.cost } else { Cost::default() };
        self.backlog.urgent -= usize::from(item.urgent);
        waiting
    }

    /// Removes the item with the largest start tag, which is the newest of the caller with the most
    /// waiting work, if it would start after `item`. Urgent items are displaced by urgent ones
    /// only.
    fn displace_for(&mut self, item: &Item<T>) -> Option<Item<T>> {
        let start = self.start_tag(&item.caller);
        let candidates = self.waiting.iter().enumerate();
        let may_displace = |w: &Waiting<T>| !w.item.begun && (item.urgent || !w.item.urgent);
        let candidates = candidates.filter(|(_, w)| may_displace(w));
        let last = candidates.max_by(|(_, a), (_, b)| {
            b.item.urgent.cmp(&a.item.urgent).then(a.start.total_cmp(&b.start))
        })?;
        let (index, candidate) = last;
        let later = candidate.start > start || (item.urgent && !candidate.item.urgent);
        if !later {
            return None;
        }
        let displaced = self.take(index);
        self.refund(&displaced);
        Some(displaced.item)
    }

    /// Refunds a caller the charge for an item that does not run here. The caller's later items
    /// move up.
    fn refund(&mut self, removed: &Waiting<T>) {
        if removed.item.begun {
            return;
        }
        let refund = charge(&removed.item);
        let caller = &removed.item.caller;
        if let Some(flow) = self.flows.get_mut(caller) {
            flow.finish -= refund;
        }
        let later = |w: &&mut Waiting<T>| {
            w.item.caller == *caller && w.sequence > removed.sequence && !w.item.begun
        };
        for waiting in self.waiting.iter_mut().filter(later) {
            waiting.start = (waiting.start - refund).max(removed.start);
        }
    }
}

/// Returns what an item adds to its caller's tags.
fn charge<T>(item: &Item<T>) -> f64 {
    float(item.cost.work()) / f64::from(item.weight.max(1))
}
