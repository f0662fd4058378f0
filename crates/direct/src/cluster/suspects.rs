//! Requests that are suspected of crashing targets, because they were running when a target
//! crashed.

use crate::buffered_request::BufferedRequest;
use crate::config::customers::Customer;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Identifies a request by its content, so that retries of it are recognized.
pub type Fingerprint = u64;

/// The number of crashes from which on a request is blocked. A request that merely ran beside the
/// one that crashes targets reaches it only if both meet on three targets.
const BLOCKING_CRASHES: u32 = 3;

/// After this time without another crash a request is no longer suspected. Requests of plain
/// services often have the same content, and a blocked one never runs, so it could not be cleared
/// otherwise.
const SUSPICION_TTL: Duration = Duration::from_secs(60);

/// The number of tracked requests from which on expired ones are removed.
const MAX_SUSPECTS: usize = 4_096;

/// The suspected requests with their crashes.
#[derive(Debug, Default)]
pub struct Suspects(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    crashes: HashMap<Fingerprint, Crashes>,
    /// Crashes seen by this entry that have not been published yet.
    unpublished: Vec<Fingerprint>,
}

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last_at: Instant,
}

impl Suspects {
    /// Records that a target crashed while it ran the request; returns the number of crashes so
    /// far.
    pub fn record_crash(&self, request: Fingerprint) -> u32 {
        let mut state = self.lock();
        state.unpublished.push(request);
        state.count(request)
    }

    /// Records crashes that another entry has seen.
    pub fn observe_crashes(&self, requests: &[Fingerprint]) {
        let mut state = self.lock();
        for request in requests {
            state.count(*request);
        }
    }

    /// Returns whether the request is refused.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        let state = self.lock();
        let crashes = state.crashes.get(&request);
        crashes.is_some_and(|c| c.count >= BLOCKING_CRASHES && c.last_at.elapsed() < SUSPICION_TTL)
    }

    /// Takes the crashes that have not been published yet, but only the newest `max`.
    pub fn take_unpublished(&self, max: usize) -> Vec<Fingerprint> {
        let mut unpublished = std::mem::take(&mut self.lock().unpublished);
        let excess = unpublished.len().saturating_sub(max);
        unpublished.drain(..excess);
        unpublished
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn count(&mut self, request: Fingerprint) -> u32 {
        let now = Instant::now();
        if self.crashes.len() >= MAX_SUSPECTS {
            self.crashes.retain(|_, crashes| now.duration_since(crashes.last_at) < SUSPICION_TTL);
        }
        let crashes = self.crashes.entry(request).or_insert(Crashes { count: 0, last_at: now });
        if now.duration_since(crashes.last_at) >= SUSPICION_TTL {
            crashes.count = 0;
        }
        crashes.count += 1;
        crashes.last_at = now;
        crashes.count
    }
}

/// Returns the fingerprint of a request, which covers its path, its body and its customer, so that
/// no customer can get another one's requests blocked.
pub fn fingerprint(buffered: &BufferedRequest, customer: Option<&Arc<Customer>>) -> Fingerprint {
    let path = xxhash_rust::xxh3::xxh3_64(buffered.path.to_string().as_bytes());
    let request = policy::mix(path, xxhash_rust::xxh3::xxh3_64(&buffered.body));
    customer.map_or(request, |customer| policy::mix(request, policy::hash(&customer.name)))
}
