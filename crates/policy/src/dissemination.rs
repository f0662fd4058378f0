//! Sends news to all entries along a tree.
//!
//! **Load pattern.** What one entry has read concerns all others, and there are hundreds of them.
//! **Without this**, the reader sends to each of them, and its link and processor limit the size of
//! the system. **Approach.** The entries stand on a ring. The sender divides it into as many ranges as it sends
//! copies, and gives each range to one entry in it, which does the same with its part. No entry
//! sends more copies than the fan-out, and the number of hops grows with the logarithm of the
//! number of entries. Ranges of keys instead of lists of entries make the tree tolerate differing
//! views of who is alive. What a lost datagram or a dead delegate leaves out is mended by pulling.

use crate::Hash;

/// The largest number of copies that one entry sends.
pub const FAN_OUT: usize = 16;

/// How many entries of a range are compared to find one with a large link.
const COMPARED: usize = 4;

/// Where an entry stands on the ring.
pub type Position = u64;

/// The bits of a position that come from the failure domain.
const DOMAIN_BITS: u32 = 16;

/// Returns the position of the entry with this key in this failure domain.
pub fn position(domain: Hash, key: Hash) -> Position {
    let upper = domain & !(u64::MAX >> DOMAIN_BITS);
    upper | key >> DOMAIN_BITS
}

/// A range on the ring, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Range {
    /// Where the range begins.
    pub first: Position,
    /// Where it ends; below `first` if the range wraps around.
    pub last: Position,
}

impl Range {
    /// The whole ring but one position.
    pub fn all_but(position: Position) -> Self {
        Self { first: position.wrapping_add(1), last: position.wrapping_sub(1) }
    }
}

/// An entry that may receive news.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recipient {
    /// Where it stands on the ring.
    pub position: Position,
    /// The rate of its VM's link in bytes per second.
    pub link_rate: f64,
}

/// A recipient and the range in which it passes the news on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delegate {
    /// The index of the recipient.
    pub index: usize,
    /// The range, which contains the recipient; none if no other entry is in it.
    pub range: Option<Range>,
}

/// Returns the largest fan-out at which an entry sends at most `max_datagrams` datagrams of news
/// that take `datagrams` each.
pub fn fan_out(datagrams: usize, max_datagrams: usize) -> usize {
    (max_datagrams / datagrams.max(1)).clamp(2, FAN_OUT)
}

/// Chooses who receives news in a range. The entries are sorted by position; `own` is left out.
///
/// The cost grows with the fan-out and the logarithm of the number of entries: this is done for each
/// datagram that is passed on.
pub fn delegates(
    entries: &[Recipient],
    own: Position,
    range: Range,
    fan_out: usize,
) -> Vec<Delegate> {
    let lower = |position: Position| entries.partition_point(|entry| entry.position < position);
    let upper = |position: Position| entries.partition_point(|entry| entry.position <= position);
    let (start, end) = (lower(range.first), upper(range.last));
    // Indexes continue beyond the end of the list where the range wraps around.
    let end = if range.first <= range.last { end.max(start) } else { entries.len() + end };
    let own_index = lower(own);
    let is_own = |at: &usize| start <= *at && *at < end;
    let is_listed = entries.get(own_index).is_some_and(|entry| entry.position == own);
    let own_at = [own_index, own_index + entries.len()].into_iter().find(is_own);
    // No range may contain this entry, which would get the news again.
    let (before, after) = match own_at.filter(|_| is_listed) {
        Some(own_at) => (start..own_at, own_at + 1..end),
        None => (start..end, end..end),
    };
    let parts = if before.is_empty() || after.is_empty() { fan_out } else { fan_out - 1 };
    let share = (before.len() + after.len()).div_ceil(parts.max(1)).max(1);
    let chunks = [before, after].into_iter().flat_map(|part| {
        let starts = part.clone().step_by(share);
        starts.map(move |at| at..(at + share).min(part.end))
    });
    chunks.map(|chunk| delegate(entries, chunk)).collect()
}

/// Chooses the delegate for a part of the ring that isn't empty.
fn delegate(entries: &[Recipient], chunk: std::ops::Range<usize>) -> Delegate {
    let index = |at: usize| at % entries.len();
    let rate = |at: &usize| entries[index(*at)].link_rate;
    let compared = chunk.clone().take(COMPARED);
    let best = compared.max_by(|a, b| rate(a).total_cmp(&rate(b))).unwrap_or(chunk.start);
    let position = |at: usize| entries[index(at)].position;
    let range = Range { first: position(chunk.start), last: position(chunk.end - 1) };
    Delegate { index: index(best), range: (chunk.len() > 1).then_some(range) }
}
