//! Decides in which order the groups of several regions are asked for a prompt or a decode slot.
//!
//! **Load pattern.** Prompts arrive in all regions. Each has a home group by the hash of its prefix,
//! which is in another region more often than not. A round trip between regions takes as long as the
//! prefill of thousands of tokens. **Without this** (one order over all groups), two of three prompts
//! are prefilled in another region. If groups of the own region only came first, a region whose
//! queues are full would refuse prompts that others have room for. **Approach.** The groups of the
//! own region are asked in prefix order, so that each prefix has a home in every region. The home
//! over all regions comes before them only if the cached tokens that are expected there save more
//! time than the way costs. Prompts that no group of the own region has room for go on to the others
//! if enough of their objective is left. With one region the order is that of [`groups::order`].

use crate::distance::Distance;
use crate::number::{count, float, span};
use crate::{Hash, decode, groups, prefill};
use std::time::Duration;

/// Round trips to the region of an engine until the first piece: to reserve the prefill, to send the
/// prompt, to reserve a decode slot, and to start the output. The KV cache stays in that region.
const ROUND_TRIPS: u32 = 4;

/// Groups of other regions that are asked at least, however many the own region has. Each costs a
/// round trip between regions, and one of two has room if half of all groups have.
const MIN_FAR_GROUPS: usize = 2;

/// Weight of a sample in the share of tokens that are found cached: the share follows the last
/// thirty prompts, some seconds of an entry's load.
const HIT_WEIGHT: f64 = 1.0 / 32.0;

/// A group that could be asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The identity of the group.
    pub key: Hash,
    /// How far its engines are from the entry that asks.
    pub distance: Distance,
    /// The expected round trip to its region.
    pub round_trip: Duration,
    /// How long it takes to transfer the KV cache to a decode engine near it.
    pub transfer: Duration,
}

impl Candidate {
    /// Returns the network delay until the first piece of a prompt that is prefilled there.
    pub fn network_delay(&self) -> Duration {
        self.round_trip * ROUND_TRIPS
    }
}

/// Returns for each group whether it is in another region, while the own region has groups as well.
pub fn far_groups(candidates: &[Candidate]) -> Vec<bool> {
    let is_near = |candidate: &Candidate| candidate.distance < Distance::OtherRegion;
    let has_near = candidates.iter().any(is_near);
    candidates.iter().map(|candidate| has_near && !is_near(candidate)).collect()
}

/// Which share of a prompt's last shared part was found cached at the group asked first, by whether
/// that group is in another region.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HitShares {
    near: Option<f64>,
    far: Option<f64>,
}

impl HitShares {
    /// Records a share between 0 and 1.
    pub fn record(&mut self, is_far: bool, share: f64) {
        let known = if is_far { &mut self.far } else { &mut self.near };
        let before = known.unwrap_or(share);
        *known = Some(before + HIT_WEIGHT * (share.clamp(0.0, 1.0) - before));
    }

    /// Returns the expected share. As long as none is known for other regions, prompts gain nothing
    /// from going there.
    pub fn expected(&self, is_far: bool) -> f64 {
        let near = self.near.unwrap_or_default();
        if is_far { self.far.unwrap_or(near) } else { near }
    }
}

/// Returns which share of a prompt's last shared part is cached, where `cached` of its tokens are.
/// Parts before it are shared by all prompts and cached everywhere, and the last of `parts` is the
/// prompt's own. `None` if the prompt shares nothing.
pub fn hit_share(parts: &[u64], cached: u64) -> Option<f64> {
    let (_, shared) = parts.split_last()?;
    let (last, before) = shared.split_last()?;
    let before: u64 = before.iter().sum();
    let found = cached.saturating_sub(before).min(*last);
    (*last > 0).then(|| float(found) / float(*last))
}

/// Returns how many of a prompt's `tokens` tokens are not cached, if this share of its last shared
/// part is.
pub fn missing_tokens(parts: &[u64], tokens: u64, hit_share: f64) -> u64 {
    let Some((last, before)) = parts.split_last().and_then(|(_, shared)| shared.split_last())
    else {
        return tokens;
    };
    let cached = before.iter().sum::<u64>() + count(float(*last) * hit_share);
    tokens.saturating_sub(cached)
}

