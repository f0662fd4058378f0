//! How much the entry holds at a time, in requests and in bytes of bodies.
//!
//! Without it a crowd, or a few callers with large bodies, would take all of the VM's memory and
//! bring down the requests that were already being answered.

use crate::Reason;
use crate::decisions::Decisions;
use crate::outcome::Failure;
use crate::view::Client;
use conf::Name;
use policy::estimate::Cost;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Requests open at a time: 12 requests a second (4,700 over 390 entries) stay far below it even
/// if each takes a minute, and at 16 KB each it stays below 64 MB.
const MAX_OPEN: usize = 4_096;

/// Bytes of bodies held at a time; a quarter of an entry's 256 MB.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// When to come again if the entry is full; answers end all the time.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// Counts what is held.
#[derive(Default)]
pub(crate) struct Gate {
    open: AtomicUsize,
    bytes: AtomicUsize,
}

/// Leave to hold one request; dropping it gives it back.
pub(crate) struct Pass {
    gate: Arc<Gate>,
    bytes: usize,
    booking: Option<Booking>,
}

/// A request that counts against its caller's limits.
struct Booking {
    decisions: Arc<Decisions>,
    caller: Name,
    predicted: u64,
    used: u64,
}

impl Gate {
    /// Lets a request in with a body of up to `bytes`.
    pub(crate) fn enter(self: &Arc<Self>, bytes: usize) -> Result<Pass, Failure> {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        let held = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        // Made first, so that what was just counted is given back if it is too much.
        let pass = Pass { gate: self.clone(), bytes, booking: None };
        if open > MAX_OPEN || held > MAX_BODY_BYTES {
            let failure = Failure::not_run(Reason::EntryFull, "this entry holds all it can");
            return Err(failure.retry_after(FULL_WAIT));
        }
        Ok(pass)
    }

    /// How many requests are held.
    pub(crate) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl Pass {
    /// Books the request under its caller's limits until the pass is dropped.
    pub(crate) fn book(
        &mut self,
        decisions: &Arc<Decisions>,
        client: &Client,
        cost: Cost,
    ) -> Result<(), Failure> {
        decisions.open(client, cost)?;
        let predicted = cost.prefill + cost.decode;
        let (decisions, caller) = (decisions.clone(), client.name.clone());
        self.booking = Some(Booking { decisions, caller, predicted, used: predicted });
        Ok(())
    }

    /// Corrects what the request was predicted to use by what it did.
    pub(crate) fn used(&mut self, tokens: u64) {
        if let Some(booking) = &mut self.booking {
            booking.used = tokens;
        }
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        self.decisions.close(&self.caller, self.predicted, self.used);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.gate.open.fetch_sub(1, Ordering::Relaxed);
        self.gate.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
