//! How many engines of a pool read prompts for the others.
//!
//! **Load pattern.** Long prompts with short output and short prompts with long output share a
//! pool; bursts of seconds ask for several times the mean, and the first token is wanted in a
//! fraction of a second. **Without it** (the pool as it was started) a third of the engines read
//! and are far too few in a burst, while those that write are mostly empty. **How.** A fixed share
//! reads, and engines with the least work change until it is right: what prompts need is rate at
//! the moment of a burst, which is over before a change would be. **Figures.** See [`Settings`].

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
    /// The share of engines that read. With 0.3 of them, as the pool was started, a day was
    /// worth 0.370, with 0.68 it was worth 0.435. 0.6 serves more replies and fewer prompts, and was worth less on
    /// seven of eight days.
    pub readers: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { readers: 0.68 }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// What it does now.
    pub part: Part,
    /// How much would be disturbed by changing it, such as its requests.
    pub work: u32,
}

/// How many of `engines` engines should read: one at least, and not all. A single one has to do
/// both, which only one that writes can.
pub fn readers(settings: &Settings, engines: usize) -> usize {
    if engines < 2 {
        return 0;
    }
    let wanted = float(u64::try_from(engines).unwrap_or(u64::MAX)) * settings.readers;
    let wanted = usize::try_from(count(wanted)).unwrap_or(engines);
    wanted.clamp(1, engines - 1)
}

/// The indexes of the engines to change, those with the least work first.
pub fn changes(engines: &[Engine], readers: usize) -> Vec<usize> {
    let reading = engines.iter().filter(|engine| engine.part == Part::Reads).count();
    let (from, missing) = if reading < readers {
        (Part::Writes, readers - reading)
    } else {
        (Part::Reads, reading - readers)
    };
    let mut able: Vec<usize> = (0..engines.len()).filter(|&at| engines[at].part == from).collect();
    able.sort_by_key(|&at| engines[at].work);
    able.truncate(missing);
    able
}
