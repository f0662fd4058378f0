//! The order in which a target's waiting requests start.
//!
//! **Load pattern.** One caller floods, a few jobs are a hundred times longer than the rest, and a
//! rescue reply comes in the midst of it. **Without it** (first come, first served) the flood's
//! backlog goes before everybody, long jobs hold all slots, and late work runs for nobody.
//! **How.** Start-time fair queueing: each item gets a start tag, the virtual time at which its
//! caller's earlier work is paid for at its weight, and the least tag starts first. Urgent items go
//! before all others, but only up to a share of the work while others wait. Long items may not
//! hold the last slots while short ones are about. The queue is bounded in work; when it is full,
//! the caller with the most waiting loses its newest item. Items whose deadline has passed are
//! handed out by [`Queue::expire`] and never start.

mod discipline;

pub use discipline::{Discipline, Fifo};

use crate::estimate::Cost;
use crate::number::float;
use crate::{CallerId, Time};
use conf::resource::Role;
use std::collections::HashMap;
use std::time::Duration;

/// Names an item, so that it can be taken out.
pub type ItemId = u64;

/// Settings of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Requests that run side by side.
    pub slots: u32,
    /// The most work that may wait, in units of [`Cost::work`]. At 1,000 a second this is a minute:
    /// longer waits outlast any deadline.
    pub capacity: u64,
    /// The share of the work that urgent items may take while others wait.
    pub urgent_share: f64,
    /// An item of at least this work is long: some ten times a usual answer.
    pub long_work: u64,
    /// The share of the slots that long items may hold while short ones are about.
    pub long_share: f64,
    /// For how long after a short item came short ones are about.
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
    /// Whether an item of this cost is long. Short ones are to be read first by engines that honour
    /// priorities: the prompt of one long job takes a second, and all that come wait behind it.
    pub fn is_long(&self, cost: &Cost) -> bool {
        cost.work() >= self.long_work
    }
}

/// Requests that an engine of this role runs side by side, where a mixed one runs `slots`.
///
/// One that only reads does so one after the other. A second keeps it busy between two, and further
/// ones wait better in the queue, which is fair.
pub fn slots(role: Role, slots: u32) -> u32 {
    match role {
        Role::Prefill => slots.min(2),
        Role::Decode | Role::Mixed => slots,
    }
}

/// One request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Item<T> {
    /// Its id, unique in the queue.
    pub id: ItemId,
    /// Who sent it.
    pub caller: CallerId,
    /// The caller's weight, at least 1.
    pub weight: u32,
    /// Whether it goes first.
    pub urgent: bool,
    /// Its predicted work.
    pub cost: Cost,
    /// When it must have started, if there is a deadline.
    pub deadline: Option<Time>,
    /// Whether its output has begun elsewhere, as after prefill or a move: its caller is reading,
    /// so it goes before all that is not urgent, and is never put out. Fairness was done where the
    /// prompt waited.
    pub begun: bool,
    /// What is queued.
    pub value: T,
}

/// What became of an item that was pushed.
#[derive(Debug, PartialEq)]
pub enum Pushed<T> {
    /// It waits.
    Queued,
    /// It waits, and these were put out to make room; they have not run.
    Displaced(Vec<Item<T>>),
    /// There is no room for it; it has not run.
    Full(Item<T>),
}

/// What waits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Requests.
    pub requests: usize,
    /// Their predicted work.
    pub cost: Cost,
    /// The part of it whose output has begun elsewhere, which goes before other work that is not
    /// urgent.
    pub begun: Cost,
    /// Urgent requests.
    pub urgent: usize,
}

/// The bounded queue of a target.
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

/// What is remembered of a caller while its tags lie ahead of the virtual time.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    finish: f64,
}

/// Flows kept before those that are paid up are forgotten; about 4,500 callers are in use.
const MAX_FLOWS: usize = 8_192;

impl<T> Queue<T> {
    /// Makes an empty queue.
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

    /// Changes how many requests may run side by side.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// What waits now.
    pub fn backlog(&self) -> Backlog {
        self.backlog
    }

    /// How many items were handed out by [`Queue::pop`] and are not [`Queue::done`].
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// The waiting work that would start before an item of this kind, for admission.
    pub fn ahead(&self, caller: &str, urgent: bool) -> Cost {
        let start = self.start_tag(caller);
        let first = |w: &&Waiting<T>| {
            let same_class = w.item.urgent == urgent && w.start <= start;
            w.item.begun || same_class || (w.item.urgent && !urgent)
        };
        self.waiting.iter().filter(first).fold(Cost::default(), |sum, w| sum + w.item.cost)
    }

    /// Adds an item, putting out others if that is fairer than refusing it.
    pub fn push(&mut self, item: Item<T>, now: Time) -> Pushed<T> {
        if !self.settings.is_long(&item.cost) {
            self.last_short = Some(now);
        }
        let mut displaced = Vec::new();
        // An item larger than the whole capacity may still wait alone, or it could never run.
        let over = |queue: &Self| {
            let work = queue.backlog.cost.work() + item.cost.work();
            !queue.waiting.is_empty() && work > queue.settings.capacity
        };
        while !item.begun && over(self) {
            match self.displace_for(&item) {
                Some(loser) => displaced.push(loser),
                None if displaced.is_empty() => return Pushed::Full(item),
                None => break,
            }
        }
        self.insert(item);
        if displaced.is_empty() { Pushed::Queued } else { Pushed::Displaced(displaced) }
    }

