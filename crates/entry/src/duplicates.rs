//! Copies of one request that are under way at the same time.
//!
//! What could go wrong: a request crashes each engine that runs it, and its caller sends a dozen
//! copies at once. By the time that the first crash stands in the log, each copy has taken down an
//! engine of its own. So while the first copy has brought no token yet, the others wait here: once
//! it has, they all go on, and if it fails, the next one is tried with what was learnt from it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The requests of one entry that are under way, by fingerprint.
#[derive(Default)]
pub(crate) struct Duplicates {
    in_flight: Mutex<HashMap<u64, InFlight>>,
}

/// All copies of one request that have started.
#[derive(Default)]
struct InFlight {
    started: usize,
    /// Whether a copy has started that has neither brought a token nor failed.
    canary_running: bool,
    /// Whether a copy has brought a token.
    cleared: bool,
    changed: Arc<Notify>,
}

/// One copy that has started; dropping it ends it.
pub(crate) struct DuplicateGuard {
    duplicates: Arc<Duplicates>,
    fingerprint: u64,
    is_canary: bool,
}

impl Duplicates {
    /// Waits until a copy with this fingerprint may start.
    pub(crate) async fn start(self: &Arc<Self>, fingerprint: u64) -> DuplicateGuard {
        loop {
            let changed = match self.try_start(fingerprint) {
                Ok(guard) => return guard,
                Err(changed) => changed,
            };
            let mut notified = std::pin::pin!(changed.notified());
            notified.as_mut().enable();
            // What happened before the notification was enabled is seen by trying once more.
            if let Ok(guard) = self.try_start(fingerprint) {
                return guard;
            }
            notified.await;
        }
    }

    fn try_start(self: &Arc<Self>, fingerprint: u64) -> Result<DuplicateGuard, Arc<Notify>> {
        let mut in_flight = self.lock();
        let group = in_flight.entry(fingerprint).or_default();
        if group.canary_running && !group.cleared {
            return Err(group.changed.clone());
        }
        let is_canary = !group.cleared;
        group.started += 1;
        group.canary_running |= is_canary;
        Ok(DuplicateGuard { duplicates: self.clone(), fingerprint, is_canary })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, InFlight>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl DuplicateGuard {
    /// Notes that the copy has brought a token, so that the others go on.
    pub(crate) fn clear(&mut self) {
        if std::mem::take(&mut self.is_canary)
            && let Some(group) = self.duplicates.lock().get_mut(&self.fingerprint)
        {
            group.cleared = true;
            group.canary_running = false;
            group.changed.notify_waiters();
        }
    }
}

impl Drop for DuplicateGuard {
    fn drop(&mut self) {
        let mut in_flight = self.duplicates.lock();
        let Some(group) = in_flight.get_mut(&self.fingerprint) else { return };
        group.started -= 1;
        if self.is_canary {
            group.canary_running = false;
            group.changed.notify_waiters();
        }
        if group.started == 0 {
            in_flight.remove(&self.fingerprint);
        }
    }
}
