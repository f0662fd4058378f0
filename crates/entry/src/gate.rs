//! How much the entry holds at a time: requests and bytes of bodies, in all and for each caller.
//!
//! Without it a crowd, or a few callers with large bodies, would take all of the VM's memory and
//! bring down the requests that were already being answered.

use crate::Reason;
use crate::outcome::Failure;
use crate::view::Client;
use conf::Name;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
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
    held: Mutex<Held>,
}

#[derive(Default)]
struct Held {
    open: usize,
    bytes: usize,
    by_caller: HashMap<Name, u32>,
}

/// Leave to hold one request; dropping it gives it back.
pub(crate) struct Pass {
    gate: Arc<Gate>,
    caller: Name,
    bytes: usize,
}

impl Gate {
    /// Lets a request of `client` in, with a body of up to `bytes`.
    pub(crate) fn enter(self: &Arc<Self>, client: &Client, bytes: usize) -> Result<Pass, Failure> {
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        if held.open >= MAX_OPEN || held.bytes + bytes > MAX_BODY_BYTES {
            let failure = Failure::not_run(Reason::EntryFull, "this entry holds all it can");
            return Err(failure.retry_after(FULL_WAIT));
        }
        let most = client.spec.concurrency;
        let open = held.by_caller.entry(client.name.clone()).or_default();
        if most > 0 && *open >= most {
            let detail = format!("{} requests of yours are open, the most allowed", *open);
            let failure = Failure::not_run(Reason::TooManyOpen, detail);
            return Err(failure.retry_after(FULL_WAIT));
        }
        *open += 1;
        held.open += 1;
        held.bytes += bytes;
        Ok(Pass { gate: self.clone(), caller: client.name.clone(), bytes })
    }
}

impl Gate {
    /// How many requests are held.
    pub(crate) fn open(&self) -> usize {
        self.held.lock().unwrap_or_else(PoisonError::into_inner).open
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let mut held = self.gate.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.open -= 1;
        held.bytes -= self.bytes;
        if let Some(open) = held.by_caller.get_mut(&self.caller) {
            *open -= 1;
            if *open == 0 {
                held.by_caller.remove(&self.caller);
            }
        }
    }
}
