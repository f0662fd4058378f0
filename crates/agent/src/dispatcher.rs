//! Grants the target's slots to requests in the order of a bounded fair queue.
//!
//! [`policy::queue`] determines the order. Without it the engine's own queue grows without bound
//! and processes requests whose callers have left, and a caller with many requests delays all
//! others. Orders and suspects use the same dispatcher: while it is paused nothing starts, and a
//! suspect starts only when nothing else runs.

use policy::estimate::{Cost, Rates};
use policy::queue::{Item, Pushed, Queue, Settings};
use policy::{CallerId, Time};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Grants the target's slots.
pub(crate) struct Dispatcher {
    inner: Mutex<Inner>,
    /// Number of requests that hold a slot.
    running: watch::Sender<u32>,
    epoch: Instant,
}

/// A request for a slot.
#[derive(Debug, Clone)]
pub(crate) struct SlotRequest {
    /// The caller.
    pub(crate) caller: CallerId,
    /// The caller's weight.
    pub(crate) weight: u32,
    /// Whether the request goes before ordinary ones.
    pub(crate) urgent: bool,
    /// The predicted work.
    pub(crate) cost: Cost,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// Whether part of the output was already generated at another target.
    pub(crate) resumed: bool,
    /// Whether nothing else may run at the same time.
    pub(crate) alone: bool,
}

struct Inner {
    queue: Queue<Waiter>,
    waiting: BTreeSet<u64>,
    next_id: u64,
    slots: u32,
    running: u32,
    /// Whether the request that runs excludes all others.
    alone: bool,
    pauses: u32,
}

#[derive(Debug)]
struct Waiter {
    alone: bool,
    result: oneshot::Sender<Result<SlotGuard, Denied>>,
}

/// Holds a slot of the target until dropped.
pub(crate) struct SlotGuard {
    dispatcher: Arc<Dispatcher>,
    id: u64,
    /// Whether nothing else runs while the slot is held.
    pub(crate) alone: bool,
}

/// Keeps requests from starting until dropped.
pub(crate) struct Pause {
    dispatcher: Arc<Dispatcher>,
}

/// Why a request got no slot. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// The queue was full, or filled up and the request was displaced.
    QueueFull,
    /// The caller stopped waiting before a slot was free.
    Expired,
    /// The target is being taken out of service.
    Draining,
}

/// Removes a request from the queue when dropped, so also when its wait is cancelled.
struct QueueGuard<'a> {
    dispatcher: &'a Arc<Dispatcher>,
    id: u64,
}

impl Dispatcher {
    /// Creates the dispatcher of a target with `slots` slots.
    pub(crate) fn new(slots: u32) -> Arc<Self> {
        let inner = Inner {
            queue: Queue::new(Settings { slots, ..Settings::default() }),
            waiting: BTreeSet::new(),
            next_id: 0,
            slots,
            running: 0,
            alone: false,
            pauses: 0,
        };
        let running = watch::Sender::new(0);
        Arc::new(Self { inner: Mutex::new(inner), running, epoch: Instant::now() })
    }

