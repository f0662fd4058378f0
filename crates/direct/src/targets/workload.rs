//! The engines at which this process has work, and who is told when that changes.
//!
//! Engines that have none are in no list: what the other entries are told then grows with the requests
//! of this entry, not with the engines that there are.

use crate::targets::availability::Availability;
use policy::Hash;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Notify;

/// What is booked at an engine.
pub trait Booked: std::fmt::Debug + Send + Sync {
    /// Tokens to be read, and streams.
    fn booked(&self) -> (u64, u32);
}

/// The work of one process at all engines.
#[derive(Debug, Default)]
pub struct Workload {
    changed: Notify,
    busy: Mutex<HashMap<Hash, Arc<dyn Booked>>>,
    /// Targets that leave or pause, by their own answers.
    pub availability: Availability,
}

/// The work at one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The engine.
    pub engine: Hash,
    /// Tokens to be read.
    pub prefill_tokens: u64,
    /// Streams.
    pub streams: u32,
}

impl Workload {
    /// Notes that there is work at an engine that had none.
    pub fn begin(&self, engine: Hash, booked: Arc<dyn Booked>) {
        self.busy.lock().unwrap_or_else(PoisonError::into_inner).insert(engine, booked);
    }

    /// Notes that something has changed that the others should hear of.
    pub fn change(&self) {
        self.changed.notify_one();
    }

    /// Resolves when something has changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The work at all engines that have any.
    pub fn snapshot(&self) -> Vec<Row> {
        let mut busy = self.busy.lock().unwrap_or_else(PoisonError::into_inner);
        let mut rows = Vec::with_capacity(busy.len());
        busy.retain(|engine, booked| {
            let (prefill_tokens, streams) = booked.booked();
            let has_work = prefill_tokens > 0 || streams > 0;
            if has_work {
                rows.push(Row { engine: *engine, prefill_tokens, streams });
            }
            has_work
        });
        rows
    }
}
