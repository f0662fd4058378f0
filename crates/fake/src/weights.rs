//! A rate-limited weight store in memory.

use async_trait::async_trait;
use compact_str::{CompactString, ToCompactString, format_compact};
use plat::{Artifact, Error, Result, WeightStore};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A weight store; clones share it.
#[derive(Clone, Default)]
pub struct MemoryWeights {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    artifacts: Vec<Artifact>,
    unavailable: bool,
    calls: u64,
    limited: u64,
    limit: Option<u32>,
    second: Option<(Instant, u32)>,
}

impl MemoryWeights {
    /// Stores an artifact of `bytes` bytes.
    pub fn put(&self, name: &str, bytes: u64) {
        let sha256 = CompactString::default();
        let artifact = Artifact { name: name.to_compact_string(), bytes, sha256 };
        self.lock().artifacts.push(artifact);
    }

    /// Refuses calls above this rate; 0 removes the limit.
    pub fn limit(&self, calls_per_second: u32) {
        self.lock().limit = (calls_per_second > 0).then_some(calls_per_second);
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.lock().unavailable = unavailable;
    }

    /// Number of calls within the limit.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Number of calls refused because of the limit.
    pub fn limited(&self) -> u64 {
        self.lock().limited
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Counts a call against the limit of the current second; returns whether it is admitted.
    fn admit(&mut self) -> bool {
        const SECOND: Duration = Duration::from_secs(1);
        let Some(limit) = self.limit else { return true };
        let (since, used) = match self.second {
            Some((since, used)) if since.elapsed() < SECOND => (since, used),
            Some(_) | None => (Instant::now(), 0),
        };
        self.second = Some((since, used + 1));
        used < limit
    }
}

#[async_trait]
impl WeightStore for MemoryWeights {
    async fn stat(&self, name: &str) -> Result<Artifact> {
        let mut inner = self.lock();
        if inner.unavailable {
            return Err(unavailable("set out of service"));
        }
        if !inner.admit() {
            inner.limited += 1;
            return Err(unavailable("too many calls in this second"));
        }
        inner.calls += 1;
        let found = inner.artifacts.iter().find(|artifact| artifact.name == name).cloned();
        found.ok_or_else(|| Error::Refused {
            step: STEP,
            peer: PEER,
            detail: format_compact!("there is no artifact {name}"),
        })
    }
}

const STEP: &str = "look up weights";
const PEER: CompactString = CompactString::const_new("memory-weights");

fn unavailable(detail: &'static str) -> Error {
    Error::Unavailable { step: STEP, peer: PEER, detail: CompactString::const_new(detail) }
}
