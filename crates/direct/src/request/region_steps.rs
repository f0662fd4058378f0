//! The groups to ask for a prompt in turn, where engines are in several regions.

use crate::cluster::groups::Group;
use crate::cluster::peer_socket::Peer;
use crate::codec::Prompt;
use crate::config::route::Stage;
use crate::request::context::RequestContext;
use crate::request::reservation::group_order;
use crate::targets::target::Target;
use policy::distance::{Distance, Topology};
use policy::region_order::{self, Candidate};
use policy::transfer::TransferTime;
use policy::{Hash, prefill};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// The share of the objective that a round trip to another region counts as until one was measured.
const UNKNOWN_ROUND_TRIP_SHARE: f64 = 0.1;

/// A group to ask for a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptStep {
    /// The index of the group.
    pub group: usize,
    /// The network delay of a prompt that is prefilled there, if the group is in another region
    /// than others that could be asked.
    pub far: Option<Duration>,
    /// Whether prompts with this prefix ask it first, in its region or over all.
    pub is_home: bool,
}

/// Returns the groups to ask for a prompt in turn.
pub fn for_prompt(
    request: &RequestContext,
    groups: &[Group],
    prompt: &Prompt,
    prefix_hash: Hash,
) -> Vec<PromptStep> {
    if !request.shared.settings.topology.has_regions() {
        let order = group_order(groups, prefix_hash).into_iter();
        return order.map(|group| PromptStep { group, far: None, is_home: false }).collect();
    }
    let candidates = candidates(request, groups);
    let hits = request.shared.hit_shares(&request.service.name);
    let shared_tokens = prompt.parts.iter().rev().nth(1).map_or(0, |part| part.tokens.into());
    let rate = request.shared.prefill_settings(&request.service.name).prefill_rate;
    let shape = region_order::Prompt { prefix_hash, shared_tokens };
    let order = region_order::for_prompt(&candidates, &shape, &hits, rate);
    let home = group_order(groups, prefix_hash).first().copied();
    let is_far = region_order::far_groups(&candidates);
    let first_near = order.iter().copied().find(|&at| !is_far[at]);
    let step = |group: usize| {
        let far = is_far[group].then(|| candidates[group].network_delay());
        let is_home = if far.is_some() { home } else { first_near } == Some(group);
        PromptStep { group, far, is_home }
    };
    order.into_iter().map(step).collect()
}

/// Returns within which time the first piece of a prompt is due, as seen by a group in another
/// region; `None` if it would be late there.
pub fn objective_in_region(
    request: &RequestContext,
    prompt: &Prompt,
    requirements: &prefill::Prompt,
    elapsed: Duration,
    network_delay: Duration,
) -> Option<Duration> {
    let hit = request.shared.hit_shares(&request.service.name).expected(true);
    let tokens = region_order::missing_tokens(&part_tokens(prompt), requirements.tokens, hit);
    let settings = request.shared.prefill_settings(&request.service.name);
    region_order::objective_in_region(&settings, requirements, tokens, elapsed, network_delay)
}

/// Records how much of a prompt was found cached at its home.
pub fn record_hit(request: &RequestContext, prompt: &Prompt, is_far: bool, cached: u64) {
    if let Some(share) = region_order::hit_share(&part_tokens(prompt), cached) {
        request.shared.record_hit(&request.service.name, is_far, share);
    }
}

fn part_tokens(prompt: &Prompt) -> Vec<u64> {
    prompt.parts.iter().map(|part| part.tokens.into()).collect()
}

fn candidates(request: &RequestContext, groups: &[Group]) -> Vec<Candidate> {
    let shared = &request.shared;
    let decodes = |engine: &Arc<Target>| engine.stage() != Some(Stage::Prefill);
    let decode_groups = groups.iter().filter(|group| group.engines.iter().any(decodes));
    let decode_domains: BTreeSet<Hash> = decode_groups.map(|group| group.domain).collect();
    let candidate = |group: &Group| {
        let distance = shared.distance_from_here(group.domain);
        let round_trip = round_trip(request, group, distance);
        let transfer = transfer_time(&shared.settings.topology, &decode_domains, group.domain);
        Candidate { key: group.key, distance, round_trip, transfer }
    };
    groups.iter().map(candidate).collect()
}

/// The expected round trip to the region of a group.
fn round_trip(request: &RequestContext, group: &Group, distance: Distance) -> Duration {
    let shared = &request.shared;
    // The coordinator may be in another region than its group.
    let peer = |key: Hash, domain: Hash| Peer { key, distance: shared.distance_from_here(domain) };
    let coordinator = group.coordinators.first().map(|first| peer(first.key, first.domain));
    let round_trips = shared.peer_socket.round_trips();
    let estimate = match coordinator.filter(|peer| peer.distance == distance) {
        Some(peer) => round_trips.estimate(peer.key, distance),
        None => round_trips.by_distance(distance),
    };
    let unknown = match distance {
        Distance::OtherRegion => request.route.objective.mul_f64(UNKNOWN_ROUND_TRIP_SHARE),
        Distance::SameDomain | Distance::SameRegion => Duration::ZERO,
    };
    estimate.map_or(unknown, |estimate| estimate.mean())
}

/// The usual duration of a transfer from an engine in `domain` to the nearest decode engine.
fn transfer_time(topology: &Topology, decode_domains: &BTreeSet<Hash>, domain: Hash) -> Duration {
    let distances = decode_domains.iter().map(|&other| topology.distance(domain, other));
    let usual = TransferTime::default().expected(policy::Time::ZERO);
    usual * distances.min().unwrap_or_default().transfer_factor()
}
