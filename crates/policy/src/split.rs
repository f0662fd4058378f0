//! Decides how many engines of a pool prefill prompts for the others, and which engines change.
//!
//! **Load pattern.** Long prompts with short output and short prompts with long output share a
//! pool. The demand for either changes several-fold within seconds, often in opposite directions,
//! and a change of role takes longer than many of these phases. Engines differ between pools: some
//! prefill ten times as many tokens as they decode, others three times. **Without this** (a share
//! that suits an assumed mix of prompts and output, or engines that follow the phase of the
//! moment), one role has far too few engines for seconds while the other is mostly idle.
//! **Approach.** The demand for both roles is remembered for a time in which several changes of
//! role would fit. For each number of prefill engines it is added up which share of the prompts and
//! which share of the streams of that time would have been too much for their engines. The pool
//! changes to the number that would have lost least, if that outweighs what is lost while engines
//! change. A pool that starts without any demand is divided so that a first phase of either kind
//! loses the same.

pub mod ratio;

pub use ratio::{Ratio, joined_to_change};

use crate::number::float;
use crate::versions::Version;
use crate::{Hash, prefill};
use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

/// Which stage of a generation an engine serves. The names of the variants appear in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// It prefills prompts for other engines.
    Prefill,
    /// It decodes output, and prefills some prompts itself.
    Decode,
}

/// Settings of the split.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Highest mean utilization of decode engines, which streams share.
    pub decode_utilization: f64,
    /// For how many times the duration of a change demand is remembered, and expected to stay
    /// similar. With fewer, engines follow single phases and miss the next one.
    pub horizon_changes: u32,
    /// The share of the demand for a role that a change must save on average over the horizon.
    pub min_gain: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { decode_utilization: 0.95, horizon_changes: 4, min_gain: 0.02 }
    }
}

/// Number of engines that the demand of a moment needs, by role.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Prefill engines, so that prompts meet their objective.
    pub prefill: f64,
    /// Decode engines at full utilization.
    pub decode: f64,
}

/// Number of engines by role. Engines that are about to change count with their new role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pool {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
    /// Decode engines at which streams would pause for too long, see [`crate::pace`]. They can only
    /// prefill, and change their role first.
    pub unfit: usize,
    /// Prompts that a decode engine without streams prefills within their objective, relative to a
    /// prefill engine, see [`colocated_share`].
    pub colocated_share: f64,
}

impl Pool {
    /// Returns the pool after `prefill` of its engines prefill.
    fn with_prefill(self, prefill: usize) -> Self {
        let unfit = self.unfit.saturating_sub(prefill.saturating_sub(self.prefill));
        Self { prefill, decode: self.prefill + self.decode - prefill, unfit, ..self }
    }
}

/// For how long an engine is out of service when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChangeTime {
    /// From prefill to decode, including the reaction.
    pub to_decode: Duration,
    /// From decode to prefill, including the time until its last stream ends.
    pub to_prefill: Duration,
}

/// Returns the utilization up to which prefill engines meet their objective, for prompts that take
/// `prompt_time` and may wait for `max_wait`.
///
/// Prompts that arrive at random at an engine with utilization `u` wait for
/// `u / (1 - u) * prompt_time / 2` on average, and some of them for three times as long.
pub fn prefill_utilization(prompt_time: Duration, max_wait: Duration) -> f64 {
    const PEAK_TO_MEAN_WAIT: f64 = 3.0;
    let mean_wait = max_wait.as_secs_f64() / PEAK_TO_MEAN_WAIT;
    let prompts = 2.0 * mean_wait / prompt_time.as_secs_f64().max(MIN_PROMPT_SECONDS);
    (prompts / (1.0 + prompts)).max(MIN_UTILIZATION)
}

/// Returns how many prompts a decode engine without streams can prefill within their objective,
/// relative to a prefill engine with this `utilization`; 0 if a single one takes too long there.
pub fn colocated_share(
    prefill: &prefill::Settings,
    prompt_time: Duration,
    max_duration: Duration,
    utilization: f64,
) -> f64 {
    let prompt_time = prompt_time.div_f64(prefill.decode_rate_share);
    let max_wait = max_duration.mul_f64(prefill.colocated_share).checked_sub(prompt_time);
    max_wait.map_or(0.0, |max_wait| {
        prefill.decode_rate_share * prefill_utilization(prompt_time, max_wait) / utilization
    })
}

/// Shortest prefill in seconds; shorter ones are mostly scheduling steps of the engine.
const MIN_PROMPT_SECONDS: f64 = 0.001;

/// Lowest utilization that is planned for: with prompts that take longer than their objective
/// allows, more engines don't help.
const MIN_UTILIZATION: f64 = 0.3;

