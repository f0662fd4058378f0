//! Who may use the target next: a bounded queue before a fixed number of slots.
//!
//! Without it the engine's own queue grows without bound, works off requests whose callers have
//! left, and a caller with many requests holds up all others. Orders and suspects use the same
//! gate: while it is paused nothing starts, and a suspect starts only when nothing else runs.

use crate::queue::{Item, Queue};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Gives out the target's slots.
pub(crate) struct Dispatcher {
    inner: Mutex<Inner>,
    /// Requests that hold a slot.
    running: watch::Sender<u32>,
}

struct Inner {
    queue: Queue,
    tickets: HashMap<u64, Ticket>,
    /// A suspect that waits until nothing runs.
    suspect: Option<u64>,
    next: u64,
    slots: u32,
    running: u32,
    /// Whether the one that runs must be alone.
    alone: bool,
    pauses: u32,
}

struct Ticket {
    alone: bool,
    turn: oneshot::Sender<Result<Turn, Denied>>,
}

/// A slot of the target, given back when dropped.
pub(crate) struct Turn {
    dispatcher: Arc<Dispatcher>,
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
    /// The queue is full.
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
            queue: Queue::default(),
            tickets: HashMap::new(),
            suspect: None,
            next: 0,
            slots,
            running: 0,
            alone: false,
            pauses: 0,
        };
        Arc::new(Self { inner: Mutex::new(inner), running: watch::Sender::new(0) })
    }

    /// Waits for a slot; a dropped wait leaves the queue at once.
    pub(crate) async fn turn(self: &Arc<Self>, item: Item, alone: bool) -> Result<Turn, Denied> {
        let expires = item.expires;
        let (turn, granted) = oneshot::channel();
        let id = {
            let mut inner = self.lock();
            let id = inner.next;
            inner.next += 1;
            if !inner.queue.push(id, item, Instant::now()) {
                return Err(Denied::Full);
            }
            inner.tickets.insert(id, Ticket { alone, turn });
            id
        };
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
        self.lock().slots = slots;
        self.pump();
    }

    /// Lets nothing start until the pause is dropped.
    pub(crate) fn pause(self: &Arc<Self>) -> Pause {
        self.lock().pauses += 1;
        Pause { dispatcher: self.clone() }
    }

    /// Sends all waiting requests away, so that their entries take them elsewhere.
    pub(crate) fn move_waiting(&self) {
        let tickets = {
            let mut inner = self.lock();
            inner.queue = Queue::default();
            inner.suspect = None;
            std::mem::take(&mut inner.tickets)
        };
        for ticket in tickets.into_values() {
            // Whoever dropped its wait needs no answer.
            let _ = ticket.turn.send(Err(Denied::Moved));
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
        (u32::try_from(inner.tickets.len()).unwrap_or(u32::MAX), inner.running)
    }

    /// How many requests run side by side.
    pub(crate) fn slots(&self) -> u32 {
        self.lock().slots
    }

    /// Whether nothing may start now.
    pub(crate) fn is_paused(&self) -> bool {
        self.lock().pauses > 0
    }

    /// Gives free slots to those whose turn it is.
    fn pump(self: &Arc<Self>) {
        let granted = self.lock().grant();
        for ticket in granted {
            let turn = Turn { dispatcher: self.clone(), alone: ticket.alone };
            // If nobody waits any more the turn comes back here and is given on.
            let _ = ticket.turn.send(Ok(turn));
        }
        self.publish();
    }

    fn publish(&self) {
        let running = self.lock().running;
        self.running.send_if_modified(|old| std::mem::replace(old, running) != running);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn grant(&mut self) -> Vec<Ticket> {
        let mut granted = Vec::new();
        while self.pauses == 0 && !self.alone && self.running < self.slots {
            let Some(id) = self.suspect.take().or_else(|| self.queue.pop(Instant::now())) else {
                break;
            };
            let Some(ticket) = self.tickets.remove(&id) else { continue };
            if ticket.alone && self.running > 0 {
                self.tickets.insert(id, ticket);
                self.suspect = Some(id);
                break;
            }
            self.running += 1;
            self.alone = ticket.alone;
            granted.push(ticket);
        }
        granted
    }

    fn remove(&mut self, id: u64) {
        self.queue.remove(id);
        self.tickets.remove(&id);
        if self.suspect == Some(id) {
            self.suspect = None;
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.dispatcher.lock().remove(self.id);
        // A suspect that left may have held up others.
        self.dispatcher.pump();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        {
            let mut inner = self.dispatcher.lock();
            inner.running -= 1;
            inner.alone = false;
        }
        self.dispatcher.pump();
    }
}

impl Drop for Pause {
    fn drop(&mut self) {
        self.dispatcher.lock().pauses -= 1;
        self.dispatcher.pump();
    }
}
