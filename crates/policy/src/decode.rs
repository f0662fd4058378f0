//! Decides which engine decodes the output of a prompt that another engine has prefilled.
//!
//! **Load pattern.** Hundreds of KV caches per second are transferred from prefill to decode
//! engines, over links on which transfers run one after another, and streams of seconds fill the
//! slots of the decode engines. **Without this** (fewest streams), two of three caches go to
//! another failure domain, where they take twice as long, and an engine with a slow link gets its
//! share until transfers to it wait for seconds; streams at a slow engine exceed the pause limit of
//! their route. **Approach.** Engines that are unavailable or about to change their role come last,
//! before them those that miss the pause limit. Then slow links count, then how many quarters of
//! the slots are in use, then the distance, then the number of streams. Streams count by the time
//! that the engine takes per piece, compared with the others. If all engines that hold the limit
//! are full, one that misses it is used: a late piece is better than a stream that waits.
//!
//! Short outputs keep a slot for a tenth of a second and streams for seconds, so short outputs go
//! ahead of streams whose requests are as urgent, see [`priority`], and take any free slot nearby,
//! see [`max_fill_percent`].

use crate::distance::Distance;
use std::time::Duration;

/// Number of levels by which slot usage is compared. Within one level the engine in the same
/// failure domain is preferred: with fewer streams, decode is hardly faster.
const USAGE_LEVELS: u32 = 4;

/// Step by which slow transfers are compared, as a share of the objective: about as long as a
/// prompt may wait for the prefill of two others.
const TRANSFER_STEP: f64 = 0.17;

/// Step to which the relative time per piece is rounded, in percent. Differences between engines
/// that are smaller than the error of measurement would make all entries choose the same engine.
const PIECE_PERCENT_STEP: u128 = 25;

/// Bounds of the relative time per piece, in percent, so that a wrong figure neither starves an
/// engine nor floods it.
const PIECE_PERCENT: (u128, u128) = (25, 400);

/// An engine that could decode a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct DecodeCandidate {
    /// Whether it can't be reached, does not respond or accepts no requests.
    pub unavailable: bool,
    /// Whether it is about to become a prefill engine.
    pub changing: bool,
    /// Whether its pieces exceed the stream's pause limit in bad moments.
    pub misses_pause: bool,
    /// How long it takes per piece; zero if unknown.
    pub piece_time: Duration,
    /// How much longer than usual KV cache transfers to it take.
    pub transfer_excess: Duration,
    /// Streams that it is known to decode.
    pub streams: u32,
    /// Streams that it can decode concurrently.
    pub slots: u32,
    /// How far it is from the KV cache.
    pub distance: Distance,
}

impl DecodeCandidate {
    /// Returns whether the engine is available and streams use less than `max_percent` of its
    /// slots.
    pub fn has_room(&self, max_percent: u32) -> bool {
        !self.unavailable
            && u64::from(self.streams) * 100 < u64::from(self.slots) * u64::from(max_percent)
    }
}

impl DecodeCandidate {
    fn is_full(&self) -> bool {
        self.streams >= self.slots
    }

    /// The time per piece in percent of `usual`; 100 if one of them is unknown.
    fn piece_percent(&self, usual: Duration) -> u64 {
        let percent = (self.piece_time.as_micros() * 100).checked_div(usual.as_micros());
        let percent = percent.filter(|percent| *percent > 0).unwrap_or(100);
        let rounded = (percent + PIECE_PERCENT_STEP / 2) / PIECE_PERCENT_STEP * PIECE_PERCENT_STEP;
        u64::try_from(rounded.clamp(PIECE_PERCENT.0, PIECE_PERCENT.1)).unwrap_or(100)
    }
}

/// The rank of a candidate. The lowest is chosen; equal ones are equivalent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    unavailable: bool,
    changing: bool,
    misses_pause: bool,
    transfer_level: u128,
    usage_level: u64,
    distance: Distance,
    load: u64,
}

/// Returns the rank of a candidate for a stream whose first token is due within `objective`. All
/// candidates count as equally fast.
pub fn rank(candidate: &DecodeCandidate, objective: Duration) -> Rank {
    rank_among(candidate, objective, Duration::ZERO)
}

