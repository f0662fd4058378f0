//! What ran to its end lately, in bounded memory.

use super::Key;
use crate::Time;

/// The number of keys that are remembered, at most: a newer one replaces another in its place.
const SLOTS: usize = 8_192;

/// The last times at which keys ran to their end.
#[derive(Debug, Clone, Default)]
pub struct Completions {
    slots: Vec<Option<(Key, Time)>>,
}

impl Completions {
    /// Records that a key ran to its end.
    pub fn record(&mut self, key: Key, now: Time) {
        if self.slots.is_empty() {
            self.slots.resize(SLOTS, None);
        }
        self.slots[slot(key)] = Some((key, now));
    }

    /// Returns when a key last ran to its end, if it is remembered.
    pub fn last(&self, key: Key) -> Option<Time> {
        let (known, at) = (*self.slots.get(slot(key))?)?;
        (known == key).then_some(at)
    }
}

fn slot(key: Key) -> usize {
    usize::try_from(key).map_or(0, |key| key % SLOTS)
}
