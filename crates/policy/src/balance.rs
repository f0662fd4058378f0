//! When engines change what they do because one part is short of them and the other isn't.
//!
//! **Load pattern.** Phases of some ten seconds ask now for long answers, now for long prompts, with
//! waves of a few seconds on both, while engines are lost. **Without it** streams queue for seconds at
//! the engines that write, while most of those that read are empty, or the other way round, however the
//! pool was split at first. **How.** What both parts need is known before it hurts: streams last for
//! seconds, so their number rises ahead of the queue; prompts are counted as they are asked for. Only
//! engines that their part can spare are moved, so a move costs nothing but its order; where both parts
//! are short, they are so alike.

use crate::number::{count, float};

/// Settings of the balance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// How busy engines that read may be on average: prompts are lumps, and wait for each other.
    pub reading: f64,
    /// How busy engines that write may be on average: streams share them.
    pub writing: f64,
    /// How much a stream that waits for a place counts against one that has one.
    pub waiting: f64,
    /// By how many engines a part has to be short.
    pub slack: f64,
    /// The same as a part of all engines.
    pub slack_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { reading: 0.5, writing: 0.95, waiting: 0.5, slack: 1.0, slack_share: 0.06 }
    }
}

/// Engines that the load keeps busy from now on until a change would take effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProjectedLoad {
    /// Engines that read.
    pub prefill: f64,
    /// Engines that write.
    pub decode: f64,
}

/// How many engines there are, those that are about to change counted as what they will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pool {
    /// Engines that read.
    pub prefill: usize,
    /// Engines that write.
    pub decode: usize,
}

/// How many engines should read, if one part is short of them and that can be mended.
pub fn rebalance(settings: &Settings, load: &ProjectedLoad, pool: Pool) -> Option<usize> {
    let (readers, writers) = (engines(pool.prefill), engines(pool.decode));
    // Streams that wait for a place are there only until more engines write.
    let waiting = (load.decode - writers).max(0.0) * settings.waiting;
    let writing = load.decode.min(writers) + waiting;
    let (read, write) = (load.prefill / settings.reading, writing / settings.writing);
    let slack = settings.slack.max((readers + writers) * settings.slack_share);
    let (short_reads, short_writes) = (read - readers, write - writers);
    let wanted = if short_reads > 0.0 && short_writes > 0.0 {
        (readers + writers) * read / (read + write)
    } else if short_writes > slack {
        readers - short_writes.min(readers - read)
    } else if short_reads > slack {
        readers + short_reads.min(writers - write)
    } else {
        return None;
    };
    let wanted = usize::try_from(count(wanted)).ok()?;
    let moved = engines(wanted.abs_diff(pool.prefill));
    (moved >= slack).then_some(wanted)
}

/// How many engines should read once no part is short, if `lent` of those that write did read before: as
/// many of them come back as the other part can do without.
pub fn restore(
    settings: &Settings,
    load: &ProjectedLoad,
    pool: Pool,
    lent: usize,
) -> Option<usize> {
    let all = pool.prefill + pool.decode;
    let slack = settings.slack.max(engines(all) * settings.slack_share);
    let least = (load.decode / settings.writing).ceil();
    let spare = usize::try_from(count(engines(pool.decode) - least)).ok()?;
    let wanted = pool.prefill + spare.min(lent);
    (engines(wanted) - engines(pool.prefill) >= slack).then_some(wanted)
}

/// Whether neither part is short in a pool.
pub fn is_sufficient(settings: &Settings, load: &ProjectedLoad, pool: Pool) -> bool {
    load.prefill <= engines(pool.prefill) * settings.reading
        && load.decode <= engines(pool.decode) * settings.writing
}

fn engines(count: usize) -> f64 {
    float(u64::try_from(count).unwrap_or(u64::MAX))
}
