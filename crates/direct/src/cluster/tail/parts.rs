//! Puts records together that are too large for one datagram.

use super::RecordSpan;
use bytes::{Bytes, BytesMut};
use plat::{Offset, Record};

/// A part of a record in a span of its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The span, whose only record has this part as its value.
    pub span: RecordSpan,
    /// The index of the part.
    pub index: usize,
    /// The number of parts.
    pub count: usize,
}

/// The maximum number of incomplete records of a stream. The oldest is dropped first.
const MAX_RECORDS: usize = 4;

/// The maximum number of parts of a record.
const MAX_PARTS: usize = 4_096;

/// Records of which some parts have arrived.
#[derive(Debug, Default)]
pub(super) struct Parts(Vec<Incomplete>);

#[derive(Debug)]
struct Incomplete {
    span: RecordSpan,
    offset: Offset,
    parts: Vec<Option<Bytes>>,
}

impl Incomplete {
    /// The number of parts before the first missing one.
    fn leading(&self) -> usize {
        self.parts.iter().take_while(|part| part.is_some()).count()
    }
}

impl Parts {
    /// Adds a part; returns the span with the whole record once all have arrived.
    pub(super) fn push(&mut self, part: Part) -> Option<RecordSpan> {
        let Part { span, index, count } = part;
        let Record { offset, value, .. } = span.records.first()?.clone();
        if count > MAX_PARTS || index >= count {
            return None;
        }
        let same = |known: &&mut Incomplete| known.offset == offset && known.parts.len() == count;
        if self.0.iter_mut().find(same).is_none() {
            if self.0.len() >= MAX_RECORDS {
                self.0.remove(0);
            }
            self.0.push(Incomplete { span: span.clone(), offset, parts: vec![None; count] });
        }
        let known = self.0.iter_mut().find(same)?;
        known.parts[index] = value;
        // Of several senders, one may know of no change between an earlier offset and the record.
        known.span.start = known.span.start.min(span.start);
        known.span.end = known.span.end.max(span.end);
        if known.leading() < count {
            return None;
        }
        let at = self.0.iter().position(|known| known.offset == offset)?;
        let Incomplete { mut span, parts, .. } = self.0.remove(at);
        let mut value = BytesMut::new();
        parts.iter().flatten().for_each(|part| value.extend_from_slice(part));
        if let Some(record) = span.records.first_mut() {
            record.value = Some(value.freeze());
        }
        span.end = span.end.max(offset + 1);
        Some(span)
    }

    /// Returns the first incomplete record after `next`, and how many of its first parts have
    /// arrived.
    pub(super) fn received(&self, next: Offset) -> Option<(Offset, usize)> {
        let waiting = self.0.iter().filter(|known| known.offset >= next);
        let first = waiting.min_by_key(|known| known.offset)?;
        Some((first.offset, first.leading()))
    }

    /// Drops records that are no longer needed.
    pub(super) fn forget_before(&mut self, next: Offset) {
        self.0.retain(|known| known.offset >= next);
    }
}
