//! Which engine reads a prompt, and whether it is read at all.
//!
//! **Load pattern.** Hundreds of long prompts a second share their first parts with others; bursts
//! of seconds ask for several times what all engines can read, and the first token is wanted
//! within a few times what one prompt takes. **Without it** (least work) each shared part is read
//! by every engine and pushes others out, and in a burst all prompts wait, so all are late.
//! **How.** Rendezvous hashing of the longest shared start gives each prompt a home, where that
//! start is probably kept; a home with too much to read passes it to the next in the order of the
//! hashes that has not. Whichever engine reads copies what it lacks from the one that keeps most
//! of the start. An engine has too much if what waits would leave too little of the
//! objective; a prompt that fits nowhere is refused at once and told when to come back.
//!

use crate::number::{float, span};
use crate::{Hash, mix};
use std::cmp::Reverse;
use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Tokens that an engine reads in a second, before it has been measured.
    pub prefill_rate: f64,
    /// The time that reading has to leave of the objective: for the way there, for what other
    /// entries send at the same time, and for the first step of the output. It is the same where
    /// objectives are 150 ms and where they are 500: half of the objective, which left 75 ms of the
    /// one and 250 ms of the other, refused there what could have been in time.
    pub reserve: Duration,
    /// The share of the objective that reading may take at least, however short it is.
    pub least_share: f64,
    /// The part of this time for a prompt whose objective has passed, because its caller was refused
    /// and came back. Under overload each of these takes the place of one that can still be in time.
    pub late_fraction: f64,
    /// The share of the time they have left after which refused callers come back at the latest.
    pub honoured: f64,
    /// A prompt with no more tokens to read is short: it takes 3 ms.
    pub short: u64,
    /// What an engine that also writes output reads, as a part of what one that only reads does.
    pub writer_share: f64,
    /// An engine that writes reads a prompt for itself while streams fill no more than this share
    /// of its slots.
    pub writer_filled: f64,
    /// It also does when they fill more, if reading takes no longer than this: its streams pause for so
    /// long in all, and go on between the pieces of the prompt.
    pub decode_pause: Duration,
    /// A start is copied if that saves reading so many tokens. Copying a token takes a tenth of
    /// reading it, and setting a copy up as long as reading some hundred.
    pub min_copy_tokens: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_rate: 300_000.0,
            reserve: Duration::from_millis(75),
            least_share: 0.3,
            late_fraction: 0.6,
            honoured: 1.0 / 3.0,
            short: 1_000,
            writer_share: 0.5,
            writer_filled: 0.125,
            decode_pause: Duration::ZERO,
            min_copy_tokens: 512,
        }
    }
}

/// An engine that could read a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillCandidate {
    /// The hash of its name.
    pub key: Hash,
    /// Whether it also writes output, and so reads at a lower rate.
    pub decodes: bool,
    /// Tokens that wait to be read there, as far as this entry knows.
    pub queued_tokens: u64,
    /// Tokens at the prompt's start that it keeps.
    pub cached_tokens: u64,
    /// The share of its slots that streams fill.
    pub slot_usage: f64,
    /// How much longer than usual it takes to hand KV cache over.
    pub transfer_excess: Duration,
    /// The hash of its failure domain: copies within one take half as long.
    pub domain: Hash,
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// The hash of its longest shared start; prompts with equal ones have the same home.
    pub prefix_hash: Hash,
    /// All its tokens.
    pub tokens: u64,
    /// Within which time its first token is wanted.
    pub objective: Duration,
    /// Whether that time has passed already.
    pub late: bool,
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// It is read by the engine with this index.
    Prefill {
        /// The engine.
        at: usize,
        /// The engine from which it first copies the shared start.
        copy_from: Option<usize>,
        /// Tokens that are to be read.
        tokens: u64,
    },
    /// No engine can read it in time; one can begin it after this time.
    Full(Duration),
}

/// How urgent reading a prompt of `tokens` tokens is to the engine, for a request of this rank: 0
/// goes first, 9 last.
///
/// Short ones go before all others, whatever their rank: they take less than 3 ms, and behind the
/// queue of the long ones they would miss their objective.
pub fn priority(settings: &Settings, tokens: u64, rank: u8) -> u8 {
    if tokens <= settings.short { 0 } else { rank.saturating_add(1).min(LEAST_URGENT) }
}

