//! A list of VMs in memory, with a configurable lag.

use async_trait::async_trait;
use compact_str::CompactString;
use plat::{Error, Result, Vm, VmList};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A list of VMs; clones share it.
#[derive(Clone, Default)]
pub struct MemoryVms {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    unavailable: bool,
    lag: Duration,
    /// Each list with the time at which it was set, oldest first.
    lists: VecDeque<(Instant, Vec<Vm>)>,
}

impl MemoryVms {
    /// Replaces the list; readers get it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.lock().lists.push_back((Instant::now(), vms));
    }

    /// Delays the visibility of changes by `lag`.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Makes all calls fail, or succeed again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.lock().unavailable = unavailable;
    }

    /// The newest list, regardless of the lag.
    pub fn newest(&self) -> Vec<Vm> {
        self.lock().lists.back().map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl VmList for MemoryVms {
    async fn list(&self) -> Result<Vec<Vm>> {
        let mut inner = self.lock();
        if inner.unavailable {
            return Err(unavailable());
        }
        let lag = inner.lag;
        while inner.lists.get(1).is_some_and(|(since, _)| since.elapsed() >= lag) {
            inner.lists.pop_front();
        }
        let shown = inner.lists.front().filter(|(since, _)| since.elapsed() >= lag);
        Ok(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
    }
}

fn unavailable() -> Error {
    Error::Unavailable {
        step: "list VMs",
        peer: CompactString::const_new("memory-vms"),
        detail: CompactString::const_new("set out of service"),
    }
}