    /// Hands out the item that starts now, if a slot is free for one. Call [`Queue::done`] with its
    /// id when it has ended. Items past their deadline are left for [`Queue::expire`].
    pub fn pop(&mut self, now: Time) -> Option<Item<T>> {
        let index = self.next(now)?;
        let waiting = self.take(index);
        self.charge(&waiting);
        let long = self.settings.is_long(&waiting.item.cost);
        self.running.insert(waiting.item.id, long);
        Some(waiting.item)
    }

    /// The item that [`Queue::pop`] would hand out, left in place; for offers of late binding.
    pub fn peek(&self, now: Time) -> Option<&Item<T>> {
        self.next(now).map(|index| &self.waiting[index].item)
    }

    /// Starts the item `id` out of turn, as when an offer for it was accepted.
    pub fn start(&mut self, id: ItemId) -> Option<Item<T>> {
        let index = self.waiting.iter().position(|w| w.item.id == id)?;
        let waiting = self.take(index);
        self.charge(&waiting);
        let long = self.settings.is_long(&waiting.item.cost);
        self.running.insert(id, long);
        Some(waiting.item)
    }

    /// Frees the slot of an item that was handed out.
    pub fn done(&mut self, id: ItemId) {
        self.running.remove(&id);
    }

    /// Takes out an item that waits, because it was cancelled or started elsewhere.
    pub fn remove(&mut self, id: ItemId) -> Option<Item<T>> {
        let index = self.waiting.iter().position(|w| w.item.id == id)?;
        let removed = self.take(index);
        self.refund(&removed);
        Some(removed.item)
    }

    /// Takes out all items whose deadline has passed; they are refused as not run.
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

    /// The index of the item that goes next: the class first, then the least start tag.
    fn next(&self, now: Time) -> Option<usize> {
        let free = usize::try_from(self.settings.slots).unwrap_or(usize::MAX);
        if self.running.len() >= free {
            return None;
        }
        let long_allowed = self.long_allowed(now);
        let may_start = |w: &Waiting<T>| {
            w.item.deadline.is_none_or(|deadline| deadline >= now)
                && (long_allowed || !self.settings.is_long(&w.item.cost))
        };
        let least = |urgent: bool| {
            let class = self.waiting.iter().enumerate();
            let class = class.filter(|(_, w)| w.item.urgent == urgent && may_start(w));
            class.min_by(|(_, a), (_, b)| {
                a.start.total_cmp(&b.start).then(a.sequence.cmp(&b.sequence))
            })
        };
        let urgent = least(true).map(|(index, _)| index);
        let begun = self.waiting.iter().enumerate().filter(|(_, w)| w.item.begun);
        let begun = begun.min_by_key(|(_, w)| w.sequence);
        let normal = begun.map(|(index, _)| index).or(least(false).map(|(index, _)| index));
        if self.urgent_credit < 0.0 { normal.or(urgent) } else { urgent.or(normal) }
    }

    /// Whether a long item may take a slot: it must leave some for short ones that are about.
    fn long_allowed(&self, now: Time) -> bool {
        let about = |last: Time| now.saturating_sub(last) <= self.settings.short_memory;
        if !self.last_short.is_some_and(about) {
            return true;
        }
        let long = self.running.values().filter(|long| **long).count();
        let most = f64::from(self.settings.slots) * self.settings.long_share;
        float(u64::try_from(long).unwrap_or(u64::MAX)) < most.max(1.0)
    }

    /// Books an item that starts: virtual time moves on, and urgent work pays for its precedence.
    fn charge(&mut self, waiting: &Waiting<T>) {
        // What starts out of turn, being urgent or begun, must not carry the virtual time past those
        // that wait: new callers would queue up behind all of a flood instead of before it.
        let waiting_start = self.waiting.iter().filter(|w| !w.item.begun).map(|w| w.start);
        let least = waiting_start.fold(f64::INFINITY, f64::min);
        self.virtual_time = self.virtual_time.max(waiting.start.min(least));
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
        // What has begun was charged where its prompt waited.
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

    /// Puts out the item with the greatest start tag, which is the newest of the caller that waits
    /// for the most, if it would start after `item`; urgent items are put out by urgent ones only.
    fn displace_for(&mut self, item: &Item<T>) -> Option<Item<T>> {
        let start = self.start_tag(&item.caller);
        let candidates = self.waiting.iter().enumerate();
        let may_lose = |w: &Waiting<T>| !w.item.begun && (item.urgent || !w.item.urgent);
        let candidates = candidates.filter(|(_, w)| may_lose(w));
        let last = candidates.max_by(|(_, a), (_, b)| {
            b.item.urgent.cmp(&a.item.urgent).then(a.start.total_cmp(&b.start))
        })?;
        let (index, worst) = last;
        let later = worst.start > start || (item.urgent && !worst.item.urgent);
        if !later {
            return None;
        }
        let loser = self.take(index);
        self.refund(&loser);
        Some(loser.item)
    }

    /// Gives a caller back what it was charged for an item that does not run here: its later items
    /// move up.
    fn refund(&mut self, removed: &Waiting<T>) {
        if removed.item.begun {
            return;
        }
        let paid = charge(&removed.item);
        let caller = &removed.item.caller;
        if let Some(flow) = self.flows.get_mut(caller) {
            flow.finish -= paid;
        }
        let later = |w: &&mut Waiting<T>| {
            w.item.caller == *caller && w.sequence > removed.sequence && !w.item.begun
        };
        for waiting in self.waiting.iter_mut().filter(later) {
            waiting.start = (waiting.start - paid).max(removed.start);
        }
    }
}

/// What an item adds to its caller's tags.
fn charge<T>(item: &Item<T>) -> f64 {
    float(item.cost.work()) / f64::from(item.weight.max(1))
}
