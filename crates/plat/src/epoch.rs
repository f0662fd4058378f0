//! Offsets in a log that may be restored from an older copy.
//!
//! A restored log assigns indices again that other records had before. Each restore begins an
//! epoch, and an [`Offset`] holds the epoch in the bits above the index. An offset of a later epoch
//! is therefore larger than all earlier ones: comparisons prefer the newest copy, and fencing
//! tokens made from offsets always increase. A log that is never restored has a single epoch, and
//! its offsets are indices.

use crate::Offset;

/// The number of times a log was restored from an older copy, starting from any number.
pub type Epoch = u64;

/// The bits of the index in an offset.
const INDEX_BITS: u32 = 40;

/// The last epoch whose offsets are below 2^53, up to which every JSON parser represents integers
/// exactly.
pub const LAST: Epoch = (1 << (53 - INDEX_BITS)) - 1;

/// The offset of an index in an epoch; `None` if either is too large.
pub fn offset(epoch: Epoch, index: u64) -> Option<Offset> {
    (epoch <= LAST && index < 1 << INDEX_BITS).then_some((epoch << INDEX_BITS) + index)
}

/// The epoch of an offset.
pub fn epoch(offset: Offset) -> Epoch {
    offset >> INDEX_BITS
}

/// The index of an offset in its epoch: the number of records of the stream before it.
pub fn index(offset: Offset) -> u64 {
    offset & ((1 << INDEX_BITS) - 1)
}
