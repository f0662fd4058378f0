//! Who may use the target next: a bounded fair queue before a fixed number of slots.
//!
//! The order is [`policy::queue`]'s. Without it the engine's own queue grows without bound, works
//! off requests whose callers have left, and a caller with many requests holds up all others.
//! Orders and suspects use the same gate: while it is paused nothing starts, and a suspect starts
//! only when nothing else runs.

use policy::estimate::{Cost, Rates};
use policy::queue::{Item, Pushed, Queue, Settings};
use policy::{CallerId, Time};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Gives out the target's slots.
pub(crate) struct Dispatcher {
    inner: Mutex<Inner>,
    /// Requests that hold a slot.
    running: watch::Sender<u32>,
    epoch: Instant,
}

/// What the dispatcher needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    /// The caller.
    pub(crate) caller: CallerId,
    /// The caller's weight.
    pub(crate) weight: u32,
    /// Whether it goes before ordinary ones.
    pub(crate) urgent: bool,
    /// Its predicted work.
    pub(crate) cost: Cost,
    /// When its caller stops waiting.
    pub(crate) expires: Instant,
    /// Whether its output has begun elsewhere.
    pub(crate) begun: bool,
    /// Whether it must run alone.
    pub(crate) alone: bool,
}

struct Inner {
    queue: Queue<Ticket>,
    waiting: BTreeSet<u64>,
    next: u64,
    slots: u32,
    running: u32,
    /// Whether the one that runs must be alone.
    alone: bool,
    pauses: u32,
}

#[derive(Debug)]
struct Ticket {
    alone: bool,
    turn: oneshot::Sender<Result<Turn, Denied>>,
}

/// A slot of the target, given back when dropped.
pub(crate) struct Turn {
    dispatcher: Arc<Dispatcher>,
    id: u64,
    /// Whether nothing else runs meanwhile.
    pub(crate) alone: bool,
}

/// While it lives, nothing starts.
pub(crate) struct Pause {
    dispatcher: Arc<Dispatcher>,
}

/// Why a request got no slot; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The queue is full, or of work that goes before it.
    Full,
    /// Its caller stopped waiting before a slot was free.
    Expired,
    /// The target is being taken out of service.
    Moved,
}

/// Removes a request from the queue when whoever waits for it is gone.
struct Waiting<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    id: u64,
}

impl Dispatcher {
    /// Makes the gate of a target with `slots` slots.
    pub(crate) fn new(slots: u32) -> Arc<Self> {
        let inner = Inner {
            queue: Queue::new(Settings { slots, ..Settings::default() }),
            waiting: BTreeSet::new(),
            next: 0,
            slots,
            running: 0,
            alone: false,
            pauses: 0,
        };
        let running = watch::Sender::new(0);
        Arc::new(Self { inner: Mutex::new(inner), running, epoch: Instant::now() })
    }

    /// Waits for a slot; a dropped wait leaves the queue at once.
    pub(crate) async fn turn(self: &Arc<Self>, ask: Ask) -> Result<Turn, Denied> {
        let expires = ask.expires;
        let (turn, granted) = oneshot::channel();
        let id = self.push(ask, turn);
        let waiting = Waiting { dispatcher: self, id };
        self.pump();
        match tokio::time::timeout_at(expires, granted).await {
            Ok(Ok(granted)) => granted,
            Ok(Err(_)) => Err(Denied::Moved),
            Err(_) => {
                drop(waiting);
                Err(Denied::Expired)
            }
        }
    }

    /// Sets how many requests run side by side.
    pub(crate) fn set_slots(self: &Arc<Self>, slots: u32) {
        {
            let mut inner = self.lock();
            inner.slots = slots;
            inner.queue.set_slots(slots);
        }
        self.pump();
    }

    /// Lets nothing start until the pause is dropped.
    pub(crate) fn pause(self: &Arc<Self>) -> Pause {
        self.lock().pauses += 1;
        Pause { dispatcher: self.clone() }
    }

    /// Sends all waiting requests away, so that their entries take them elsewhere.
    pub(crate) fn move_waiting(&self) {
        let moved = {
            let mut inner = self.lock();
            let waiting = std::mem::take(&mut inner.waiting);
            let items = waiting.into_iter().map(|id| inner.queue.remove(id));
            items.collect::<Vec<_>>()
        };
        for item in moved.into_iter().flatten() {
            item.value.deny(Denied::Moved);
        }
    }

    /// Waits until nothing runs.
    pub(crate) async fn idle(&self) {
        let mut running = self.running.subscribe();
        // The sender lives as long as the dispatcher, so this ends with a match.
        let _ = running.wait_for(|running| *running == 0).await;
    }

