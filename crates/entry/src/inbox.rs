//! Where events that arrive from an agent are handed to the attempts that wait for them.
//!
//! What could go wrong: one slow caller fills its attempt's queue, the connection's reader waits
//! for it, and all other streams of that agent stand still. Handing on therefore never waits: an
//! agent that sends more than it has credit for loses the attempt, which is resumed elsewhere.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use wire::{AttemptId, EventKind};

/// How many events an agent may send ahead of a slow caller.
pub(crate) const CREDIT_EVENTS: u32 = 128;

/// Room beside the credit for an offer and for the end, which an agent may send without any.
const UNCREDITED_EVENTS: usize = 4;

/// The open attempts of one connection; `None` once it is closed.
pub(crate) struct Inbox {
    attempts: Mutex<Option<HashMap<AttemptId, mpsc::Sender<EventKind>>>>,
}

impl Inbox {
    /// Makes the inbox of a fresh connection.
    pub(crate) fn new() -> Self {
        Self { attempts: Mutex::new(Some(HashMap::new())) }
    }

    /// Opens an attempt; `None` if the connection is closed.
    pub(crate) fn open(&self, id: AttemptId) -> Option<mpsc::Receiver<EventKind>> {
        let (sender, events) = mpsc::channel(CREDIT_EVENTS as usize + UNCREDITED_EVENTS);
        self.lock().as_mut()?.insert(id, sender);
        Some(events)
    }

    /// Forgets an attempt that has ended or is abandoned; its late events are dropped from now on.
    pub(crate) fn remove(&self, id: AttemptId) {
        if let Some(attempts) = self.lock().as_mut() {
            attempts.remove(&id);
        }
    }

    /// Hands an event on without waiting; one that nobody waits for is dropped.
    pub(crate) fn deliver(&self, id: AttemptId, kind: EventKind) {
        let mut attempts = self.lock();
        let Some(attempts) = attempts.as_mut() else { return };
        let Some(sender) = attempts.get(&id) else { return };
        if sender.try_send(kind).is_err() {
            log::warn!(attempt = id; "credit-overrun");
            attempts.remove(&id);
        }
    }

    /// Ends all attempts, because the connection is lost.
    pub(crate) fn close(&self) {
        self.lock().take();
    }

    /// How many attempts are open.
    pub(crate) fn len(&self) -> usize {
        self.lock().as_ref().map_or(0, HashMap::len)
    }

    fn lock(&self) -> MutexGuard<'_, Option<HashMap<AttemptId, mpsc::Sender<EventKind>>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
