//! Puts blocks of records together that are too large for one datagram.

use super::RecordSpan;
use bytes::{Bytes, BytesMut};
use plat::Offset;

/// A part of a block.
#[derive(Debug, Clone, PartialEq)]
pub struct Part {
    /// The span of the block, without the records.
    pub span: RecordSpan,
    /// The hash of the block.
    pub block: u64,
    /// The index of the part.
    pub index: usize,
    /// The number of parts.
    pub count: usize,
    /// The bytes of the part.
    pub data: Bytes,
}

/// A block of which all parts have arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct Block {
    /// The span of the block, without the records.
    pub span: RecordSpan,
    /// The bytes of the block.
    pub data: Bytes,
}

/// The maximum number of incomplete blocks of a stream. The oldest is dropped first.
const MAX_BLOCKS: usize = 16;

/// The maximum number of parts of a block.
const MAX_PARTS: usize = 4_096;

/// Blocks of which some parts have arrived.
#[derive(Debug, Default)]
pub(super) struct Parts(Vec<Incomplete>);

#[derive(Debug)]
struct Incomplete {
    span: RecordSpan,
    block: u64,
    parts: Vec<Option<Bytes>>,
}

impl Incomplete {
    /// The number of parts before the first missing one.
    fn leading(&self) -> usize {
        self.parts.iter().take_while(|part| part.is_some()).count()
    }
}

impl Parts {
    /// Adds a part; returns the block once all have arrived.
    pub(super) fn push(&mut self, part: Part) -> Option<Block> {
        let Part { span, block, index, count, data } = part;
        if count > MAX_PARTS || index >= count {
            return None;
        }
        let same = |known: &&mut Incomplete| known.block == block && known.parts.len() == count;
        if self.0.iter_mut().find(same).is_none() {
            if self.0.len() >= MAX_BLOCKS {
                self.0.remove(0);
            }
            self.0.push(Incomplete { span, block, parts: vec![None; count] });
        }
        let known = self.0.iter_mut().find(same)?;
        known.parts[index] = Some(data);
        if known.leading() < count {
            return None;
        }
        let at = self.0.iter().position(|known| known.block == block)?;
        let Incomplete { span, parts, .. } = self.0.remove(at);
        let mut data = BytesMut::new();
        parts.iter().flatten().for_each(|part| data.extend_from_slice(part));
        Some(Block { span, data: data.freeze() })
    }

    /// Returns the first incomplete block, and how many of its first parts have arrived.
    pub(super) fn received(&self) -> Option<(u64, usize)> {
        let first = self.0.iter().min_by_key(|known| known.span.start)?;
        Some((first.block, first.leading()))
    }

    /// Drops blocks that are no longer needed.
    pub(super) fn forget_before(&mut self, next: Offset) {
        self.0.retain(|known| known.span.end > next);
    }
}