    /// Requests that wait, and requests that hold a slot.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let inner = self.lock();
        (u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX), inner.running)
    }

    /// How many requests run side by side.
    pub(crate) fn slots(&self) -> u32 {
        self.lock().slots
    }

    /// Whether nothing may start now.
    pub(crate) fn is_paused(&self) -> bool {
        self.lock().pauses > 0
    }

    /// The waiting work that goes before a new request; none if a slot is free for it.
    pub(crate) fn ahead(&self, caller: &str, urgent: bool) -> Option<Cost> {
        let inner = self.lock();
        let free = inner.running < inner.slots && !inner.alone && inner.waiting.is_empty();
        (!free).then(|| inner.queue.ahead(caller, urgent))
    }

    /// All waiting work.
    pub(crate) fn backlog(&self) -> Cost {
        self.lock().queue.backlog().cost
    }

    fn push(&self, ask: Ask, turn: oneshot::Sender<Result<Turn, Denied>>) -> u64 {
        let mut inner = self.lock();
        let id = inner.next;
        inner.next += 1;
        let item = Item {
            id,
            caller: ask.caller,
            weight: ask.weight,
            urgent: ask.urgent,
            cost: ask.cost,
            deadline: Some(ask.expires.saturating_duration_since(self.epoch)),
            begun: ask.begun,
            value: Ticket { alone: ask.alone, turn },
        };
        inner.waiting.insert(id);
        let put_out = match inner.queue.push(item, self.now()) {
            Pushed::Queued => Vec::new(),
            Pushed::Displaced(items) => items,
            Pushed::Full(item) => vec![item],
        };
        for item in put_out {
            inner.waiting.remove(&item.id);
            item.value.deny(Denied::Full);
        }
        id
    }

    /// Gives free slots to those whose turn it is.
    fn pump(self: &Arc<Self>) {
        let (granted, expired) = {
            let mut inner = self.lock();
            let expired = inner.expire(self.now());
            (inner.grant(self.now()), expired)
        };
        for ticket in expired {
            ticket.deny(Denied::Expired);
        }
        for (id, ticket) in granted {
            let turn = Turn { dispatcher: self.clone(), id, alone: ticket.alone };
            // If nobody waits any more the turn comes back here and is given on.
            let _ = ticket.turn.send(Ok(turn));
        }
        let running = self.lock().running;
        self.running.send_if_modified(|old| std::mem::replace(old, running) != running);
    }

    fn now(&self) -> Time {
        self.epoch.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ticket {
    fn deny(self, denied: Denied) {
        // Whoever dropped its wait needs no answer.
        let _ = self.turn.send(Err(denied));
    }
}

impl Inner {
    fn grant(&mut self, now: Time) -> Vec<(u64, Ticket)> {
        let mut granted = Vec::new();
        while self.pauses == 0 && !self.alone {
            // A suspect at the head lets nothing more start until it has the target for itself.
            let next = self.queue.peek(now);
            if next.is_some_and(|item| item.value.alone) && self.running > 0 {
                break;
            }
            let Some(item) = self.queue.pop(now) else { break };
            self.waiting.remove(&item.id);
            self.running += 1;
            self.alone = item.value.alone;
            granted.push((item.id, item.value));
        }
        granted
    }

    /// Work that nobody waits for any more must not start.
    fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let expired = self.queue.expire(now);
        for item in &expired {
            self.waiting.remove(&item.id);
        }
        expired.into_iter().map(|item| item.value).collect()
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        {
            let mut inner = self.dispatcher.lock();
            inner.queue.remove(self.id);
            inner.waiting.remove(&self.id);
        }
        // A suspect that left may have held up others.
        self.dispatcher.pump();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        {
            let mut inner = self.dispatcher.lock();
            inner.queue.done(self.id);
            inner.running -= 1;
            inner.alone = false;
        }
        self.dispatcher.pump();
    }
}

impl std::fmt::Debug for Turn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Turn").field("id", &self.id).field("alone", &self.alone).finish()
    }
}

impl Drop for Pause {
    fn drop(&mut self) {
        self.dispatcher.lock().pauses -= 1;
        self.dispatcher.pump();
    }
}

/// Rates of a target whose slots each make a token in `token_time` seconds.
pub(crate) fn rates(prefill: u64, slots: u32, token_time: std::time::Duration) -> Rates {
    let unknown = Rates::default();
    let prefill = u32::try_from(prefill).map_or(unknown.prefill, f64::from);
    Rates {
        prefill: if prefill > 0.0 { prefill } else { unknown.prefill },
        decode: f64::from(slots) / token_time.as_secs_f64().max(f64::EPSILON),
    }
}
