//! The engines on which this process has work, and the notification of changes in it.
//!
//! Engines without work are not listed, so what is sent to the other entries grows with the
//! requests of this entry and not with the number of engines.

use crate::targets::availability::Availability;
use crate::targets::pace::Paces;
use policy::Hash;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// An engine's pending work.
pub trait PendingWork: std::fmt::Debug + Send + Sync {
    /// Returns the tokens to prefill, and the streams.
    fn pending(&self) -> (u64, u32);
}

/// The work of one process on all engines.
#[derive(Debug, Default)]
pub struct Workload {
    changed: Notify,
    busy: Mutex<HashMap<Hash, Arc<dyn PendingWork>>>,
    /// Targets that are leaving or paused, by their own responses.
    pub availability: Availability,
    /// The time that engines take per piece.
    pub paces: Paces,
}

/// The work on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineWork {
    /// The engine.
    pub engine: Hash,
    /// Tokens to prefill.
    pub prefill_tokens: u64,
    /// Streams.
    pub streams: u32,
}

impl Workload {
    /// Adds an engine that had no work before.
    pub fn add(&self, engine: Hash, pending: Arc<dyn PendingWork>) {
        self.busy.lock().unwrap_or_else(PoisonError::into_inner).insert(engine, pending);
    }

    /// Reports a change that the other entries should be informed of.
    pub fn notify_changed(&self) {
        self.changed.notify_one();
    }

    /// Waits until something has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the work on all engines that have any.
    pub fn snapshot(&self) -> Vec<EngineWork> {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        let mut work = Vec::with_capacity(busy.len());
        busy.retain(|engine, pending| {
            let (prefill_tokens, streams) = pending.pending();
            let has_work = prefill_tokens > 0 || streams > 0;
            if has_work {
                work.push(EngineWork { engine: *engine, prefill_tokens, streams });
            }
            has_work
        });
        work
    }
}
