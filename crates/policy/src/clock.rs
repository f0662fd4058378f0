//! Estimates the true time of day from the clocks of many VMs.
//!
//! **Load pattern.** The time of day jumps on some VMs by seconds or hours, and back, and others
//! are off by milliseconds. **Without this**, such an entry counts usage in the wrong windows.
//! **Approach.** Each entry compares the time of day of the others with its own monotonic clock.
//! The median of the differences is right as long as more than half of the clocks are.

/// Difference between two clocks in microseconds, positive if the other clock is ahead.
pub type Offset = i64;

/// Returns the median of the differences between the clocks of many entries and a monotonic clock.
/// Of an even number it is the upper median, since network latency makes a clock look late.
pub fn median(offsets: &mut [Offset]) -> Option<Offset> {
    if offsets.is_empty() {
        return None;
    }
    let middle = offsets.len() / 2;
    Some(*offsets.select_nth_unstable(middle).1)
}
