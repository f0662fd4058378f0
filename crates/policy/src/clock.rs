//! The true time of day, by the clocks of many VMs.
//!
//! **Load pattern.** The time of day jumps on some VMs by seconds or hours, and back; others are off by
//! milliseconds. **Without it** what such an entry counts lands in windows of another time. **How.** Each
//! entry compares the others' time of day with its own steady clock; the median of the differences is
//! right as long as more than half of the clocks are.

/// A span between two clocks in microseconds, positive if the other is ahead.
pub type Offset = i64;

/// The median of the differences between the clocks of many entries and a steady clock; of an even
/// number the higher one of the middle, since a message on its way makes a clock look late.
pub fn median(offsets: &mut [Offset]) -> Option<Offset> {
    if offsets.is_empty() {
        return None;
    }
    let middle = offsets.len() / 2;
    Some(*offsets.select_nth_unstable(middle).1)
}
