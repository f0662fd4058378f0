//! Decides how many engines of a pool prefill prompts for the others.
//!
//! **Load pattern.** Long prompts with short output and short prompts with long output share a
//! pool. Bursts of seconds ask for several times the mean, and the first token is due within a
//! fraction of a second. Engines differ between pools: some prefill ten times as many tokens as
//! they decode, others three times. **Without this** (the pool as it was started, or a fixed
//! share), one role has far too few engines in a burst while the other is mostly idle.
//! **Approach.** Each role gets engines in proportion to what it would need at the recent peak of
//! demand, see [`crate::demand`]. Until demand has been observed for long, a typical mix of prompts
//! and output stands in for it, with a mean of the engines' own profile and the default profile. So
//! a phase of the load that lasts seconds moves few engines, and one that lasts minutes moves all
//! that it needs. Enough engines decode that the loss of one is tolerated.

use crate::Hash;
use crate::demand::{EngineProfile, PeakLoad};
use crate::number::{count, float};
use std::collections::BTreeMap;
use std::time::Duration;

/// Which stage of a generation an engine serves. The names of the variants appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// It prefills prompts for other engines.
    Reads,
    /// It decodes output, and prefills some prompts itself.
    Writes,
}

/// Settings of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Fixed share of prefill engines, whatever the load.
    pub fixed_share: Option<f64>,
    /// Prompt tokens to prefill per output token, until demand has been observed. The value lies
    /// between the mixes of several workloads and is that of none.
    pub default_mix: f64,
    /// Time after which observed demand counts as much as [`Settings::default_mix`]. Engines that
    /// follow a phase of seconds are missing in the next phase.
    pub settle_time: Duration,
    /// By how many engines the number of prefill engines has to be off before it is changed. An
    /// engine that changes is out of service for about five seconds.
    pub tolerance: f64,
    /// The same as a share of the engines; the larger of both applies. Each entry learns engine
    /// profiles by itself, and under load they differ by a third, which is a tenth of the engines.
    pub tolerance_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fixed_share: None,
            default_mix: 20.0,
            settle_time: Duration::from_secs(240),
            tolerance: 1.0,
            tolerance_share: 0.1,
        }
    }
}

/// An engine of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Its current role.
    pub role: EngineRole,
    /// How much work a change would disturb, such as its number of requests.
    pub work: u32,
    /// The hash of its failure domain.
    pub domain: Hash,
    /// Whether it can be reached and accepts work.
    pub available: bool,
}

/// Returns the profile assumed of an engine that decodes `max_streams` streams concurrently until
/// its own is known: 300,000 prompt tokens per second, and one token of each stream per
/// millisecond.
pub fn default_profile(max_streams: u32) -> EngineProfile {
    EngineProfile { prefill_rate: 300_000.0, token_time: 0.001, max_streams }
}

/// Minimum number of concurrent streams of the default profile that a pool's own is averaged with.
///
/// Few slots mean either that the operator expects few streams or that the engine is small. Which
/// of these holds is unknown, and missing prefill engines cost more than missing decode engines.
const DEFAULT_MAX_STREAMS: u32 = 32;

/// Weight of the pool's own engine profile against the default profile. Profiles are learned under
/// load, by each entry for itself, and are off by a half at times. The mix of prompts and output
/// that the pool was sized for is unknown.
const OWN_PROFILE_WEIGHT: f64 = 0.25;

/// Returns the share of engines that should prefill, for engines of this profile and this peak
/// load.
pub fn prefill_share(settings: &Settings, profile: &EngineProfile, peak: &PeakLoad) -> f64 {
    if let Some(fixed) = settings.fixed_share {
        return fixed;
    }
    let default = self::default_profile(profile.max_streams.max(DEFAULT_MAX_STREAMS));
    let assumed = mean(
        default_ratio(settings, profile),
        default_ratio(settings, &default),
        OWN_PROFILE_WEIGHT,
    );
    let observed = peak.prefill / peak.decode;
    let known = observed.is_finite() && observed > 0.0;
    let seconds = if known { peak.observed.as_secs_f64() } else { 0.0 };
    let weight = seconds / (seconds + settings.settle_time.as_secs_f64());
    let ratio = if known { mean(observed, assumed, weight) } else { assumed };
    ratio / (1.0 + ratio)
}

/// Returns the weighted geometric mean of two ratios, so that half and twice as many cancel out.
/// `weight` is that of the first.
fn mean(first: f64, second: f64, weight: f64) -> f64 {
    (first.ln() * weight + second.ln() * (1.0 - weight)).exp()
}

/// Returns the number of prefill engines per decode engine at the default mix.
fn default_ratio(settings: &Settings, profile: &EngineProfile) -> f64 {
    let decode_rate = f64::from(profile.max_streams.max(1)) / profile.token_time;
    settings.default_mix * decode_rate / profile.prefill_rate
}

