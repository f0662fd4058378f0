//! Which entries hold what is known of a stream.
//!
//! **Load pattern.** Thousands of streams a second begin at hundreds of entries, and a few of them
//! are taken up at any other entry after theirs was killed. **Without this**, whoever takes one up
//! knows nothing of it; told to all entries, each stream would cost as many datagrams as there are
//! entries. **Approach.** Consistent hashing of the stream's id among the live entries: two of them
//! hold it, in different failure domains where there are several. Entries that know the same live
//! entries agree, and one that is gone only moves what it held.

use crate::{Hash, mix};

/// How many entries hold what is known of a stream.
pub const HOLDERS: usize = 2;

/// How many are asked: the entry at which the stream began was none of its holders, and one that is
/// killed moves a place.
pub const ASKED: usize = 3;

/// The points of an entry on the ring.
const POINTS: u64 = 8;

/// The maximum number of points that are looked at for one id.
const MAX_STEPS: usize = 64;

/// An entry that may hold streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The hash of its name.
    pub key: Hash,
    /// The hash of its failure domain.
    pub domain: Hash,
}

/// The live entries, ordered by their points.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    holders: Vec<Holder>,
    /// Points with the indexes of their entries.
    points: Vec<(Hash, usize)>,
}

impl Ring {
    /// Creates the ring of these entries.
    pub fn new(holders: Vec<Holder>) -> Self {
        let all = holders.iter().enumerate();
        let points =
            all.flat_map(|(at, holder)| (0..POINTS).map(move |point| (mix(holder.key, point), at)));
        let mut points: Vec<_> = points.collect();
        points.sort_unstable();
        Self { holders, points }
    }

    /// Returns the indexes of up to `count` entries that hold a stream, without the one at `own`:
    /// the next ones on the ring, those in new failure domains first.
    pub fn holders(&self, stream: Hash, own: Option<usize>, count: usize) -> Vec<usize> {
        let start = self.points.partition_point(|(point, _)| *point < stream);
        let (mut chosen, mut others): (Vec<usize>, Vec<usize>) = (Vec::new(), Vec::new());
        let ahead = self.points[start..].iter().chain(&self.points[..start]);
        for &(_, at) in ahead.take(MAX_STEPS) {
            if Some(at) == own || chosen.contains(&at) || others.contains(&at) {
                continue;
            }
            let domain = self.holders[at].domain;
            if chosen.iter().any(|&other| self.holders[other].domain == domain) {
                others.push(at);
            } else {
                chosen.push(at);
            }
            if chosen.len() == count {
                return chosen;
            }
        }
        chosen.extend(others);
        chosen.truncate(count);
        chosen
    }
}
