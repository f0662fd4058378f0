//! How much the entry holds at a time, in requests and in bytes of bodies.
//!
//! Without it a crowd, or a few callers with large bodies, would take all of the VM's memory and
//! bring down the requests that were already being answered.

use crate::Reason;
use crate::decisions::Decisions;
use crate::outcome::Failure;
use crate::view::ConfiguredCaller;
use conf::Name;
use policy::estimate::Cost;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Requests open at a time: 12 requests a second (4,700 over 390 entries) stay far below it even
/// if each takes a minute, and at 16 KB each it stays below 64 MB.
const MAX_OPEN_REQUESTS: usize = 4_096;

/// Bytes of bodies held at a time; a quarter of an entry's 256 MB.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// When to come again if the entry is full; answers end all the time.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts what is held.
#[derive(Default)]
pub(crate) struct Capacity {
    open_requests: AtomicUsize,
    body_bytes: AtomicUsize,
}

/// Leave to hold one request; dropping it gives it back.
pub(crate) struct CapacityGuard {
    capacity: Arc<Capacity>,
    bytes: usize,
    reservation: Option<LimitReservation>,
}

/// A request that counts against its caller's limits.
struct LimitReservation {
    decisions: Arc<Decisions>,
    caller: Name,
    predicted: u64,
    used: u64,
}

impl Capacity {
    /// Lets a request in with a body of up to `bytes`.
    pub(crate) fn acquire(self: &Arc<Self>, bytes: usize) -> Result<CapacityGuard, Failure> {
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed) + 1;
        let held_bytes = self.body_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        // Made first, so that what was just counted is given back if it is too much.
        let guard = CapacityGuard { capacity: self.clone(), bytes, reservation: None };
        if open > MAX_OPEN_REQUESTS || held_bytes > MAX_BODY_BYTES {
            let failure = Failure::not_run(Reason::EntryFull, "this entry holds all it can");
            return Err(failure.with_retry_after(FULL_RETRY_AFTER));
        }
        Ok(guard)
    }

    /// How many requests are held.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

impl CapacityGuard {
    /// Books the request under its caller's limits until the pass is dropped.
    pub(crate) fn reserve(
        &mut self,
        decisions: &Arc<Decisions>,
        caller: &ConfiguredCaller,
        cost: Cost,
    ) -> Result<(), Failure> {
        decisions.open(caller, cost)?;
        let predicted = cost.prefill + cost.decode;
        let (decisions, caller) = (decisions.clone(), caller.name.clone());
        self.reservation = Some(LimitReservation { decisions, caller, predicted, used: predicted });
        Ok(())
    }

    /// Corrects what the request was predicted to use by what it did.
    pub(crate) fn set_used_tokens(&mut self, tokens: u64) {
        if let Some(reservation) = &mut self.reservation {
            reservation.used = tokens;
        }
    }
}

impl Drop for LimitReservation {
    fn drop(&mut self) {
        self.decisions.close(&self.caller, self.predicted, self.used);
    }
}

impl Drop for CapacityGuard {
    fn drop(&mut self) {
        self.capacity.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.capacity.body_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
