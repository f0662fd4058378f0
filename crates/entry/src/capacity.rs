//! Limits the requests and body bytes that an entry holds at a time.
//!
//! Without these limits, many requests at once, or a few callers with large bodies, could use up
//! the VM's memory and fail the requests in progress. Bodies count with what has arrived: counted
//! with what they announce, callers that send nothing more would leave no room for others.

use crate::Reason;
use crate::decisions::Decisions;
use crate::outcome::Failure;
use crate::view::ConfiguredCaller;
use body::{Budget, Holding};
use conf::Name;
use policy::estimate::Cost;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum open requests. The expected 12 requests per second (4,700 over 390 entries) stay far
/// below it even if each takes a minute; at 16 KB per request it takes at most 64 MB.
const MAX_OPEN_REQUESTS: usize = 4_096;

/// Maximum body bytes held at a time, a quarter of an entry's 256 MB.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Retry delay if the entry is full. It is short because requests complete continuously.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Counts open requests and their body bytes.
pub(crate) struct Capacity {
    open_requests: AtomicUsize,
    bodies: Arc<Budget>,
}

impl Default for Capacity {
    fn default() -> Self {
        let bodies = Arc::new(Budget::new(MAX_BODY_BYTES));
        Self { open_requests: AtomicUsize::default(), bodies }
    }
}

/// Holds the capacity for one request and releases it on drop.
pub(crate) struct CapacityGuard {
    capacity: Arc<Capacity>,
    body: Option<Arc<Holding>>,
    reservation: Option<LimitReservation>,
}

/// A request that counts against its caller's limits until dropped.
struct LimitReservation {
    decisions: Arc<Decisions>,
    caller: Name,
    predicted: u64,
    used: u64,
}

impl Capacity {
    /// Acquires capacity for a request, whose body is charged to [`Self::bodies`].
    pub(crate) fn acquire(self: &Arc<Self>) -> Result<CapacityGuard, Failure> {
        let open = self.open_requests.fetch_add(1, Ordering::Relaxed) + 1;
        // Created before the check, so that dropping it reverts the counter if the limit is
        // exceeded.
        let guard = CapacityGuard { capacity: self.clone(), body: None, reservation: None };
        if open > MAX_OPEN_REQUESTS { Err(full()) } else { Ok(guard) }
    }

    /// The memory for bodies.
    pub(crate) fn bodies(&self) -> &Arc<Budget> {
        &self.bodies
    }

    /// Returns the number of open requests.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// Returns the refusal of a request that this entry has no room for.
pub(crate) fn full() -> Failure {
    let failure = Failure::not_run(Reason::EntryFull, "this entry holds all it can");
    failure.with_retry_after(FULL_RETRY_AFTER)
}

impl CapacityGuard {
    /// Holds the memory of the request's body until the guard is dropped.
    pub(crate) fn hold_body(&mut self, body: Option<Arc<Holding>>) {
        self.body = body;
    }

    /// Counts the request against its caller's limits until the guard is dropped.
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

    /// Replaces the predicted token count by the actual one.
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
    }
}
