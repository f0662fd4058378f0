//! Decides which engine prefills a prompt, and whether it is prefilled at all.
//!
//! **Load pattern.** Hundreds of long prompts per second share prefixes with others. Bursts of
//! seconds ask for several times what all engines can prefill, and the first token is due within a
//! few times the duration of one prefill. **Without this** (least work), each shared prefix is
//! computed by every engine and evicts others, and in a burst all prompts wait, so all are late.
//! **Approach.** Rendezvous hashing of the longest shared prefix gives each prompt a home engine,
//! where that prefix is probably cached. A home with too much queued work passes the prompt to the
//! next engine in hash order that has less. Whichever engine prefills copies the missing part of
//! the prefix from the engine that has most of it cached. An engine has too much queued if the
//! queue would leave too little of the objective. A prompt that fits nowhere is refused at once
//! with the time after which to retry.
//!
//! An engine that decodes can prefill as well, so that no KV cache is transferred, but the streams
//! there pause. A short prompt is prefilled by whichever engine decodes it. A long one goes to a
//! decode engine only if its streams can bear the pause and slots are left: first, if its output is
//! so short that it is hardly worth a transfer, and else if no prefill engine has room.

use crate::distance::{Distance, Topology};
use crate::number::{float, span};
use crate::promise::{self, Promise};
use crate::{Hash, mix, pace};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Settings of prefill placement.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Prompt tokens per second that an engine prefills, until its rate has been learned.
    pub prefill_rate: f64,
    /// Time of the objective that prefill has to leave for the network, for what other entries send
    /// at the same time, and for the first step of the output. It is the same for objectives of 150
    /// ms and of 500 ms: half of the objective, which left 75 ms of the one and 250 ms of the
    /// other, refused prompts of the latter that could have been in time.
    pub reserve: Duration,
    /// What all that takes, once it has been learned, see [`promise`]. It counts where it is longer.
    pub learned_reserve: Option<Duration>,
    /// Share of the objective that prefill may always take, however short the objective is.
    pub min_share: f64,
    /// Share of the allowed time for a prompt whose objective has passed because its caller was
    /// refused and retried. Under overload each of these displaces one that can still be in time.
    pub late_fraction: f64,
    /// Latest time at which refused callers are asked to retry, as a share of the time that they
    /// still wait.
    pub max_retry_share: f64,
    /// Tokens to prefill up to which a prompt is short: it takes 3 ms.
    pub short_tokens: u64,
    /// Prefill rate of an engine that also decodes, relative to one that only prefills.
    pub decode_rate_share: f64,
    /// A prompt whose prefill takes a decode engine no longer than this is short, see [`is_short`].
    /// Its streams pause for that time in total and continue between the chunks of the prompt.
    pub decode_pause: Duration,
    /// Longest gap between two pieces of a stream; zero if operators set none. What streams can
    /// bear is unknown then, and engines that have any prefill no long prompts.
    pub max_gap: Duration,
    /// Usual time between two pieces of a stream.
    pub piece_time: Duration,
    /// Whether `prefill_rate` has been learned, which takes prompts at prefill engines. Until then
    /// no long prompt prefers a decode engine: with a rate five times too high, it would be late
    /// and pause streams five times as long as planned.
    pub rate_learned: bool,
    /// Utilization of the prefill engines up to which a pool is lightly loaded, and decode engines
    /// are preferred. With more load each prefix would be cached by engines of both stages, and
    /// evict others.
    pub colocated_max_load: f64,
    /// Share of the time allowed for a prefill that it may take at an engine that also decodes. Its
    /// output then waits for the steps of other streams, not only for the engine.
    pub colocated_share: f64,
    /// A prefix is copied if that saves prefilling this many tokens. Copying a token takes a tenth
    /// of the time of prefilling it, and setting up a copy as long as prefilling some hundred.
    pub min_copy_tokens: u64,
    /// The regions of the engines.
    pub topology: Arc<Topology>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 300_000.0,
            reserve: Duration::from_millis(75),
            learned_reserve: None,
            min_share: 0.3,
            late_fraction: 0.6,
            max_retry_share: 1.0 / 3.0,
            short_tokens: 1_000,
            decode_rate_share: 0.5,
            decode_pause: Duration::ZERO,
            max_gap: Duration::ZERO,
            piece_time: Duration::ZERO,
            rate_learned: false,
            colocated_max_load: 0.1,
            colocated_share: 0.5,
            min_copy_tokens: 512,
            topology: Arc::default(),
        }
    }
}

