//! By which read of the log an entry's view of a stream is known to be recent.
//!
//! Entries pass on the reads of others. Each read is identified by its reader and a number, and is
//! dated when an entry first hears of it: if each entry dated it anew, the delays of the datagrams
//! would add up, and a read that circulates would seem to grow younger.

use plat::Offset;
use std::collections::HashMap;
use tokio::time::Instant;

/// Identifies a read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadId {
    /// The process that made it.
    pub reader: u64,
    /// Counts the reads of that process.
    pub number: u64,
}

/// A read of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Read {
    /// Tells it from all other reads.
    pub id: ReadId,
    /// When it was made, by this process's clock.
    pub at: Instant,
    /// When it was started. A reader may have been suspended before it used the response.
    pub began: Instant,
    /// How far it went. Records between the last change and here changed nothing.
    pub position: Offset,
}

/// Upper bound on the readers whose last number is kept. On overflow all are dropped.
const MAX_READERS: usize = 1_024;

/// How far this entry has applied a stream, and the newest read that found no more.
#[derive(Debug, Default)]
pub(super) struct Confirmation {
    reader: u64,
    reads: u64,
    change_end: Offset,
    read: Option<Read>,
    /// A read that found more than this entry has applied, and how far the stream went by it.
    pending: Option<(Offset, Read)>,
    /// The number of the newest known read of each reader.
    numbers: HashMap<u64, u64>,
}

impl Confirmation {
    /// Creates the state of a stream that was not read yet.
    pub(super) fn new(reader: u64) -> Self {
        Self { reader, ..Self::default() }
    }

    pub(super) fn change_end(&self) -> Offset {
        self.change_end
    }

    pub(super) fn read(&self) -> Option<Read> {
        self.read
    }

    pub(super) fn at(&self) -> Option<Instant> {
        self.read.map(|read| read.at)
    }

    pub(super) fn began(&self) -> Option<Instant> {
        self.read.map(|read| read.began)
    }

    /// Returns whether the records before `next` are all that any known read has found.
    pub(super) fn is_complete(&self, next: Offset) -> bool {
        (self.read.is_some() || self.pending.is_some()) && next >= self.known_end()
    }

    /// Returns the end of the stream by all known reads.
    pub(super) fn known_end(&self) -> Offset {
        self.pending.map_or(self.change_end, |(end, _)| end.max(self.change_end))
    }

    /// Records that the entry has applied all changes before an offset.
    pub(super) fn advance(&mut self, change_end: Offset) {
        self.change_end = self.change_end.max(change_end);
        if let Some((_, read)) = self.pending.take_if(|(end, _)| *end <= self.change_end) {
            self.confirm(read);
        }
    }

    /// Records a read by this entry; returns whether it brought changes.
    pub(super) fn record_read(
        &mut self,
        change_end: Offset,
        position: Offset,
        began: Instant,
        now: Instant,
    ) -> bool {
        let is_news = self.read.is_none() || self.change_end < change_end;
        self.reads += 1;
        let id = ReadId { reader: self.reader, number: self.reads };
        self.numbers.insert(id.reader, id.number);
        self.change_end = self.change_end.max(change_end);
        self.confirm(Read { id, at: now, began, position });
        is_news
    }

    /// Records a read of which another entry tells, and which found no change beyond `change_end`.
    pub(super) fn observe(&mut self, change_end: Offset, read: Read) {
        if self.numbers.len() >= MAX_READERS {
            self.numbers.clear();
        }
        let newest = self.numbers.entry(read.id.reader).or_default();
        if *newest >= read.id.number {
            return;
        }
        *newest = read.id.number;
        if change_end <= self.change_end {
            self.confirm(read);
        } else if self.pending.is_none_or(|(end, _)| end <= change_end) {
            self.pending = Some((change_end, read));
        }
    }

    fn confirm(&mut self, read: Read) {
        if self.read.is_none_or(|known| known.at <= read.at) {
            self.read = Some(read);
        }
    }
}
