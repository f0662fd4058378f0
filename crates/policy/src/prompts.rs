//! Which engine reads a prompt, and whether it is read at all.
//!
//! **Load pattern.** Hundreds of long prompts a second share their first parts with others; bursts
//! of seconds ask for several times what all engines can read, and the first token is wanted
//! within a few times what one prompt takes. **Without it** (least work) each shared part is read
//! by every engine and pushes others out, and in a burst all prompts wait, so all are late.
//! **How.** Rendezvous hashing of the longest shared start gives each prompt a home, where that
//! start is probably kept; a home with too much to read passes it to the engine with the least,
//! which copies the start from the home. An engine has too much if what waits would take more
//! than a share of the objective; a prompt that fits nowhere is refused at once and told when to
//! come back. **Figures.** See [`Settings`].

use crate::number::{float, span};
use crate::{Hash, mix};
use std::time::Duration;

/// Settings of the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Tokens that an engine reads in a second, before it has been measured.
    pub rate: f64,
    /// The share of the objective that the prompts at one engine may take to read, the new one
    /// included. The rest is for the way there, for what other entries send at the same time, and
    /// for the first step of the output. Of 0.25, 0.38, 0.5 and 0.65 the second served most in
    /// time; less leaves engines idle, more makes prompts late.
    pub share: f64,
    /// What an engine that also writes output reads, as a part of what one that only reads does.
    pub writer_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { rate: 300_000.0, share: 0.38, writer_share: 0.5 }
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
}

/// A prompt to be placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// The hash of its longest shared start; prompts with equal ones have the same home.
    pub start: Hash,
    /// All its tokens.
    pub tokens: u64,
    /// The tokens of its shared start.
    pub shared: u64,
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

/// Places a prompt, for one of `entries` entries that send to the same engines without knowing of
/// each other's work.
pub fn place(settings: &Settings, prompt: &Prompt, readers: &[Reader], entries: u32) -> Place {
    let Some(home) = home(prompt, readers) else { return Place::Full(prompt.objective) };
    let unread = |reader: &Reader| prompt.tokens - reader.kept.min(prompt.tokens);
    let wait = |reader: &Reader, tokens: u64| {
        let part = if reader.writes { settings.writer_share } else { 1.0 };
        float(reader.waiting + tokens) / (settings.rate * part)
    };
    let most = prompt.objective.as_secs_f64() * settings.share / f64::from(entries.max(1));
    // An idle engine takes a prompt of any size: nothing is gained by leaving it idle.
    let fits = |reader: &Reader, tokens: u64| reader.waiting == 0 || wait(reader, tokens) <= most;
    let own = unread(&readers[home]);
    if fits(&readers[home], own) {
        return Place::Read { at: home, copy_from: None, tokens: own };
    }
    let kept_at_home = readers[home].kept > 0;
    let elsewhere = |at: usize| {
        let reader = &readers[at];
        let copy = kept_at_home && readers[home].kept > reader.kept;
        let tokens = if copy { unread(&readers[home]) } else { unread(reader) };
        (tokens, copy.then_some(home))
    };
    let others = (0..readers.len()).filter(|&at| at != home);
    let best = others
        .map(|at| (at, elsewhere(at)))
        .min_by(|a, b| wait(&readers[a.0], a.1.0).total_cmp(&wait(&readers[b.0], b.1.0)));
    match best {
        Some((at, (tokens, copy_from))) if fits(&readers[at], tokens) => {
            Place::Read { at, copy_from, tokens }
        }
        _ => Place::Full(come_back(readers, home, best.map(|best| best.0), &wait, most)),
    }
}

/// The home of a prompt: among engines that only read, if there are any.
fn home(prompt: &Prompt, readers: &[Reader]) -> Option<usize> {
    let rank = |at: &usize| mix(readers[*at].key, prompt.start);
    let all = 0..readers.len();
    let dedicated = all.clone().filter(|&at| !readers[at].writes).max_by_key(rank);
    dedicated.or_else(|| all.max_by_key(rank))
}

/// When the first of the two engines considered will have room.
fn come_back(
    readers: &[Reader],
    home: usize,
    best: Option<usize>,
    wait: &dyn Fn(&Reader, u64) -> f64,
    most: f64,
) -> Duration {
    let waits = [Some(home), best].into_iter().flatten().map(|at| wait(&readers[at], 0));
    span((waits.fold(f64::INFINITY, f64::min) - most).max(most))
}