/// An engine that could prefill a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillCandidate {
    /// The hash of its name.
    pub key: Hash,
    /// Whether it also decodes output, and so prefills at a lower rate.
    pub decodes: bool,
    /// Tokens queued for prefill there, as far as this entry knows.
    pub queued_tokens: u64,
    /// Tokens given to it within the last [`Settings::max_gap`], whether or not still queued.
    pub recent_tokens: u64,
    /// Tokens of the prompt's prefix that it has cached.
    pub cached_tokens: u64,
    /// Share of its slots that streams use.
    pub slot_usage: f64,
    /// How much longer than usual its KV cache transfers take.
    pub transfer_excess: Duration,
    /// The hash of its failure domain. Copies within a failure domain take half as long.
    pub domain: Hash,
    /// How long it takes per piece of output; unknown times count as [`Settings::piece_time`].
    pub pace: pace::Summary,
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// The hash of its longest shared prefix. Prompts with equal hashes have the same home.
    pub prefix_hash: Hash,
    /// Total number of tokens.
    pub tokens: u64,
    /// Time within which its first token is due.
    pub objective: Duration,
    /// Whether that time has already passed, because the request is a retry.
    pub late: bool,
    /// Whether its output is short, see [`is_short_output`].
    pub short_output: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// It is prefilled by the engine with this index.
    Prefill {
        /// The index of the engine.
        engine: usize,
        /// The index of the engine from which it first copies the shared prefix.
        copy_from: Option<usize>,
        /// Tokens to prefill.
        tokens: u64,
    },
    /// No engine can prefill it in time. One can start it after this time.
    Full(Duration),
}

/// Returns the priority at the engine of prefilling `tokens` tokens for a request of priority
/// `request`: 0 goes first, 9 last.
///
/// Short prompts go before all others, whatever the priority of the request: they take less than
/// 3 ms, and behind the queue of long ones they would miss their objective.
pub fn priority(settings: &Settings, tokens: u64, request: u8) -> u8 {
    if tokens <= settings.short_tokens { 0 } else { request.saturating_add(1).min(LOWEST_PRIORITY) }
}

/// The lowest priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;

/// Returns whether a prompt of `tokens` tokens, of which other prompts share `shared`, is prefilled
/// by whichever engine decodes it. Its place among the engines is chosen by their slots alone.
///
/// A long shared prefix would be computed again by each engine, however fast, so such a prompt goes
/// where its prefix is cached.
pub fn is_short(settings: &Settings, tokens: u64, shared: u64) -> bool {
    let few = tokens <= settings.short_tokens;
    let unshared = settings.rate_learned && shared < settings.min_copy_tokens;
    (few || unshared) && decode_engine_time(settings, tokens) <= settings.decode_pause.as_secs_f64()
}

/// Returns whether an output of at most `tokens` tokens, in pieces of `piece_tokens`, is short: its
/// stream ends before a slot that it waits for would be worth a transfer. An output of unknown
/// length is not.
pub fn is_short_output(tokens: u32, piece_tokens: Option<u32>) -> bool {
    let max = piece_tokens.map_or(0, |piece| piece.saturating_mul(SHORT_OUTPUT_PIECES));
    (1..=max).contains(&tokens)
}

/// Pieces up to which an output is short: its stream keeps a slot for less than half a second,
/// where others take seconds.
const SHORT_OUTPUT_PIECES: u32 = 8;

/// Returns whether so few tokens are given out per second that engines that decode can prefill them
/// besides, where `engines` engines only prefill.
pub fn is_lightly_loaded(settings: &Settings, tokens_per_second: f64, engines: usize) -> bool {
    let capacity = settings.prefill_rate * float(u64::try_from(engines).unwrap_or(u64::MAX));
    tokens_per_second < capacity * settings.colocated_max_load
}

/// Returns whether this decode engine is tried before the prefill engines of a lightly loaded pool
/// that is not short of slots, see [`is_lightly_loaded`] and [`only_decode_is_busy`].
///
/// An idle engine has no streams that could pause, whatever the output. Others take a prompt whose
/// KV cache would be moved for a few pieces, if their streams hardly notice it.
pub fn prefers_decode(settings: &Settings, prompt: &Prompt, engine: &PrefillCandidate) -> bool {
    let idle = engine.slot_usage <= 0.0 && engine.queued_tokens == 0;
    engine.decodes
        && (idle
            || (prompt.short_output
                && settings.rate_learned
                && bearable_prefill(settings, &engine.pace, PREFERRED_GAP_SHARE)
                    > decode_engine_time(settings, uncached(prompt, engine.cached_tokens))))
}

/// Share of the longest gap between two pieces that a prompt and a piece may take where prefill
/// engines have room as well.
const PREFERRED_GAP_SHARE: f64 = 0.6;

