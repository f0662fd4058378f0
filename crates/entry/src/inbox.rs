//! Delivers an agent's events to the attempts of a connection.
//!
//! If delivery waited for an attempt whose caller reads slowly, all other streams of that agent
//! would stall. Delivery therefore never waits: an attempt whose agent exceeds its credit is
//! dropped and resumed at another target.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use wire::{AttemptId, EventKind};

/// Number of events that an agent may send ahead of a slow caller.
pub(crate) const CREDIT_EVENTS: u32 = 128;

/// Queue capacity beyond the credit, for offers and ends, which need none.
const UNCREDITED_EVENTS: usize = 4;

/// The open attempts of one connection; `None` once it is closed.
pub(crate) struct Inbox {
    attempts: Mutex<Option<HashMap<AttemptId, mpsc::Sender<EventKind>>>>,
}

impl Inbox {
    /// Creates the inbox of a new connection.
    pub(crate) fn new() -> Self {
        Self { attempts: Mutex::new(Some(HashMap::new())) }
    }

    /// Registers an attempt; returns `None` if the connection is closed.
    pub(crate) fn open(&self, id: AttemptId) -> Option<mpsc::Receiver<EventKind>> {
        let (sender, events) = mpsc::channel(CREDIT_EVENTS as usize + UNCREDITED_EVENTS);
        self.lock().as_mut()?.insert(id, sender);
        Some(events)
    }

    /// Removes an attempt that has ended or is abandoned; late events for it are dropped.
    pub(crate) fn remove(&self, id: AttemptId) {
        if let Some(attempts) = self.lock().as_mut() {
            attempts.remove(&id);
        }
    }

    /// Delivers an event without waiting; drops it if the attempt is not open.
    pub(crate) fn deliver(&self, id: AttemptId, kind: EventKind) {
        let mut attempts = self.lock();
        let Some(attempts) = attempts.as_mut() else { return };
        let Some(sender) = attempts.get(&id) else { return };
        if sender.try_send(kind).is_err() {
            log::warn!(attempt = id; "credit-overrun");
            attempts.remove(&id);
        }
    }

    /// Ends all attempts after the connection is lost.
    pub(crate) fn close(&self) {
        self.lock().take();
    }

    /// Returns the number of open attempts.
    pub(crate) fn len(&self) -> usize {
        self.lock().as_ref().map_or(0, HashMap::len)
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<AttemptId, mpsc::Sender<EventKind>>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
