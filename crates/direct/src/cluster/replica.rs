//! The records of one stream that still matter, kept so that other entries can get them here
//! instead of from the log.

use compact_str::CompactString;
use plat::{Offset, Record};
use std::collections::{BTreeMap, HashMap};

/// The maximum number of records that only say that a key was removed, or that have no key.
const MAX_TRANSIENT: usize = 512;

/// The newest record of each key, and the newest records without a key, by offset.
#[derive(Debug, Default)]
pub struct Replica {
    records: BTreeMap<Offset, Record>,
    offsets: HashMap<CompactString, Offset>,
    /// The offsets of removals and of records without a key, oldest first.
    transient: BTreeMap<Offset, ()>,
    /// Changes from this offset on are complete.
    complete_from: Offset,
}

impl Replica {
    /// Adds a record. An older one than the known record of its key is left out.
    pub fn insert(&mut self, record: Record) {
        if !record.key.is_empty() {
            match self.offsets.get(&record.key) {
                Some(known) if *known >= record.offset => return,
                Some(known) => {
                    self.records.remove(known);
                    self.transient.remove(known);
                }
                None => {}
            }
            self.offsets.insert(record.key.clone(), record.offset);
        }
        if record.key.is_empty() || record.value.is_none() {
            self.transient.insert(record.offset, ());
        }
        self.records.insert(record.offset, record);
        self.limit_transient();
    }

    /// Replaces everything by a whole list, which was read at `end`.
    pub fn replace(&mut self, records: impl IntoIterator<Item = Record>, end: Offset) {
        // The list doesn't tell which keys were removed before.
        *self = Self { complete_from: end, ..Self::default() };
        for record in records {
            self.insert(record);
        }
    }

    /// Returns the changes from an offset on; `None` if some of them are not known.
    pub fn changes(&self, from: Offset) -> Option<impl Iterator<Item = &Record>> {
        (from >= self.complete_from).then(|| self.newest(from))
    }

    /// Returns the newest record of each key, as far as it stands at an offset or after it.
    pub fn newest(&self, from: Offset) -> impl Iterator<Item = &Record> {
        self.records.range(from..).map(|(_, record)| record)
    }

    fn limit_transient(&mut self) {
        while self.transient.len() > MAX_TRANSIENT {
            let Some((offset, ())) = self.transient.pop_first() else { return };
            if let Some(record) = self.records.remove(&offset) {
                self.offsets.remove(&record.key);
            }
            self.complete_from = offset + 1;
        }
    }
}