/// Returns whether all prefill engines are idle while most slots of the decode engines are taken.
pub fn only_decode_is_busy(candidates: &[PrefillCandidate]) -> bool {
    let (decode, prefill): (Vec<&PrefillCandidate>, Vec<&PrefillCandidate>) =
        candidates.iter().partition(|candidate| candidate.decodes);
    let idle = !prefill.is_empty() && prefill.iter().all(|engine| engine.queued_tokens == 0);
    let used: f64 = decode.iter().map(|engine| engine.slot_usage - MOST_SLOTS).sum();
    idle && used > 0.0
}

/// Mean slot usage of decode engines above which most slots are taken.
const MOST_SLOTS: f64 = 0.5;

/// Places a prompt, for an entry that knows the work of one in `load_scale` entries.
pub fn place(
    settings: &Settings,
    prompt: &Prompt,
    candidates: &[PrefillCandidate],
    load_scale: impl Into<f64>,
) -> Placement {
    place_among(settings, prompt, candidates, candidates.len(), load_scale)
}

/// Places a prompt at one of the first `eligible` candidates. The others only serve as sources of
/// copies.
pub fn place_among(
    settings: &Settings,
    prompt: &Prompt,
    candidates: &[PrefillCandidate],
    eligible: usize,
    load_scale: impl Into<f64>,
) -> Placement {
    let limits = Limits::new(settings, prompt, load_scale.into().max(1.0));
    let order = order(settings, prompt, &candidates[..eligible.min(candidates.len())]);
    if order.is_empty() {
        return Placement::Full(prompt.objective);
    }
    // Few engines have any of a prompt cached. Comparing all 700 candidates with all others would
    // take a millisecond.
    let sources: Vec<usize> =
        (0..candidates.len()).filter(|&at| candidates[at].cached_tokens > 0).collect();
    let mut soonest = f64::INFINITY;
    for at in order {
        let candidate = &candidates[at];
        let copy_from = copy_source(settings, candidates, &sources, at);
        let cached =
            copy_from.map_or(candidate.cached_tokens, |from| candidates[from].cached_tokens);
        let tokens = uncached(prompt, cached);
        if limits.allow(settings, candidate, tokens) {
            return Placement::Prefill { engine: at, copy_from, tokens };
        }
        soonest = soonest.min(wait(settings, candidate, 0));
    }
    Placement::Full(span((soonest - limits.duration).max(limits.duration)))
}

/// Returns how long an engine that decodes has a prompt and its output: until it has prefilled
/// `tokens` tokens, and then for `pieces` pieces.
pub fn colocated_duration(settings: &Settings, tokens: u64, pieces: u32) -> Duration {
    span(decode_engine_time(settings, tokens)) + settings.piece_time.saturating_mul(pieces)
}

/// Returns whether streams that go to an engine that decodes would pause for too long there, because
/// `queued_tokens` are queued for prefill.
pub fn pauses_streams(settings: &Settings, queued_tokens: u64, pace: &pace::Summary) -> bool {
    queued_tokens > 0
        && !settings.max_gap.is_zero()
        && decode_engine_time(settings, queued_tokens) > bearable_prefill(settings, pace, 1.0)
}

/// Returns how long prefill may take, including the wait for prompts queued before it.
pub fn max_duration(settings: &Settings, prompt: &Prompt) -> Duration {
    let max = usable(settings, prompt.objective);
    if prompt.late { max.mul_f64(settings.late_fraction) } else { max }
}

/// Returns how much of an objective prefill may take.
fn usable(settings: &Settings, objective: Duration) -> Duration {
    let usable =
        objective.saturating_sub(settings.reserve).max(objective.mul_f64(settings.min_share));
    let learned = settings.learned_reserve.map(|estimate| promise::reserve(estimate, objective));
    learned.map_or(usable, |reserve| usable.min(objective.saturating_sub(reserve)))
}

/// Returns what is promised to the caller of a prompt of which a candidate prefills `tokens`
/// tokens; `None` if its objective has passed.
pub fn promise(
    settings: &Settings,
    prompt: &Prompt,
    candidate: &PrefillCandidate,
    tokens: u64,
) -> Option<Promise> {
    let prefill = span(wait(settings, candidate, tokens));
    let reserve = prompt.objective.saturating_sub(usable(settings, prompt.objective));
    (!prompt.late).then_some(Promise { prefill, reserve })
}

