//! How the engines of each service were last divided between prefill and decode.
//!
//! A plan names engines, and is of no use once they are replaced; the split that it decided has to
//! outlast them, and the entry that decided it. Plans and heartbeats in the entries' stream tell it.

use crate::config::route::ServiceName;
use plat::Offset;
use policy::split::Ratio;
use prost::Message;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// The last known split of each service.
#[derive(Debug, Default)]
pub struct Splits(Mutex<HashMap<ServiceName, Decided>>);

#[derive(Debug, Clone, Copy)]
struct Decided {
    ratio: Ratio,
    /// The offset of the plan that decided it; 0 for a split that the pool had when it started.
    at: Offset,
    /// When this entry learned of it.
    known_since: Instant,
}

/// A split in plans and heartbeats.
#[derive(Clone, PartialEq, Message)]
pub struct SplitRow {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The engines that prefill.
    #[prost(uint32, tag = "2")]
    pub prefill: u32,
    /// All engines.
    #[prost(uint32, tag = "3")]
    pub engines: u32,
    /// The offset of the plan that decided it; 0 in the plan itself, and for a split that the pool
    /// had when it started.
    #[prost(uint64, tag = "4")]
    pub decided_at: u64,
}

/// Upper bound on the services of which the split is known.
const MAX_SERVICES: usize = 1_024;

impl Splits {
    /// Records a split that was decided at an offset, unless a newer one is known. Returns whether
    /// it is new.
    pub fn record(&self, service: &str, ratio: Ratio, at: Offset) -> bool {
        let mut splits = self.lock();
        match splits.get(service) {
            Some(known) if known.at >= at => return false,
            None if splits.len() >= MAX_SERVICES => return false,
            Some(_) | None => {}
        }
        let known_since = Instant::now();
        splits.insert(service.into(), Decided { ratio, at, known_since });
        true
    }

    /// The same for a split that another entry wrote.
    pub fn merge(&self, split: &SplitRow, at: Offset) -> bool {
        let SplitRow { service, prefill, engines, decided_at: _ } = split;
        let is_valid = prefill <= engines && *engines > 0;
        is_valid && self.record(service, Ratio { prefill: *prefill, engines: *engines }, at)
    }

    /// Returns the last known split of a service, and since when this entry knows it.
    pub fn ratio(&self, service: &str) -> Option<(Ratio, Instant)> {
        self.lock().get(service).map(|decided| (decided.ratio, decided.known_since))
    }

    /// Returns all known splits.
    pub fn rows(&self) -> Vec<SplitRow> {
        let splits = self.lock();
        let rows = splits.iter().map(|(service, Decided { ratio, at, known_since: _ })| SplitRow {
            service: service.to_string(),
            prefill: ratio.prefill,
            engines: ratio.engines,
            decided_at: *at,
        });
        rows.collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Decided>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
