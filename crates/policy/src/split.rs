//! How many engines of a pool read prompts for the others.
//!
//! **Load pattern.** Long prompts with short output and short prompts with long output share a
//! pool; bursts of seconds ask for several times the mean, and the first token is wanted in a
//! fraction of a second. Engines differ from pool to pool: some read ten times as many tokens as
//! they write, others three times. **Without it** (the pool as it was started, or a fixed share) one
//! part is far too small in a burst while the other is mostly empty. **How.** Each part gets engines
//! in proportion to what it would need at the highest demand lately, see [`crate::demand`]. Until
//! demand has been observed for long, a usual mix of prompts and output stands in for it, with a mean
//! of the engines' own paces and those assumed of all engines; a phase of the load that lasts seconds
//! so moves little, and one that lasts minutes all. Enough engines write that the loss of one is borne.

use crate::Hash;
use crate::demand::{EngineProfile, PeakLoad};
use crate::number::{count, float};
use std::collections::BTreeMap;
use std::time::Duration;

/// What part of a generation an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// It reads prompts for others.
    Reads,
    /// It writes output, and reads some prompts itself.
    Writes,
}

/// Settings of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// A fixed share of engines that read, whatever the load.
    pub fixed_share: Option<f64>,
    /// Tokens of prompts to be read for each token of output, until demand has been observed. It is
    /// no load's own mix, but between those of several.
    pub mix: f64,
    /// After this time what was observed counts as much as [`Settings::mix`]: engines that follow a
    /// phase of seconds are missing in the next.
    pub settle: Duration,
    /// How far the number of readers has to be off, in engines, to be changed: an engine that changes
    /// is out of service for some five seconds.
    pub slack: f64,
    /// The same as a part of the engines: entries learn paces each by itself, and under load they
    /// differ by a third, which is a tenth of the engines.
    pub slack_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fixed_share: None,
            mix: 20.0,
            settle: Duration::from_secs(240),
            slack: 1.0,
            slack_share: 0.1,
        }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// What it does now.
    pub role: EngineRole,
    /// How much would be disturbed by changing it, such as its requests.
    pub work: u32,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// Whether it can be reached.
    pub available: bool,
}

/// What is assumed of an engine that writes `places` streams at once until it is known: it reads
/// 300,000 tokens a second and makes a token of each stream a millisecond.
pub fn default_profile(places: u32) -> EngineProfile {
    EngineProfile { prefill_rate: 300_000.0, token_time: 0.001, max_streams: places }
}

/// Streams that an engine is assumed to write at once at least, when others are compared with it.
///
/// Few places say that the operator expects few streams, or that the engine is small: which of both is
/// not known, and readers that are missing cost more than writers.
const USUAL_PLACES: u32 = 32;

/// The weight of what a pool's engines do, as far as that is known, against what is assumed of all
/// engines. Paces are learnt under load, by each entry for itself, and off by a half at times, and what
/// mix of prompts and output the pool was bought for is not known.
const OWN: f64 = 0.25;

/// The share of engines that should read, for engines of this pace and this need.
pub fn prefill_share(settings: &Settings, pace: &EngineProfile, need: &PeakLoad) -> f64 {
    if let Some(fixed) = settings.fixed_share {
        return fixed;
    }
    let guess = self::default_profile(pace.max_streams.max(USUAL_PLACES));
    let assumed = mean(usual(settings, pace), usual(settings, &guess), OWN);
    let seen = need.prefill / need.decode;
    let known = seen.is_finite() && seen > 0.0;
    let observed = if known { need.observed.as_secs_f64() } else { 0.0 };
    let weight = observed / (observed + settings.settle.as_secs_f64());
    let ratio = if known { mean(seen, assumed, weight) } else { assumed };
    ratio / (1.0 + ratio)
}

/// The mean of two ratios by their logarithms, so that half and twice as many cancel out; the first
/// has this weight.
fn mean(first: f64, second: f64, weight: f64) -> f64 {
    (first.ln() * weight + second.ln() * (1.0 - weight)).exp()
}

/// Engines that read for each one that writes, at the usual mix.
fn usual(settings: &Settings, pace: &EngineProfile) -> f64 {
    let writing = f64::from(pace.max_streams.max(1)) / pace.token_time;
    settings.mix * writing / pace.prefill_rate
}