/// Returns how much of the demand is too much for the pool: the lost share of the prompts plus the
/// lost share of the streams, each between 0 and 1.
///
/// Shares of both kinds weigh the same, however many requests of a kind there are: otherwise a
/// kind with few requests would be given up in favor of the other.
pub fn shortage(settings: &Settings, demands: &[Demand], pool: Pool) -> f64 {
    let (prefill, unfit) = (engines(pool.prefill), engines(pool.unfit));
    let decode = engines(pool.decode) - unfit;
    let mut lost = Demand::default();
    let mut total = Demand::default();
    for demand in demands {
        let needed_decode = demand.decode / settings.decode_utilization;
        let spare = ((decode - needed_decode).max(0.0) + unfit) * pool.colocated_share;
        lost.decode += (needed_decode - decode).max(0.0);
        lost.prefill += (demand.prefill - prefill - spare).max(0.0);
        total.decode += needed_decode;
        total.prefill += demand.prefill;
    }
    let share = |lost: f64, total: f64| if total > 0.0 { lost / total } else { 0.0 };
    share(lost.prefill, total.prefill) + share(lost.decode, total.decode)
}

/// Returns how many engines should prefill instead, if a change is worth what it costs.
///
/// Engines that start to decode change at once, for the demand of the last horizon. Engines that
/// stop decoding first have to finish their streams, and are missing again while they change back,
/// so the time for which they are missing counts twice. They stop only for demand observed for two
/// horizons: phases of prompts and of streams alternate, and one phase that has lasted for seconds
/// says nothing about the streams of the next one.
pub fn choose(
    settings: &Settings,
    history: &History,
    pool: Pool,
    change_time: ChangeTime,
) -> Option<usize> {
    let all = pool.prefill + pool.decode;
    let horizon = horizon(settings, change_time);
    let mut best: Option<(f64, usize)> = None;
    for prefill in candidates(all) {
        let moved = prefill.abs_diff(pool.prefill);
        let stops_decoding = prefill > pool.prefill;
        if moved == 0 || (stops_decoding && history.observed < horizon * LONG_HORIZONS) {
            continue;
        }
        let after = pool.with_prefill(prefill);
        let (demands, during, outage, missing) = if stops_decoding {
            let during = Pool { prefill: pool.prefill, ..after };
            (&history.long, during, change_time.to_prefill, change_time.to_prefill * 2)
        } else {
            let during = Pool { prefill: pool.prefill - moved, ..pool };
            (&history.recent, during, change_time.to_decode, change_time.to_decode)
        };
        let present = shortage(settings, demands, pool);
        let expected = horizon.saturating_sub(missing).as_secs_f64();
        let saved = (present - shortage(settings, demands, after)) * expected;
        let spent = (shortage(settings, demands, during) - present) * outage.as_secs_f64();
        let gain = saved - spent;
        let is_better = best.is_none_or(|(most, at)| {
            gain > most + TIE || (gain > most - TIE && moved < at.abs_diff(pool.prefill))
        });
        if gain > settings.min_gain * horizon.as_secs_f64() && is_better {
            best = Some((gain, prefill));
        }
    }
    best.map(|(_, prefill)| prefill)
}

/// Demand as it was observed, oldest first.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The demands of the last [`horizon`], and the one that is expected next.
    pub recent: Vec<Demand>,
    /// The same for [`LONG_HORIZONS`] times as long.
    pub long: Vec<Demand>,
    /// For how long demand has been observed.
    pub observed: Duration,
}

/// Horizons for which demand is remembered before engines stop decoding: a phase of each kind.
pub const LONG_HORIZONS: u32 = 2;

/// Gains that differ by less are equal: the change that moves fewer engines is made.
const TIE: f64 = 1e-9;

/// Returns for how long demand is remembered.
pub fn horizon(settings: &Settings, change_time: ChangeTime) -> Duration {
    change_time.to_decode.max(change_time.to_prefill) * settings.horizon_changes
}

/// Returns the numbers of prefill engines to compare: all of a small pool, some hundred of a large
/// one.
fn candidates(engines: usize) -> impl Iterator<Item = usize> {
    const MAX_CANDIDATES: usize = 128;
    let max = engines.saturating_sub(min_decode(engines));
    (1..=max).step_by((max / MAX_CANDIDATES).max(1))
}

/// Returns how many of `engines` engines should prefill, whatever they do now.
pub fn desired_prefill(settings: &Settings, demands: &[Demand], engines: usize) -> usize {
    let initial = initial_prefill(engines);
    let losses = candidates(engines).map(|prefill| {
        let pool = Pool { prefill, decode: engines - prefill, unfit: 0, colocated_share: 0.0 };
        (shortage(settings, demands, pool), prefill.abs_diff(initial), prefill)
    });
    let best = losses.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    best.map_or(initial, |(_, _, prefill)| prefill)
}

/// Returns how many of `engines` engines should prefill while no demand is known.
///
/// A first phase of prompts and one of streams then lose the same: a decode engine that has to
/// prefill changes only when its streams have ended, which doubles the time for which it is missing.
pub fn initial_prefill(engines: usize) -> usize {
    (engines * 2 / 3).max(1).min(engines.saturating_sub(min_decode(engines)))
}

/// Returns whether a pool without known demand is so far from [`initial_prefill`] that it changes:
/// by more than a tenth of its engines.
pub fn is_unbalanced(engines: usize, prefill: usize) -> bool {
    const TOLERANCE_DIVISOR: usize = 10;
    initial_prefill(engines).abs_diff(prefill) > (engines / TOLERANCE_DIVISOR).max(1)
}