/// Returns the order in which candidates are tried: by rendezvous hashing, but decode engines that
/// are preferred to prefill engines first, see [`prefers_decode`], and the other ones last. All
/// entries use the same order for prompts with the same prefix and other orders for other prompts.
/// If each entry chose the engine with the shortest queue, all would choose the same one until they
/// learn of each other's prompts.
fn order(settings: &Settings, prompt: &Prompt, candidates: &[PrefillCandidate]) -> Vec<usize> {
    let slots_short = only_decode_is_busy(candidates);
    let rank = |engine: &PrefillCandidate| match engine.decodes {
        true if !slots_short && prefers_decode(settings, prompt, engine) => 0,
        true => 2,
        false => 1,
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|&at| {
        let candidate = &candidates[at];
        (rank(candidate), Reverse(mix(candidate.key, prompt.prefix_hash)))
    });
    order
}

/// Returns the engine from which the one at `to` copies the prompt's prefix: of the sources the one
/// with the most cached tokens, if a copy is worth it. Among equals, the nearest one.
fn copy_source(
    settings: &Settings,
    candidates: &[PrefillCandidate],
    sources: &[usize],
    to: usize,
) -> Option<usize> {
    let destination = &candidates[to];
    let others = sources.iter().copied();
    let others = others
        .filter(|&from| from != to && is_worth_copying(settings, destination, &candidates[from]));
    others.max_by_key(|&from| {
        let source = &candidates[from];
        (
            source.cached_tokens,
            Reverse(settings.topology.distance(source.domain, destination.domain)),
            mix(source.key, destination.key),
        )
    })
}

/// Returns whether a copy saves enough prefill, also if the link of the source is slow. Between
/// regions, copying a token takes as long as prefilling it.
fn is_worth_copying(settings: &Settings, to: &PrefillCandidate, from: &PrefillCandidate) -> bool {
    let saved = from.cached_tokens.saturating_sub(to.cached_tokens);
    settings.topology.distance(from.domain, to.domain) < Distance::OtherRegion
        && saved >= settings.min_copy_tokens
        && float(saved) / settings.prefill_rate > from.transfer_excess.as_secs_f64()
}

fn uncached(prompt: &Prompt, cached: u64) -> u64 {
    prompt.tokens - cached.min(prompt.tokens)
}

/// Returns the seconds until an engine has computed its queue and `tokens` more and transferred the
/// KV cache.
fn wait(settings: &Settings, candidate: &PrefillCandidate, tokens: u64) -> f64 {
    let share = if candidate.decodes { settings.decode_rate_share } else { 1.0 };
    float(candidate.queued_tokens + tokens) / (settings.prefill_rate * share)
        + candidate.transfer_excess.as_secs_f64()
}

/// Returns the seconds that an engine that decodes needs to prefill `tokens` tokens.
fn decode_engine_time(settings: &Settings, tokens: u64) -> f64 {
    float(tokens) / (settings.prefill_rate * settings.decode_rate_share)
}

/// The limits on what an engine has to prefill, in seconds.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Time until a prompt is prefilled by an engine that only prefills.
    duration: f64,
    /// The same for an engine that decodes.
    colocated: f64,
    /// Share of the prefill that the streams of an engine can bear.
    share: f64,
}

impl Limits {
    /// Returns the limits for an entry that knows the work of one in `load_scale` entries.
    fn new(settings: &Settings, prompt: &Prompt, load_scale: f64) -> Self {
        let duration = max_duration(settings, prompt).as_secs_f64() / load_scale;
        let colocated = duration * settings.colocated_share;
        Self { duration, colocated, share: 1.0 / load_scale }
    }

    /// Returns whether an engine may prefill another `tokens` tokens.
    fn allow(self, settings: &Settings, candidate: &PrefillCandidate, tokens: u64) -> bool {
        let duration = wait(settings, candidate, tokens);
        if candidate.decodes {
            return duration <= self.colocated && self.spare_streams(settings, candidate, tokens);
        }
        let idle =
            candidate.queued_tokens == 0 && candidate.transfer_excess.as_secs_f64() < self.duration;
        // An idle prefill engine takes a prompt of any size: leaving it idle gains nothing.
        idle || duration <= self.duration
    }

    /// Returns whether the streams of an engine bear the prefill of another `tokens` tokens, and
    /// later ones find slots there.
    ///
    /// Prompts that have just been prefilled count like those in the queue: the engine may have
    /// prefilled both between the same two pieces.
    fn spare_streams(self, settings: &Settings, candidate: &PrefillCandidate, tokens: u64) -> bool {
        let pausing = candidate.queued_tokens.max(candidate.recent_tokens) + tokens;
        candidate.slot_usage <= 0.0
            || (candidate.slot_usage <= MAX_SLOT_USAGE
                && decode_engine_time(settings, pausing)
                    <= bearable_prefill(settings, &candidate.pace, 1.0) * self.share)
    }
}

