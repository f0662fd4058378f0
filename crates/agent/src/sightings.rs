//! What entries said of themselves, kept for whoever asks: membership and offered demand.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use wire::Sighting;

/// How long a sighting counts; an entry pings every few seconds.
const KEEP: Duration = Duration::from_secs(60);

/// How many entries are remembered: above twice the 390 nodes that the system is designed for.
const MAX_ENTRIES: usize = 1_024;

/// The entries that an agent has heard from.
#[derive(Default)]
pub(crate) struct Sightings {
    heard: Mutex<HashMap<String, (Sighting, Instant)>>,
}

impl Sightings {
    /// Remembers what an entry says of itself.
    pub(crate) fn hear(&self, sighting: Sighting) {
        let mut heard = self.lock();
        heard.retain(|_, (_, at)| at.elapsed() <= KEEP);
        if heard.len() < MAX_ENTRIES || heard.contains_key(&sighting.entry) {
            heard.insert(sighting.entry.clone(), (sighting, Instant::now()));
        }
    }

    /// All entries heard from of late, by name, each with its age.
    pub(crate) fn list(&self) -> Vec<Sighting> {
        let heard = self.lock();
        let fresh = heard.values().filter(|(_, at)| at.elapsed() <= KEEP);
        let aged = fresh.map(|(sighting, at)| {
            let age = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
            Sighting { age_ms: sighting.age_ms.saturating_add(age), ..sighting.clone() }
        });
        let mut list: Vec<_> = aged.collect();
        list.sort_by(|a, b| a.entry.cmp(&b.entry));
        list
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, (Sighting, Instant)>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