/// The lowest urgency that engines know.
const LEAST_URGENT: u8 = 9;

/// Places a prompt, for an entry that knows of the work of one in `unheard` entries.
pub fn place(
    settings: &Settings,
    prompt: &Prompt,
    readers: &[PrefillCandidate],
    unheard: impl Into<f64>,
) -> Placement {
    place_among(settings, prompt, readers, readers.len(), unheard)
}

/// Places a prompt at one of the first `able` engines: the others only keep what can be copied.
pub fn place_among(
    settings: &Settings,
    prompt: &Prompt,
    readers: &[PrefillCandidate],
    able: usize,
    unheard: impl Into<f64>,
) -> Placement {
    let order = order(prompt, &readers[..able.min(readers.len())]);
    if order.is_empty() {
        return Placement::Full(prompt.objective);
    }
    let most = max_duration(settings, prompt).as_secs_f64() / unheard.into().max(1.0);
    // Few engines keep any of a prompt; asked for each of 700 readers, all would take a millisecond.
    let holders: Vec<usize> =
        (0..readers.len()).filter(|&at| readers[at].cached_tokens > 0).collect();
    let mut soonest = f64::INFINITY;
    for at in order {
        let reader = &readers[at];
        let copy_from = source(settings, readers, &holders, at);
        let kept = copy_from.map_or(reader.cached_tokens, |from| readers[from].cached_tokens);
        let tokens = unread(prompt, kept);
        if fits(settings, reader, tokens, most) {
            return Placement::Prefill { at, copy_from, tokens };
        }
        soonest = soonest.min(wait(settings, reader, 0));
    }
    Placement::Full(span((soonest - most).max(most)))
}

/// How long reading may take, what waits before it included.
pub fn max_duration(settings: &Settings, prompt: &Prompt) -> Duration {
    let left = prompt.objective.saturating_sub(settings.reserve);
    let most = left.max(prompt.objective.mul_f64(settings.least_share));
    if prompt.late { most.mul_f64(settings.late_fraction) } else { most }
}

/// The readers in the order in which they are tried: by rendezvous hashing, those that only read
/// first. All entries have the same order for prompts with the same start and other orders for
/// other prompts: if each took the reader with the least to read, all would take the same one until
/// they heard of each other.
fn order(prompt: &Prompt, readers: &[PrefillCandidate]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..readers.len()).collect();
    order.sort_by_key(|&at| {
        (readers[at].decodes, Reverse(mix(readers[at].key, prompt.prefix_hash)))
    });
    order
}

/// The engine from which the one at `to` copies the prompt's start: of the holders the one that keeps
/// most, if that is enough more. Of several, one in the same failure domain.
fn source(
    settings: &Settings,
    engines: &[PrefillCandidate],
    holders: &[usize],
    to: usize,
) -> Option<usize> {
    let reader = &engines[to];
    let others = holders.iter().copied();
    let others = others.filter(|&from| from != to && copies_pay(settings, reader, &engines[from]));
    others.max_by_key(|&from| {
        let engine = &engines[from];
        (engine.cached_tokens, engine.domain == reader.domain, mix(engine.key, reader.key))
    })
}

/// Whether copying is worth it: it saves enough reading, also if the holder's link is slow.
fn copies_pay(settings: &Settings, to: &PrefillCandidate, from: &PrefillCandidate) -> bool {
    let saved = from.cached_tokens.saturating_sub(to.cached_tokens);
    saved >= settings.min_copy_tokens
        && float(saved) / settings.prefill_rate > from.transfer_excess.as_secs_f64()
}

fn unread(prompt: &Prompt, kept: u64) -> u64 {
    prompt.tokens - kept.min(prompt.tokens)
}

/// The seconds until a reader has read what waits there and `tokens` more and handed it over.
fn wait(settings: &Settings, reader: &PrefillCandidate, tokens: u64) -> f64 {
    let part = if reader.decodes { settings.writer_share } else { 1.0 };
    float(reader.queued_tokens + tokens) / (settings.prefill_rate * part)
        + reader.transfer_excess.as_secs_f64()
}