/// Returns the seconds of prefill that the streams of an engine can bear between two pieces, within
/// `gap_share` of the longest gap.
///
/// In bad moments of the engine both the piece and the prefill take longer. An engine whose pieces
/// are too late anyway then can't be spared that, and counts by its usual pace.
fn bearable_prefill(settings: &Settings, pace: &pace::Summary, gap_share: f64) -> f64 {
    let usual = if pace.usual.is_zero() { settings.piece_time } else { pace.usual };
    let slowdown = if pace.bad > usual && pace.holds(settings.max_gap) {
        pace.bad.as_secs_f64() / usual.as_secs_f64()
    } else {
        1.0
    };
    (settings.max_gap.as_secs_f64() * gap_share / slowdown - usual.as_secs_f64()).max(0.0)
}

/// Slot usage above which a decode engine with streams prefills no long prompts. Streams look for a
/// slot at engines that are half full and then at those that are three quarters full, so above that
/// each slot taken costs a stream another call or a wait.
const MAX_SLOT_USAGE: f64 = 0.75;

/// Longest time after which callers are asked to retry, however long they would wait. Bursts last
/// some seconds, and capacity that is free earlier is worth more than a certain place later.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the time after which the caller of a refused prompt should retry, if an engine can start
/// the prompt after `soonest` and the caller waits for another `left`. `random` is between 0 and 1.
///
/// **Load pattern.** In a burst of seconds, hundreds of callers per second are refused and may
/// retry once. **Without this**, they retry after the duration of one queue, in the middle of the
/// same burst, and are refused for good. **Approach.** Their objective has passed by then in any
/// case, so they retry late, spread over the second half of the longest time that they may be asked
/// to wait.
pub fn retry_after(
    settings: &Settings,
    soonest: Duration,
    left: Duration,
    random: f64,
) -> Duration {
    let max = left.mul_f64(settings.max_retry_share).min(MAX_RETRY_AFTER);
    soonest.max(max.mul_f64(0.5 + 0.5 * random)).min(max)
}

/// Prefill rate of the engines of a service, learned from the duration of prefills.
///
/// It is the median of the last samples: a sample is off by some factor when the engine had more or
/// less of a prompt cached than assumed, and the median ignores by how much.
#[derive(Debug, Clone)]
pub struct PrefillRate {
    rate: f64,
    /// The latest samples in tokens per second, oldest first.
    samples: VecDeque<f64>,
    learned: bool,
}

/// Number of samples whose median is the rate.
const MAX_SAMPLES: usize = 63;

/// Samples after which the rate is reliable.
const MIN_SAMPLES: usize = 8;

/// Minimum tokens of a sample. The duration of shorter prefills is mostly network time.
const MIN_SAMPLE_TOKENS: u64 = 3_000;

/// Network round trip and the engine's own scheduling steps.
const OVERHEAD: Duration = Duration::from_millis(5);

/// Bounds of a plausible rate, in tokens per second.
const BOUNDS: (f64, f64) = (10_000.0, 3_000_000.0);

impl PrefillRate {
    /// Starts with an assumed rate, in tokens per second.
    pub fn new(assumed: f64) -> Self {
        Self { rate: assumed, samples: VecDeque::new(), learned: false }
    }

    /// Starts with a rate that another entry has learned.
    pub fn learned(rate: f64) -> Self {
        Self { rate, samples: std::iter::repeat_n(rate, MIN_SAMPLES).collect(), learned: true }
    }

    /// Records that `tokens`, including those queued before the prompt, were prefilled in
    /// `duration`.
    pub fn sample(&mut self, tokens: u64, duration: Duration) {
        let prefill = duration.saturating_sub(OVERHEAD);
        if tokens < MIN_SAMPLE_TOKENS || prefill.is_zero() {
            return;
        }
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((float(tokens) / prefill.as_secs_f64()).clamp(BOUNDS.0, BOUNDS.1));
        self.learned |= self.samples.len() >= MIN_SAMPLES;
        if self.learned {
            let mut sorted: Vec<f64> = self.samples.iter().copied().collect();
            let (_, median, _) =
                sorted.select_nth_unstable_by(self.samples.len() / 2, f64::total_cmp);
            self.rate = *median;
        }
    }

    /// Returns the rate in tokens per second.
    pub fn get(&self) -> f64 {
        self.rate
    }

    /// Returns whether the rate was learned from enough prompts to be reliable.
    pub fn is_learned(&self) -> bool {
        self.learned
    }
}
