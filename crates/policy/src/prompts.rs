//! Which engine reads a prompt, and whether it is read at all.
//!
//! **Load pattern.** Hundreds of long prompts a second share their first parts with others; bursts
//! of seconds ask for several times what all engines can read, and the first token is wanted
//! within a few times what one prompt takes. **Without it** (least work) each shared part is read
//! by every engine and pushes others out, and in a burst all prompts wait, so all are late.
//! **How.** Rendezvous hashing of the longest shared start gives each prompt a home, where that
//! start is probably kept; a home with too much to read passes it to the next in the order of the
//! hashes that has not, which copies the start from the home. An engine has too much if what waits would take more
//! than a share of the objective; a prompt that fits nowhere is refused at once and told when to
//! come back. **Figures.** See [`Settings`].

use crate::number::{float, span};
use crate::{Hash, mix};
use std::cmp::Reverse;
use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Tokens that an engine reads in a second, before it has been measured.
    pub rate: f64,
    /// The share of the objective that the prompts at one engine may take to read, the new one
    /// included. The rest is for the way there, for what other entries send at the same time, and
    /// for the first step of the output. With the rate learnt, 0.5 served more than 0.38 on seven
    /// of seven measured loads; less leaves engines idle, more makes prompts late.
    pub share: f64,
    /// A prompt with no more tokens to read is short: it takes 3 ms.
    pub short: u64,
    /// What an engine that also writes output reads, as a part of what one that only reads does.
    pub writer_share: f64,
    /// An engine that writes reads a prompt for itself while streams fill no more than this share
    /// of its slots.
    pub writer_filled: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { rate: 300_000.0, share: 0.5, short: 1_000, writer_share: 0.5, writer_filled: 0.125 }
    }
}

/// An engine that could read a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reader {
    /// The hash of its name.
    pub key: Hash,
    /// Whether it also writes output, and so reads at a lower rate.
    pub writes: bool,
    /// Tokens that wait to be read there, as far as this entry knows.
    pub waiting: u64,
    /// Tokens at the prompt's start that it keeps.
    pub kept: u64,
    /// The share of its slots that streams fill.
    pub filled: f64,
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// The hash of its longest shared start; prompts with equal ones have the same home.
    pub start: Hash,
    /// All its tokens.
    pub tokens: u64,
    /// Within which time its first token is wanted.
    pub objective: Duration,
}

/// Where a prompt goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Place {
    /// It is read by the engine with this index.
    Read {
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
pub fn urgency(settings: &Settings, tokens: u64, rank: u8) -> u8 {
    if tokens <= settings.short { 0 } else { rank.saturating_add(1).min(LEAST_URGENT) }
}

/// The lowest urgency that engines know.
const LEAST_URGENT: u8 = 9;

/// Places a prompt, for an entry that knows of the work of one in `unheard` entries.
pub fn place(settings: &Settings, prompt: &Prompt, readers: &[Reader], unheard: u32) -> Place {
    let order = order(prompt, readers);
    let Some(&home) = order.first() else { return Place::Full(prompt.objective) };
    let most = prompt.objective.as_secs_f64() * settings.share / f64::from(unheard.max(1));
    let (at_home, kept) = (unread(prompt, readers[home].kept), readers[home].kept);
    let mut soonest = f64::INFINITY;
    for at in order {
        let reader = &readers[at];
        let copies = at != home && kept > reader.kept;
        let tokens = if copies { at_home } else { unread(prompt, reader.kept) };
        if fits(settings, reader, tokens, most) {
            return Place::Read { at, copy_from: copies.then_some(home), tokens };
        }
        soonest = soonest.min(wait(settings, reader, 0));
    }
    Place::Full(span((soonest - most).max(most)))
}

/// The readers in the order in which they are tried: by rendezvous hashing, those that only read
/// first. All entries have the same order for prompts with the same start and other orders for
/// other prompts: if each took the reader with the least to read, all would take the same one until
/// they heard of each other.
fn order(prompt: &Prompt, readers: &[Reader]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..readers.len()).collect();
    order.sort_by_key(|&at| (readers[at].writes, Reverse(mix(readers[at].key, prompt.start))));
    order
}

fn unread(prompt: &Prompt, kept: u64) -> u64 {
    prompt.tokens - kept.min(prompt.tokens)
}

/// The seconds until a reader has read what waits there and `tokens` more.
fn wait(settings: &Settings, reader: &Reader, tokens: u64) -> f64 {
    let part = if reader.writes { settings.writer_share } else { 1.0 };
    float(reader.waiting + tokens) / (settings.rate * part)
}

fn fits(settings: &Settings, reader: &Reader, tokens: u64, most: f64) -> bool {
    // An idle reader takes a prompt of any size: nothing is gained by leaving it idle.
    let idle = reader.waiting == 0;
    // One that writes takes a prompt only while it reads none and writes little: each step of its
    // output waits for a piece of what it reads.
    let may = !reader.writes || (idle && reader.filled <= settings.writer_filled);
    may && (idle || wait(settings, reader, tokens) <= most)
}

/// How fast the engines of a service read, learnt from prompts that were read.
///
/// It follows the median of the samples by small steps: a sample is wrong by a factor when the
/// engine kept more or less of a prompt than was believed, and the median ignores by how much.
#[derive(Debug, Clone, Copy)]
pub struct Rate(f64);

/// The factor of one step. From twice the rate it takes 35 prompts to the right one.
const STEP: f64 = 1.02;

/// Samples of fewer tokens say more about the way there and back than about reading.
const LEAST_TOKENS: u64 = 3_000;

/// The way there and back and the engine's own steps.
const OVERHEAD: Duration = Duration::from_millis(5);

/// The bounds of a believable rate, in tokens a second.
const BOUNDS: (f64, f64) = (10_000.0, 3_000_000.0);

impl Rate {
    /// Begins with an assumed rate, in tokens a second.
    pub fn new(assumed: f64) -> Self {
        Self(assumed)
    }

    /// Takes in that `tokens`, what waited before a prompt included, were read in `took`.
    pub fn sample(&mut self, tokens: u64, took: Duration) {
        let reading = took.saturating_sub(OVERHEAD);
        if tokens < LEAST_TOKENS || reading.is_zero() {
            return;
        }
        let faster = float(tokens) / reading.as_secs_f64() > self.0;
        let rate = if faster { self.0 * STEP } else { self.0 / STEP };
        self.0 = rate.clamp(BOUNDS.0, BOUNDS.1);
    }

    /// Tokens a second.
    pub fn get(self) -> f64 {
        self.0
    }
}
