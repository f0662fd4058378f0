//! Spans of records that wait until they can be applied.

use super::Topic;
use plat::{Offset, Record};

/// Records of a stream that another entry sent: all that changed something within the span, or the
/// part of a whole list that stands there.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordSpan {
    /// The stream.
    pub topic: Topic,
    /// The start of the span: an entry that has read up to here lacks only these records.
    pub start: Offset,
    /// The end of the span.
    pub end: Offset,
    /// Whether calls to the log have recently failed for the entry that read the records.
    pub log_degraded: bool,
    /// Whether the span is a part of a whole list. It doesn't tell what was removed, so that only an
    /// entry that has no records yet can use it.
    pub whole: bool,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// The maximum number of waiting spans. Further ones are dropped, and their records requested
/// again.
const MAX_SPANS: usize = 256;

/// Spans that were sent and not yet applied.
#[derive(Debug, Default)]
pub(super) struct Offered(Vec<RecordSpan>);

impl Offered {
    /// Queues a span; returns whether it can bring anything.
    pub(super) fn push(&mut self, span: RecordSpan) -> bool {
        let is_new = span.end > span.start && self.0.len() < MAX_SPANS;
        if is_new {
            self.0.push(span);
        }
        is_new
    }

    /// Takes the records that continue at `next`, without those before it. Spans that follow are
    /// merged: applying a span costs time in proportion to the number of targets, however few
    /// records it has. Parts of a whole list are taken only if `whole` is set.
    pub(super) fn take(&mut self, next: Offset, whole: bool) -> Option<RecordSpan> {
        self.0.retain(|span| span.end > next);
        let is_usable = |span: &RecordSpan| whole || !span.whole;
        let at = self.0.iter().position(|span| is_usable(span) && span.start <= next)?;
        let mut span = self.0.swap_remove(at);
        let follows = |other: &RecordSpan, end| is_usable(other) && other.start <= end;
        while let Some(at) = self.0.iter().position(|other| follows(other, span.end)) {
            let more = self.0.swap_remove(at);
            let end = span.end;
            span.log_degraded |= more.log_degraded;
            span.records.extend(more.records.into_iter().filter(|record| record.offset >= end));
            span.end = end.max(more.end);
        }
        span.records.retain(|record| record.offset >= next);
        Some(span)
    }
}