/// How many of `engines` engines should read if `share` of them should and `reading` do now: one at
/// least, and not all. A single one has to do both, which only one that writes can.
pub fn desired_prefill(settings: &Settings, share: f64, engines: usize, reading: usize) -> usize {
    let all = float(u64::try_from(engines).unwrap_or(u64::MAX));
    let exact = all * share;
    let now = float(u64::try_from(reading).unwrap_or(u64::MAX));
    let slack = settings.slack.max(all * settings.slack_share);
    let target = if (exact - now).abs() <= slack { now } else { exact };
    let most = engines.saturating_sub(spare(engines));
    usize::try_from(count(target)).unwrap_or(engines).max(1).min(most)
}

/// So many readers of `engines` engines as there may be.
pub fn clamp_prefill(engines: usize, readers: usize) -> Option<usize> {
    let most = engines.saturating_sub(spare(engines));
    (engines > 1).then(|| readers.clamp(1, most.max(1)))
}

/// Engines that write at least, so that the loss of one is borne: a pool that is too small for that
/// has one.
fn spare(engines: usize) -> usize {
    const SMALL: usize = 6;
    if engines < SMALL { 1 } else { 2 }
}

/// How many engines read.
pub fn count_prefill(engines: &[Engine]) -> usize {
    engines.iter().filter(|engine| engine.role == EngineRole::Reads).count()
}

/// A part that no engine does that can be reached, although others can be.
///
/// All seem away to a process that was frozen itself: then nothing is concluded.
pub fn missing_role(engines: &[Engine]) -> Option<EngineRole> {
    let does = |part| engines.iter().any(|engine| engine.available && engine.role == part);
    match (does(EngineRole::Reads), does(EngineRole::Writes)) {
        (true, false) => Some(EngineRole::Writes),
        (false, true) if engines.len() > 1 => Some(EngineRole::Reads),
        (false, true) | (true, true) | (false, false) => None,
    }
}

/// The indexes of the engines to change so that `wanted` read.
///
/// Those that write are kept spread over failure domains, since there are few of them and a part
/// whose engines stand in one domain is lost with it: the domain with most of them gives one up, and
/// the one with fewest gets one. Of equals the engine with the least work changes.
pub fn engines_to_change(engines: &[Engine], wanted: usize) -> Vec<usize> {
    let reading = count_prefill(engines);
    let (from, missing) = if reading < wanted {
        (EngineRole::Writes, wanted - reading)
    } else {
        (EngineRole::Reads, reading - wanted)
    };
    let mut domains = domains(engines, from);
    let mut chosen = Vec::new();
    while chosen.len() < missing {
        let able = domains.iter_mut().filter(|domain| !domain.able.is_empty());
        let best = able.min_by_key(|domain| {
            let crowded = match from {
                EngineRole::Writes => usize::MAX - domain.writers,
                EngineRole::Reads => domain.writers,
            };
            (crowded, domain.able.last().copied())
        });
        let Some(domain) = best else { break };
        chosen.extend(domain.able.pop().map(|(_, at)| at));
        match from {
            EngineRole::Writes => domain.writers -= 1,
            EngineRole::Reads => domain.writers += 1,
        }
    }
    chosen
}

/// One failure domain while engines are chosen.
#[derive(Default)]
struct Domain {
    /// Engines there that write.
    writers: usize,
    /// Those that can change, each with its work and its index; the last changes first.
    able: Vec<(u32, usize)>,
}

/// The failure domains, with their engines that do the part `from` now. Compared one with another,
/// engines would cost the square of their number: 3,000 took seconds, each quarter of a second.
fn domains(engines: &[Engine], from: EngineRole) -> Vec<Domain> {
    let mut domains: BTreeMap<Hash, Domain> = BTreeMap::new();
    for (at, engine) in engines.iter().enumerate() {
        let domain = domains.entry(engine.domain).or_default();
        domain.writers += usize::from(engine.role == EngineRole::Writes);
        if engine.role == from && engine.available {
            domain.able.push((engine.work, at));
        }
    }
    let mut domains: Vec<Domain> = domains.into_values().collect();
    for domain in &mut domains {
        domain.able.sort_unstable_by(|a, b| b.cmp(a));
    }
    domains
}
