//! How many engines of a pool read prompts for the others.
//!
//! **Load pattern.** Long prompts with short output and short prompts with long output share a
//! pool; bursts of seconds ask for several times the mean, and the first token is wanted in a
//! fraction of a second. **Without it** (the pool as it was started) a third of the engines read
//! and are far too few in a burst, while those that write are a quarter full. **How.** Output is
//! planned by the streams that run: they last for seconds and are the same for any engine, so an
//! engine that writes can be filled to a fixed part. All others read, because what prompts need is
//! rate at the moment of a burst. Without streams to go by, a fixed share reads. Changes are made
//! only for a difference that lasts, and few at a time while there is work. **Figures.** See
//! [`Settings`].

use crate::number::{count, float};

/// What part of a generation an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// It reads prompts for others.
    Reads,
    /// It writes output, and reads some prompts itself.
    Writes,
}

/// Settings of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The share of engines that read while nothing is known of the streams. Of 0.3, 0.5, 0.7 and
    /// 0.85 the third served most at both mixes that were measured.
    pub readers: f64,
    /// Streams that one engine writes on average. A burst has four times as many, which still fit
    /// its 32 slots with a third to spare for uneven spreading.
    pub streams: f64,
    /// The least share of engines that read, and that write.
    pub least: f64,
    /// Engines by which the split has to be wrong for a change while there is work: each change
    /// takes an engine away for seconds.
    pub tolerance: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self { readers: 0.68, streams: 14.0, least: 0.2, tolerance: 2 }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// What it does now.
    pub part: Part,
    /// How much would be disturbed by changing it, such as its streams.
    pub work: u32,
}

/// How many of `engines` engines should read, when `streams` run on average in the pool; `None` if
/// that is not known.
pub fn readers(settings: &Settings, engines: usize, streams: Option<f64>) -> usize {
    let all = float(u64::try_from(engines).unwrap_or(u64::MAX));
    let wanted = match streams {
        Some(streams) => all - (streams / settings.streams).ceil(),
        None => all * settings.readers,
    };
    // One of each at least, as far as there are two.
    let least = (all * settings.least).max(1.0).min(all / 2.0);
    usize::try_from(count(wanted.clamp(least, all - least))).unwrap_or(engines)
}

/// The indexes of the engines to change, those with the least work first; empty if the split is
/// right within the tolerance. While there is work, at most `at_once` change.
pub fn changes(engines: &[Engine], readers: usize, tolerance: usize, at_once: usize) -> Vec<usize> {
    let reading = engines.iter().filter(|engine| engine.part == Part::Reads).count();
    let (from, missing) = if reading < readers {
        (Part::Writes, readers - reading)
    } else {
        (Part::Reads, reading - readers)
    };
    if missing < tolerance.max(1) {
        return Vec::new();
    }
    let mut able: Vec<usize> = (0..engines.len()).filter(|&at| engines[at].part == from).collect();
    able.sort_by_key(|&at| engines[at].work);
    able.truncate(missing.min(at_once));
    able
}
