//! Requests that were running when a target crashed.

use crate::buffered_request::BufferedRequest;
use crate::config::customers::Customer;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Identifies a request by what its caller sends, however often it is sent.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. A request that merely ran beside the guilty one is
/// hit as often only if it meets it on three targets.
const CRASHES: u32 = 3;

/// After this time without another crash a request is no longer suspected: requests of plain
/// services look alike, and one that is refused could never clear itself.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// Requests that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Crashes by request.
#[derive(Debug, Default)]
pub struct Suspects(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    crashes: HashMap<Fingerprint, Crashes>,
    /// Crashes seen here that the other entries were not told of yet.
    news: Vec<Fingerprint>,
}

#[derive(Debug, Clone, Copy)]
struct Crashes {
    count: u32,
    last: Instant,
}

impl Suspects {
    /// Notes that a target crashed while it ran the request; returns the crashes so far.
    pub fn record_crash(&self, request: Fingerprint) -> u32 {
        let mut state = self.lock();
        state.news.push(request);
        state.count(request)
    }

    /// Takes in crashes that another entry saw.
    pub fn hear(&self, requests: &[Fingerprint]) {
        let mut state = self.lock();
        for request in requests {
            state.count(*request);
        }
    }

    /// Whether the request is refused.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        let state = self.lock();
        let crashes = state.crashes.get(&request);
        crashes.is_some_and(|c| c.count >= CRASHES && c.last.elapsed() < FORGOTTEN)
    }

    /// Takes what the other entries were not told of yet, the newest `most`.
    pub fn take_news(&self, most: usize) -> Vec<Fingerprint> {
        let mut news = std::mem::take(&mut self.lock().news);
        let older = news.len().saturating_sub(most);
        news.drain(..older);
        news
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn count(&mut self, request: Fingerprint) -> u32 {
        let now = Instant::now();
        if self.crashes.len() >= MAX_SUSPECTS {
            self.crashes.retain(|_, crashes| now.duration_since(crashes.last) < FORGOTTEN);
        }
        let crashes = self.crashes.entry(request).or_insert(Crashes { count: 0, last: now });
        if now.duration_since(crashes.last) >= FORGOTTEN {
            crashes.count = 0;
        }
        crashes.count += 1;
        crashes.last = now;
        crashes.count
    }
}

/// The fingerprint of a request: its path, its body and whose it is, so that no customer can have
/// another's requests refused.
pub fn fingerprint(content: &BufferedRequest, customer: Option<&Arc<Customer>>) -> Fingerprint {
    let path = xxhash_rust::xxh3::xxh3_64(content.path.to_string().as_bytes());
    let request = policy::mix(path, xxhash_rust::xxh3::xxh3_64(&content.body));
    customer.map_or(request, |customer| policy::mix(request, policy::hash(&customer.name)))
}