fn engines(count: usize) -> f64 {
    float(u64::try_from(count).unwrap_or(u64::MAX))
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
    /// Whether streams would pause for too long there.
    pub unfit: bool,
    /// The version of its software.
    pub software: Version,
}

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
    engines.iter().filter(|engine| engine.role == EngineRole::Prefill).count()
}

/// Returns the role that no available engine has, although other engines are available.
///
/// All engines seem unavailable to a process that was frozen itself, so that case returns `None`.
pub fn missing_role(engines: &[Engine]) -> Option<EngineRole> {
    let served = |role| engines.iter().any(|engine| engine.available && engine.role == role);
    match (served(EngineRole::Prefill), served(EngineRole::Decode)) {
        (true, false) => Some(EngineRole::Decode),
        (false, true) if engines.len() > 1 => Some(EngineRole::Prefill),
        (false, true) | (true, true) | (false, false) => None,
    }
}

/// Returns the indexes of the engines to change so that `desired` engines prefill.
///
/// Decode engines are kept spread over failure domains, since there are few of them and a role
/// whose engines are all in one domain is lost with it: the domain with the most decode engines
/// gives one up, and the one with the fewest gets one. Among equals, the engine with the least work
/// changes. Engines at which streams would pause for too long are the first to prefill and the last
/// to decode, in whatever domain they are. While decode engines have several software versions, two
/// of each are the last to prefill: a stream only goes on at the version that began it.
pub fn engines_to_change(engines: &[Engine], desired: usize) -> Vec<usize> {
    let prefill = count_prefill(engines);
    let (from, missing) = if prefill < desired {
        (EngineRole::Decode, desired - prefill)
    } else {
        (EngineRole::Prefill, prefill - desired)
    };
    let mut domains = domains(engines, from);
    let mut chosen = Vec::new();
    while chosen.len() < missing {
        let eligible = domains.iter_mut().filter(|domain| !domain.candidates.is_empty());
        let best = eligible.min_by_key(|domain| {
            let order = match from {
                EngineRole::Decode => usize::MAX - domain.decode,
                EngineRole::Prefill => domain.decode,
            };
            let candidate = domain.candidates.last().copied();
            (candidate.map(|(reluctance, ..)| reluctance), order, candidate)
        });
        let Some(domain) = best else { break };
        chosen.extend(domain.candidates.pop().map(|(_, _, at)| at));
        match from {
            EngineRole::Decode => domain.decode -= 1,
            EngineRole::Prefill => domain.decode += 1,
        }
    }
    chosen
}

/// A failure domain while engines are selected.
#[derive(Default)]
struct Domain {
    /// Decode engines in the domain.
    decode: usize,
    /// Engines that can change, each with what speaks against it, its work and its index; the last
    /// one changes first.
    candidates: Vec<(Reluctance, u32, usize)>,
}

/// What speaks against changing an engine; the more, the later it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Reluctance {
    /// It is one of few decode engines of its version.
    retained: bool,
    /// It is less suitable for its new role than for the present one.
    unsuitable: bool,
}

/// The decode engines of each version that are the last to prefill: the loss of one is tolerated.
const RETAINED: usize = 2;

/// Returns the indexes of the decode engines that keep streams of their version going: those with
/// the most work; none if all have one version.
fn retained(engines: &[Engine]) -> HashSet<usize> {
    let mut versions: BTreeMap<Version, Vec<(u32, usize)>> = BTreeMap::new();
    let decode = engines.iter().enumerate();
    for (at, engine) in decode.filter(|(_, engine)| engine.role == EngineRole::Decode) {
        versions.entry(engine.software).or_default().push((engine.work, at));
    }
    if versions.len() <= 1 {
        return HashSet::new();
    }
    let most_work = versions.into_values().flat_map(|mut engines| {
        engines.sort_unstable_by(|a, b| b.cmp(a));
        engines.into_iter().take(RETAINED).map(|(_, at)| at)
    });
    most_work.collect()
}

/// Groups the engines that have the role `from` by failure domain.
///
/// Comparing engines pairwise would take time quadratic in their number: 3,000 took seconds, every
/// quarter of a second.
fn domains(engines: &[Engine], from: EngineRole) -> Vec<Domain> {
    let mut domains: BTreeMap<Hash, Domain> = BTreeMap::new();
    let retained = match from {
        EngineRole::Decode => retained(engines),
        EngineRole::Prefill => HashSet::new(),
    };
    for (at, engine) in engines.iter().enumerate() {
        let domain = domains.entry(engine.domain).or_default();
        domain.decode += usize::from(engine.role == EngineRole::Decode);
        if engine.role == from && engine.available {
            let unsuitable = engine.unfit == (from == EngineRole::Prefill);
            let reluctance = Reluctance { retained: retained.contains(&at), unsuitable };
            domain.candidates.push((reluctance, engine.work, at));
        }
    }
    let mut domains: Vec<Domain> = domains.into_values().collect();
    for domain in &mut domains {
        domain.candidates.sort_unstable_by(|a, b| b.cmp(a));
    }
    domains
}
