//! The status that each entry has last sent, with the demand of its callers. Peers request it to
//! find out which entries are live.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use wire::EntryStatus;

/// How long a status is valid. Entries send pings every few seconds.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Maximum number of tracked entries: more than twice the 390 that the system is designed for.
const MAX_ENTRIES: usize = 1_024;

/// The latest status of each entry.
#[derive(Default)]
pub(crate) struct EntryStatuses {
    by_entry: Mutex<HashMap<String, (EntryStatus, Instant)>>,
}

impl EntryStatuses {
    /// Records the status that an entry has sent.
    pub(crate) fn record(&self, status: EntryStatus) {
        let mut by_entry = self.lock();
        by_entry.retain(|_, (_, at)| at.elapsed() <= MAX_AGE);
        if by_entry.len() < MAX_ENTRIES || by_entry.contains_key(&status.entry) {
            by_entry.insert(status.entry.clone(), (status, Instant::now()));
        }
    }

    /// Returns the valid statuses with their age, ordered by the entry's name.
    pub(crate) fn list(&self) -> Vec<EntryStatus> {
        let by_entry = self.lock();
        let recent = by_entry.values().filter(|(_, at)| at.elapsed() <= MAX_AGE);
        let aged = recent.map(|(status, at)| {
            let age = u64::try_from(at.elapsed().as_millis()).unwrap_or(u64::MAX);
            EntryStatus { age_ms: status.age_ms.saturating_add(age), ..status.clone() }
        });
        let mut list: Vec<_> = aged.collect();
        list.sort_by(|a, b| a.entry.cmp(&b.entry));
        list
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<String, (EntryStatus, Instant)>> {
        self.by_entry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