/// A prompt, as far as the order depends on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prompt {
    /// The hash of its longest shared prefix.
    pub prefix_hash: Hash,
    /// Tokens of its last shared part.
    pub shared_tokens: u64,
}

/// Returns the order, by index, in which groups are asked for a prompt, where engines prefill
/// `prefill_rate` tokens per second.
pub fn for_prompt(
    candidates: &[Candidate],
    prompt: &Prompt,
    hits: &HitShares,
    prefill_rate: f64,
) -> Vec<usize> {
    let max = groups::Settings::default().max_asked_groups;
    let keys: Vec<Hash> = candidates.iter().map(|candidate| candidate.key).collect();
    let all = groups::order(&keys, prompt.prefix_hash);
    let home = all.first().copied();
    let is_far = far_groups(candidates);
    let (far, mut near): (Vec<usize>, Vec<usize>) = all.into_iter().partition(|&at| is_far[at]);
    near.truncate(max);
    let expected = |at: usize| {
        let missing = float(prompt.shared_tokens) * (1.0 - hits.expected(is_far[at]));
        let candidate = &candidates[at];
        candidate.network_delay() + candidate.transfer + span(missing / prefill_rate)
    };
    let leaves_region = |&home: &usize| {
        is_far[home] && near.first().is_some_and(|&own| expected(home) < expected(own))
    };
    let first = home.filter(leaves_region);
    let max_far = max.saturating_sub(near.len()).max(MIN_FAR_GROUPS);
    let rest = far.into_iter().filter(|&at| Some(at) != first).take(max_far);
    first.into_iter().chain(near).chain(rest).collect()
}

/// Returns within which time the first piece of a prompt is due, as seen by a group in another
/// region, where `elapsed` of the objective has passed. `None` if the prompt, of which `tokens`
/// tokens are not cached, can't be prefilled there in time.
pub fn objective_in_region(
    settings: &prefill::Settings,
    prompt: &prefill::Prompt,
    tokens: u64,
    elapsed: Duration,
    network_delay: Duration,
) -> Option<Duration> {
    let objective = prompt.objective.checked_sub(elapsed)?.checked_sub(network_delay)?;
    let limit = prefill::max_duration(settings, &prefill::Prompt { objective, ..*prompt });
    (span(float(tokens) / settings.prefill_rate) <= limit).then_some(objective)
}

/// Groups of other regions that are asked for a decode slot.
const MAX_FAR_DECODE_GROUPS: usize = 2;

/// A group to ask for a decode slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeStep {
    /// The index of the group.
    pub group: usize,
    /// How full the engine may be, in percent of its slots.
    pub max_fill_percent: u32,
}

/// Returns which groups are asked in turn for a decode slot, given how far each is from the KV cache,
/// a random number for each, and how full engines may be, see [`decode::max_fill_percent`]: nearer groups first, and those at the same distance in random
/// order, so that the streams that one group has no room for spread over all others.
///
/// Engines of the own region are filled before a KV cache is sent to another region, but streams queue
/// there only if those have no free slot either.
pub fn for_decode(
    distances: &[Distance],
    random: &[f64],
    max_fills: [u32; decode::MAX_ASKED_GROUPS],
) -> Vec<DecodeStep> {
    let mut order: Vec<usize> = (0..distances.len()).collect();
    order.sort_by(|&a, &b| distances[a].cmp(&distances[b]).then(random[a].total_cmp(&random[b])));
    let (near, far): (Vec<usize>, Vec<usize>) =
        order.iter().partition(|&&at| distances[at] < Distance::OtherRegion);
    let steps = |groups: &[usize], percents: &[u32]| -> Vec<DecodeStep> {
        // A single group, or the last of few, may be filled as far as the last of many.
        let groups = groups.iter().cycle().zip(percents);
        groups.map(|(&group, &max_fill_percent)| DecodeStep { group, max_fill_percent }).collect()
    };
    if near.is_empty() || far.is_empty() {
        return steps(&order, &max_fills);
    }
    let far = &far[..far.len().min(MAX_FAR_DECODE_GROUPS)];
    let far = far.iter().map(|&group| DecodeStep { group, max_fill_percent: 100 });
    let mut all = steps(&near, &max_fills.map(|max_fill| max_fill.min(100)));
    all.extend(far);
    all.extend(steps(&near, &max_fills[decode::MAX_ASKED_GROUPS - 1..]));
    all
}
