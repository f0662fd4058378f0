//! Holds back identical requests until the first one has proven harmless.
//!
//! If a request crashes each engine that runs it and its caller sends a dozen copies at once, each
//! copy can crash an engine before the first crash is in the log. Until the first copy, the canary,
//! has produced a token, the others therefore wait. Then they all start; if the canary fails, the
//! next copy becomes the canary and is placed with the crash taken into account.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The requests in progress at one entry, by fingerprint.
#[derive(Default)]
pub(crate) struct Duplicates {
    in_flight: Mutex<HashMap<u64, InFlight>>,
}

/// The started copies of one request.
#[derive(Default)]
struct InFlight {
    started: usize,
    /// Whether the canary has neither produced a token nor failed yet.
    canary_running: bool,
    /// Whether a copy has produced a token.
    cleared: bool,
    changed: Arc<Notify>,
}

/// A started copy; dropping it ends it.
pub(crate) struct DuplicateGuard {
    duplicates: Arc<Duplicates>,
    fingerprint: u64,
    is_canary: bool,
}

impl Duplicates {
    /// Waits until a request with this fingerprint may start.
    pub(crate) async fn start(self: &Arc<Self>, fingerprint: u64) -> DuplicateGuard {
        loop {
            let changed = match self.try_start(fingerprint) {
                Ok(guard) => return guard,
                Err(changed) => changed,
            };
            let mut notified = std::pin::pin!(changed.notified());
            notified.as_mut().enable();
            // Trying again detects a change that occurred before the notification was enabled.
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
    /// Records that this copy has produced a token, and lets the others start.
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
