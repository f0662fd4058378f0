//! Positions in a log that may come back from an older copy of itself.
//!
//! Such a log gives places out again that stood for other records before. Each copy begins an epoch, and
//! an [`Offset`] holds the epoch above the place: a position of a later epoch is larger than all of the
//! earlier ones, so whoever compares offsets goes by the newest copy, and fences made of offsets rise for
//! ever. A log that never goes back has one epoch, and its offsets are places.

use crate::Offset;

/// How many times a log has come back from an older copy, counted from any number.
pub type Epoch = u64;

/// Bits of the place in an offset.
const PLACE_BITS: u32 = 40;

/// The last epoch whose offsets stay below 2^53, up to which every reader of JSON tells integers apart.
pub const LAST: Epoch = (1 << (53 - PLACE_BITS)) - 1;

/// The offset of a place in an epoch; `None` if either is too large.
pub fn offset(epoch: Epoch, place: u64) -> Option<Offset> {
    (epoch <= LAST && place < 1 << PLACE_BITS).then_some((epoch << PLACE_BITS) + place)
}

/// The epoch of an offset.
pub fn epoch(offset: Offset) -> Epoch {
    offset >> PLACE_BITS
}

/// The place of an offset in its epoch: how many records of the stream stand before it.
pub fn index(offset: Offset) -> u64 {
    offset & ((1 << PLACE_BITS) - 1)
}
