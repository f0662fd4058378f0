//! Requests that were running when a target crashed.

use crate::attempt::Content;
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Identifies a request by what its caller sends, however often it is sent.
pub type Fingerprint = u64;

/// Crashes after which a request is refused. A request that merely ran beside the guilty one is
/// hit as often only if it meets it on three targets.
const CRASHES: u32 = 3;

/// Fingerprints that are remembered.
const MAX_SUSPECTS: usize = 4_096;

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct Suspects(Mutex<HashMap<Fingerprint, u32>>);

impl Suspects {
    /// Notes that the request may have crashed a target; returns the crashes so far.
    pub fn crashed(&self, request: Fingerprint) -> u32 {
        let mut crashes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if crashes.len() >= MAX_SUSPECTS {
            crashes.retain(|_, crashes| *crashes >= CRASHES);
        }
        let crashes = crashes.entry(request).or_default();
        *crashes += 1;
        *crashes
    }

    /// Whether the request is refused.
    pub fn is_guilty(&self, request: Fingerprint) -> bool {
        let crashes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.get(&request).is_some_and(|crashes| *crashes >= CRASHES)
    }
}

/// The fingerprint of a request: its path and body.
pub fn fingerprint(content: &Content) -> Fingerprint {
    let path = xxhash_rust::xxh3::xxh3_64(content.path.to_string().as_bytes());
    policy::mix(path, xxhash_rust::xxh3::xxh3_64(&content.body))
}