/// Returns how many of `engines` engines should prefill, if `share` of them should and `current` do
/// now: at least one, and not all. A single engine has to serve both stages, which only a decode
/// engine can.
pub fn desired_prefill(settings: &Settings, share: f64, engines: usize, current: usize) -> usize {
    let all = float(u64::try_from(engines).unwrap_or(u64::MAX));
    let exact = all * share;
    let current = float(u64::try_from(current).unwrap_or(u64::MAX));
    let tolerance = settings.tolerance.max(all * settings.tolerance_share);
    let desired = if (exact - current).abs() <= tolerance { current } else { exact };
    let max = engines.saturating_sub(min_decode(engines));
    usize::try_from(count(desired)).unwrap_or(engines).max(1).min(max)
}

/// Returns whether the role that would get engines if `desired` engines prefilled has use for them,
/// by the recent peak of demand. Each change costs an order and takes an engine out of service, and
/// observed demand moves the desired split for minutes.
pub fn is_worth_changing(peak: &PeakLoad, engines: usize, prefill: usize, desired: usize) -> bool {
    let (load, present) = if desired > prefill {
        (peak.prefill, prefill)
    } else {
        (peak.decode, engines.saturating_sub(prefill))
    };
    let is_observed = peak.observed >= MIN_OBSERVED;
    let present = float(u64::try_from(present).unwrap_or(u64::MAX));
    !is_observed || load >= present * MIN_USE
}

/// For how long demand has to be observed before it tells that a role has no use for more engines.
const MIN_OBSERVED: Duration = Duration::from_secs(5);

/// Peak utilization below which a role has no use for more engines.
const MIN_USE: f64 = 0.2;

/// Clamps a number of prefill engines to what a pool of `engines` engines allows; `None` if it has
/// only one.
pub fn clamp_prefill(engines: usize, prefill: usize) -> Option<usize> {
    let max = engines.saturating_sub(min_decode(engines));
    (engines > 1).then(|| prefill.clamp(1, max.max(1)))
}

/// Returns the minimum number of decode engines: two, so that the loss of one is tolerated, or one
/// if the pool is too small for that.
fn min_decode(engines: usize) -> usize {
    const SMALL: usize = 6;
    if engines < SMALL { 1 } else { 2 }
}

/// Returns the number of prefill engines.
pub fn count_prefill(engines: &[Engine]) -> usize {
    engines.iter().filter(|engine| engine.role == EngineRole::Reads).count()
}

/// Returns the role that no available engine has, although other engines are available.
///
/// All engines seem unavailable to a process that was frozen itself, so that case returns `None`.
pub fn missing_role(engines: &[Engine]) -> Option<EngineRole> {
    let served = |role| engines.iter().any(|engine| engine.available && engine.role == role);
    match (served(EngineRole::Reads), served(EngineRole::Writes)) {
        (true, false) => Some(EngineRole::Writes),
        (false, true) if engines.len() > 1 => Some(EngineRole::Reads),
        (false, true) | (true, true) | (false, false) => None,
    }
}

/// Returns the indexes of the engines to change so that `desired` engines prefill.
///
/// Decode engines are kept spread over failure domains, since there are few of them and a role
/// whose engines are all in one domain is lost with it: the domain with the most decode engines
/// gives one up, and the one with the fewest gets one. Among equals, the engine with the least work
/// changes.
pub fn engines_to_change(engines: &[Engine], desired: usize) -> Vec<usize> {
    let prefill = count_prefill(engines);
    let (from, missing) = if prefill < desired {
        (EngineRole::Writes, desired - prefill)
    } else {
        (EngineRole::Reads, prefill - desired)
    };
    let mut domains = domains(engines, from);
    let mut chosen = Vec::new();
    while chosen.len() < missing {
        let eligible = domains.iter_mut().filter(|domain| !domain.candidates.is_empty());
        let best = eligible.min_by_key(|domain| {
            let order = match from {
                EngineRole::Writes => usize::MAX - domain.decode,
                EngineRole::Reads => domain.decode,
            };
            (order, domain.candidates.last().copied())
        });
        let Some(domain) = best else { break };
        chosen.extend(domain.candidates.pop().map(|(_, at)| at));
        match from {
            EngineRole::Writes => domain.decode -= 1,
            EngineRole::Reads => domain.decode += 1,
        }
    }
    chosen
}

/// A failure domain while engines are selected.
#[derive(Default)]
struct Domain {
    /// Decode engines in the domain.
    decode: usize,
    /// Engines that can change, each with its work and its index; the last one changes first.
    candidates: Vec<(u32, usize)>,
}

/// Groups the engines that have the role `from` by failure domain.
///
/// Comparing engines pairwise would take time quadratic in their number: 3,000 took seconds, every
/// quarter of a second.
fn domains(engines: &[Engine], from: EngineRole) -> Vec<Domain> {
    let mut domains: BTreeMap<Hash, Domain> = BTreeMap::new();
    for (at, engine) in engines.iter().enumerate() {
        let domain = domains.entry(engine.domain).or_default();
        domain.decode += usize::from(engine.role == EngineRole::Writes);
        if engine.role == from && engine.available {
            domain.candidates.push((engine.work, at));
        }
    }
    let mut domains: Vec<Domain> = domains.into_values().collect();
    for domain in &mut domains {
        domain.candidates.sort_unstable_by(|a, b| b.cmp(a));
    }
    domains
}