fn fits(settings: &Settings, reader: &PrefillCandidate, tokens: u64, most: f64) -> bool {
    let idle = reader.queued_tokens == 0 && reader.transfer_excess.as_secs_f64() < most;
    if reader.decodes {
        // Each step of its output waits for a piece of what it reads, and the first token of what is
        // handed over to it for all: it takes only what fits, while it reads nothing else.
        let takes = wait(settings, reader, tokens);
        let few = reader.slot_usage <= settings.writer_filled;
        let short =
            reader.slot_usage <= MOST_FILLED && takes <= settings.decode_pause.as_secs_f64();
        return idle && (few || short) && takes <= most;
    }
    // An idle reader takes a prompt of any size: nothing is gained by leaving it idle.
    idle || wait(settings, reader, tokens) <= most
}

/// An engine whose streams fill more of its slots has no place to write a prompt that it reads.
const MOST_FILLED: f64 = 0.9;

/// Callers are sent away for no longer than this, however long they would wait: bursts last some
/// seconds, and what is free before is worth more than a place that is sure.
const MOST_BACK: Duration = Duration::from_secs(1);

/// When the caller of a prompt that was refused should come back, if an engine can begin it after
/// `soonest` and the caller waits for another `left`; `random` is between 0 and 1.
///
/// **Load pattern.** A burst of seconds, in which hundreds of callers a second are refused and may
/// come back once. **Without it** they come back after the time of one queue, in the middle of the
/// same burst, and are refused for good. **How.** Their objective has passed by then in any case,
/// so they come back late, spread over the second half of the time that they honour.
pub fn retry_after(
    settings: &Settings,
    soonest: Duration,
    left: Duration,
    random: f64,
) -> Duration {
    let most = left.mul_f64(settings.honoured).min(MOST_BACK);
    soonest.max(most.mul_f64(0.5 + 0.5 * random)).min(most)
}

/// How fast the engines of a service read, learnt from prompts that were read.
///
/// It follows the median of the samples by steps: a sample is wrong by a factor when the engine kept
/// more or less of a prompt than was believed, and the median ignores by how much. The first steps
/// are large, and shrink when a sample goes the other way: a first belief that is wrong by five is
/// right after some ten prompts, and then none moves it by much.
#[derive(Debug, Clone, Copy)]
pub struct PrefillRate {
    rate: f64,
    step: f64,
    /// Whether the last sample was faster; none before the first.
    faster: Option<bool>,
    samples: u32,
}

/// The factor of the first step.
const FIRST_STEP: f64 = 1.4;

/// The factor of the shortest step: from twice the rate it takes 35 prompts to the right one.
const LEAST_STEP: f64 = 1.02;

/// What a step becomes, as a part of its logarithm, when a sample goes the other way.
const SHRINK: f64 = 0.6;

/// Samples after which others may rely on the rate.
const KNOWN: u32 = 12;

/// Samples of fewer tokens say more about the way there and back than about reading.
const LEAST_TOKENS: u64 = 3_000;

/// The way there and back and the engine's own steps.
const OVERHEAD: Duration = Duration::from_millis(5);

/// The bounds of a believable rate, in tokens a second.
const BOUNDS: (f64, f64) = (10_000.0, 3_000_000.0);

impl PrefillRate {
    /// Begins with an assumed rate, in tokens a second.
    pub fn new(assumed: f64) -> Self {
        Self { rate: assumed, step: FIRST_STEP.ln(), faster: None, samples: 0 }
    }

    /// Begins with a rate that others have learnt.
    pub fn learned(rate: f64) -> Self {
        Self { step: LEAST_STEP.ln(), samples: KNOWN, ..Self::new(rate) }
    }

    /// Takes in that `tokens`, what waited before a prompt included, were read in `took`.
    pub fn sample(&mut self, tokens: u64, took: Duration) {
        let reading = took.saturating_sub(OVERHEAD);
        if tokens < LEAST_TOKENS || reading.is_zero() {
            return;
        }
        let faster = float(tokens) / reading.as_secs_f64() > self.rate;
        if self.faster.replace(faster).is_some_and(|before| before != faster) {
            self.step = (self.step * SHRINK).max(LEAST_STEP.ln());
        }
        let rate = self.rate * if faster { self.step.exp() } else { (-self.step).exp() };
        self.rate = rate.clamp(BOUNDS.0, BOUNDS.1);
        self.samples = self.samples.saturating_add(1);
    }

    /// Tokens a second.
    pub fn get(self) -> f64 {
        self.rate
    }

    /// Whether it was learnt from enough prompts to rely on it.
    pub fn is_learned(self) -> bool {
        self.samples >= KNOWN
    }
}