/// Returns the rank among candidates that usually take `piece_time` per piece; zero if unknown.
fn rank_among(candidate: &DecodeCandidate, objective: Duration, piece_time: Duration) -> Rank {
    let step = objective.mul_f64(TRANSFER_STEP).max(Duration::from_millis(1));
    let streams = u64::from(candidate.streams);
    let percent = candidate.piece_percent(piece_time);
    let level = u64::from((candidate.slots / USAGE_LEVELS).max(1));
    // A KV cache is sent to another region only if all near engines are full.
    let is_far = candidate.distance == Distance::OtherRegion;
    let far_levels = if is_far { u64::from(USAGE_LEVELS) } else { 0 };
    Rank {
        unavailable: candidate.unavailable,
        changing: candidate.changing,
        misses_pause: candidate.misses_pause,
        transfer_level: candidate.transfer_excess.as_micros() / step.as_micros(),
        usage_level: streams * percent / 100 / level + far_levels,
        distance: candidate.distance,
        load: (streams + 1) * percent,
    }
}

/// An engine with what is known of it.
#[derive(Debug, Clone, Copy)]
pub struct Offer<T> {
    /// What is known of it.
    pub candidate: DecodeCandidate,
    /// The engine.
    pub engine: T,
    /// A random number that decides between equal engines, so that entries don't all choose the
    /// same.
    pub random: f64,
}

/// Returns the best engine for a stream whose first token is due within `objective`. If that one is
/// full and `may_miss_pause` is set, returns the best of those with a free slot that miss the pause
/// limit, if there are any.
pub fn choose<T>(
    offers: Vec<Offer<T>>,
    objective: Duration,
    may_miss_pause: bool,
) -> Option<Offer<T>> {
    let piece_time = median(offers.iter().map(|offer| offer.candidate.piece_time));
    let rank = |offer: &Offer<T>| rank_among(&offer.candidate, objective, piece_time);
    let mut ranked: Vec<_> = offers.into_iter().map(|offer| (rank(&offer), offer)).collect();
    ranked.sort_by(|(a, x), (b, y)| a.cmp(b).then(x.random.total_cmp(&y.random)));
    let is_spare = |candidate: &DecodeCandidate| {
        let able = !candidate.unavailable && !candidate.changing && !candidate.is_full();
        candidate.misses_pause && able
    };
    let mut ranked = ranked.into_iter().map(|(_, offer)| offer);
    let best = ranked.next()?;
    if may_miss_pause && best.candidate.is_full() {
        return Some(ranked.find(|offer| is_spare(&offer.candidate)).unwrap_or(best));
    }
    Some(best)
}

/// Returns the priority at the decode engine of an output of a request with priority `request`: 0
/// goes first, 9 last.
///
/// Engines give slots in this order, and put a stream back for a more urgent one. Short outputs go
/// ahead of streams of the same priority, behind which they would wait for seconds; a stream that
/// is put back continues when they have ended.
pub fn priority(short_output: bool, request: u8) -> u8 {
    let priority = if short_output { request } else { request.saturating_add(1) };
    priority.min(LOWEST_PRIORITY)
}

/// The lowest priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;

/// Groups of engines that are asked for a slot before an engine is chosen without them.
pub const MAX_ASKED_GROUPS: usize = 4;

/// Returns how full an engine may be for an output, in percent of its slots, for each group asked in
/// turn. The last one may queue some: a stream that waits for one of its slots proceeds sooner than
/// after another round of requests.
///
/// A short output takes a free slot wherever it finds one: another group would cost it a round trip
/// and a longer transfer. Below 100, other groups are asked before an engine that misses the pause
/// limit is used; engines with up to 100 slots have a free one then.
pub const fn max_fill_percent(short_output: bool) -> [u32; MAX_ASKED_GROUPS] {
    if short_output { [99, 99, 100, 150] } else { [50, 75, 100, 150] }
}

/// The median of the known times; zero if none is known.
fn median(times: impl Iterator<Item = Duration>) -> Duration {
    let mut times: Vec<Duration> = times.filter(|time| !time.is_zero()).collect();
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