    /// Waits for a slot. Dropping the future removes the request from the queue at once.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<SlotGuard, Denied> {
        let deadline = request.deadline;
        let (result, granted) = oneshot::channel();
        let id = self.push(request, result);
        let guard = QueueGuard { dispatcher: self, id };
        self.grant_slots();
        match tokio::time::timeout_at(deadline, granted).await {
            Ok(Ok(granted)) => granted,
            Ok(Err(_)) => Err(Denied::Draining),
            Err(_) => {
                drop(guard);
                Err(Denied::Expired)
            }
        }
    }

    /// Sets how many requests may run concurrently.
    pub(crate) fn set_slots(self: &Arc<Self>, slots: u32) {
        {
            let mut inner = self.lock();
            inner.slots = slots;
            inner.queue.set_slots(slots);
        }
        self.grant_slots();
    }

    /// Keeps requests from starting until the returned pause is dropped.
    pub(crate) fn pause(self: &Arc<Self>) -> Pause {
        self.lock().pauses += 1;
        Pause { dispatcher: self.clone() }
    }

    /// Rejects all waiting requests, so that their entries send them to other targets.
    pub(crate) fn reject_waiting(&self) {
        let rejected = {
            let mut inner = self.lock();
            let waiting = std::mem::take(&mut inner.waiting);
            let items = waiting.into_iter().map(|id| inner.queue.remove(id));
            items.collect::<Vec<_>>()
        };
        for item in rejected.into_iter().flatten() {
            item.value.deny(Denied::Draining);
        }
    }

    /// Waits until no request holds a slot.
    pub(crate) async fn wait_idle(&self) {
        let mut running = self.running.subscribe();
        // Cannot fail: the sender is dropped only with the dispatcher.
        let _ = running.wait_for(|running| *running == 0).await;
    }

    /// Returns the number of requests that wait and the number that hold a slot.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let inner = self.lock();
        (u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX), inner.running)
    }

    /// Returns how many requests may run concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.lock().slots
    }

    /// Returns whether a pause keeps requests from starting.
    pub(crate) fn is_paused(&self) -> bool {
        self.lock().pauses > 0
    }

    /// Returns the waiting work that goes before a new request, or `None` if it gets a slot at
    /// once.
    pub(crate) fn ahead(&self, caller: &str, urgent: bool) -> Option<Cost> {
        let inner = self.lock();
        let free = inner.running < inner.slots && !inner.alone && inner.waiting.is_empty();
        (!free).then(|| inner.queue.ahead(caller, urgent))
    }

    /// Returns the sum of all waiting work.
    pub(crate) fn backlog(&self) -> Cost {
        self.lock().queue.backlog().cost
    }

    fn push(
        &self,
        request: SlotRequest,
        result: oneshot::Sender<Result<SlotGuard, Denied>>,
    ) -> u64 {
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        let item = Item {
            id,
            caller: request.caller,
            weight: request.weight,
            urgent: request.urgent,
            cost: request.cost,
            deadline: Some(request.deadline.saturating_duration_since(self.epoch)),
            begun: request.resumed,
            value: Waiter { alone: request.alone, result },
        };
        inner.waiting.insert(id);
        let rejected = match inner.queue.push(item, self.now()) {
            Pushed::Queued => Vec::new(),
            Pushed::Displaced(items) => items,
            Pushed::Full(item) => vec![item],
        };
        for item in rejected {
            inner.waiting.remove(&item.id);
            item.value.deny(Denied::QueueFull);
        }
        id
    }

    /// Rejects expired requests and grants free slots to the next ones in the queue.
    fn grant_slots(self: &Arc<Self>) {
        let (granted, expired) = {
            let mut inner = self.lock();
            let expired = inner.expire(self.now());
            (inner.grant(self.now()), expired)
        };
        for waiter in expired {
            waiter.deny(Denied::Expired);
        }
        for (id, waiter) in granted {
            let slot = SlotGuard { dispatcher: self.clone(), id, alone: waiter.alone };
            // If the wait was cancelled, the guard is dropped here and its slot is granted anew.
            let _ = waiter.result.send(Ok(slot));
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

impl Waiter {
    fn deny(self, denied: Denied) {
        // Fails only if the wait was cancelled, which needs no result.
        let _ = self.result.send(Err(denied));
    }
}

impl Inner {
    fn grant(&mut self, now: Time) -> Vec<(u64, Waiter)> {
        let mut granted = Vec::new();
        while self.pauses == 0 && !self.alone {
            // A suspect at the head of the queue waits until nothing runs and holds up the rest.
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

    /// Removes the requests whose deadline has passed. They must not start.
    fn expire(&mut self, now: Time) -> Vec<Waiter> {
        let expired = self.queue.expire(now);
        for item in &expired {
            self.waiting.remove(&item.id);
        }
        expired.into_iter().map(|item| item.value).collect()
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        {
            let mut inner = self.dispatcher.lock();
            inner.queue.remove(self.id);
            inner.waiting.remove(&self.id);
        }
        // The removed request may be a suspect that held up the rest of the queue.
        self.dispatcher.grant_slots();
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        {
            let mut inner = self.dispatcher.lock();
            inner.queue.done(self.id);
            inner.running -= 1;
            inner.alone = false;
        }
        self.dispatcher.grant_slots();
    }
}

impl std::fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SlotGuard").field("id", &self.id).field("alone", &self.alone).finish()
    }
}

impl Drop for Pause {
    fn drop(&mut self) {
        self.dispatcher.lock().pauses -= 1;
        self.dispatcher.grant_slots();
    }
}

/// Returns the rates of a target whose slots each generate one token per `token_time`.
pub(crate) fn rates(prefill: u64, slots: u32, token_time: std::time::Duration) -> Rates {
    let unknown = Rates::default();
    let prefill = u32::try_from(prefill).map_or(unknown.prefill, f64::from);
    Rates {
        prefill: if prefill > 0.0 { prefill } else { unknown.prefill },
        decode: f64::from(slots) / token_time.as_secs_f64().max(f64::EPSILON),
    }
}
