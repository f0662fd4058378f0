//! The order in which the groups of several regions are asked.

use policy::decode::max_fill_percent;
use policy::distance::Distance::{self, OtherRegion, SameDomain, SameRegion};
use policy::region_order::{
    Candidate, HitShares, Prompt, far_groups, for_decode, for_prompt, hit_share, missing_tokens,
    objective_in_region,
};
use policy::{groups, hash, prefill};
use std::time::Duration;

const RATE: f64 = 300_000.0;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Groups at these distances; regions are `far_ms` apart.
fn candidates(distances: &[Distance], far_ms: u64) -> Vec<Candidate> {
    let candidate = |(at, &distance): (usize, &Distance)| Candidate {
        key: hash(&format!("group-{at}")),
        distance,
        round_trip: if distance == OtherRegion { ms(far_ms) } else { ms(1) },
        transfer: ms(10),
    };
    distances.iter().enumerate().map(candidate).collect()
}

const THREE_REGIONS: [Distance; 6] =
    [OtherRegion, SameDomain, OtherRegion, SameRegion, OtherRegion, OtherRegion];

fn prompt(prefix_hash: u64) -> Prompt {
    Prompt { prefix_hash, shared_tokens: 4_000 }
}

fn is_far(candidates: &[Candidate], at: usize) -> bool {
    far_groups(candidates)[at]
}

fn in_prefix_order(candidates: &[Candidate], prefix_hash: u64) -> Vec<usize> {
    let keys: Vec<_> = candidates.iter().map(|candidate| candidate.key).collect();
    groups::order(&keys, prefix_hash)
}

/// What was learned when this share was found cached near, and that share in other regions.
fn hits(near: f64, far: f64) -> HitShares {
    let mut hits = HitShares::default();
    hits.record(false, near);
    hits.record(true, far);
    hits
}

/// Deployments with one region must ask the groups that they asked before.
#[test]
fn one_region_has_the_order_of_the_prefix() {
    let near =
        candidates(&[SameDomain, SameRegion, SameRegion, SameRegion, SameRegion, SameRegion], 0);
    // An entry whose region has no engines left has no reason to prefer any group.
    let far = candidates(&[OtherRegion; 6], 16);
    for all in [near, far] {
        for prefix in 0..100 {
            let mut expected = in_prefix_order(&all, prefix);
            expected.truncate(5);
            assert_eq!(for_prompt(&all, &prompt(prefix), &hits(0.1, 0.9), RATE), expected);
        }
    }
}

/// Most prompts have their home in another region. In calm times each is prefilled in its own one.
#[test]
fn own_region_comes_first_in_prefix_order() {
    let all = candidates(&THREE_REGIONS, 16);
    for prefix in 0..100 {
        let order = for_prompt(&all, &prompt(prefix), &HitShares::default(), RATE);
        let near: Vec<_> =
            in_prefix_order(&all, prefix).into_iter().filter(|&at| !is_far(&all, at)).collect();
        assert_eq!(order[..2], near);
        assert_eq!(order.len(), 5, "a region that is full passes prompts on to others");
    }
}

/// A region with more groups than are asked would keep its prompts although others have room.
#[test]
fn large_region_leaves_room_for_others() {
    let all = candidates(&[[SameRegion; 8], [OtherRegion; 8]].concat(), 16);
    let order = for_prompt(&all, &prompt(3), &HitShares::default(), RATE);
    let far = order.iter().filter(|&&at| is_far(&all, at)).count();
    assert_eq!((order.len(), far), (7, 2));
}

/// A prefix that is cached far away saves 13 ms; four round trips of 16 ms cost more, and four of
/// 2 ms cost less.
#[test]
fn home_in_another_region_comes_first_if_it_saves_more_than_the_way() {
    for (far_ms, near_hits, far_hits, leaves) in
        [(16, 0.0, 1.0, false), (2, 0.0, 1.0, true), (2, 0.8, 1.0, false), (2, 0.9, 0.5, false)]
    {
        let all = candidates(&THREE_REGIONS, far_ms);
        let hits = hits(near_hits, far_hits);
        for prefix in 0..50 {
            let home = in_prefix_order(&all, prefix)[0];
            let order = for_prompt(&all, &prompt(prefix), &hits, RATE);
            assert_eq!(order[0] == home, leaves || !is_far(&all, home), "{far_ms} ms");
            assert_eq!(order.iter().filter(|&&at| at == home).count(), 1);
        }
    }
}

/// The part that all prompts share is cached by every engine. If it counted, a home without the rest
/// would look like one that has most of the prompt.
#[test]
fn only_the_last_shared_part_decides() {
    assert_eq!(hit_share(&[2_500, 3_800, 2_900], 2_500), Some(0.0));
    assert_eq!(hit_share(&[2_500, 3_800, 2_900], 4_400), Some(0.5));
    assert_eq!(hit_share(&[2_500, 3_800, 2_900], 9_200), Some(1.0));
    assert_eq!(hit_share(&[2_900], 0), None, "it shares nothing");
    assert_eq!(missing_tokens(&[2_500, 3_800, 2_900], 9_200, 0.5), 4_800);
    assert_eq!(missing_tokens(&[2_900], 2_900, 0.5), 2_900);
    assert_eq!(hit_share(&[], 0), None);
}

/// A few prompts with an unusual prefix must not send all others away.
#[test]
fn share_of_cached_tokens_is_smoothed() {
    let mut hits = hits(0.8, 0.4);
    hits.record(false, 0.0);
    assert!(hits.expected(false) > 0.75);
    for _ in 0..200 {
        hits.record(false, 0.2);
    }
    assert!((hits.expected(false) - 0.2).abs() < 0.02);
    assert!((hits.expected(true) - 0.4).abs() < 1e-9);
}

/// A prompt that has waited for refusals of its own region would reach another one too late, and
/// take the place of one that can still be in time.
#[test]
fn prompt_leaves_its_region_only_with_enough_time_left() {
    let settings = prefill::Settings::default();
    let (tokens, objective) = (9_000, ms(250));
    let prompt =
        prefill::Prompt { prefix_hash: 1, tokens, objective, late: false, short_output: true };
    let at =
        |elapsed, delay| objective_in_region(&settings, &prompt, tokens, ms(elapsed), ms(delay));
    assert_eq!(at(4, 64), Some(ms(182)));
    // Thirty milliseconds of prefill fit into three tenths of 120 ms, but not of 80 ms.
    assert_eq!(at(66, 64), Some(ms(120)));
    assert_eq!(at(106, 64), None);
    assert_eq!(at(200, 64), None);
}

fn decode_steps(distances: &[Distance]) -> Vec<(usize, u32)> {
    let random: Vec<f64> = (1..=6).map(|at| 1.0 / f64::from(at)).collect();
    let steps = for_decode(distances, &random, max_fill_percent(false));
    steps.iter().map(|step| (step.group, step.max_fill_percent)).collect()
}

/// Streams of deployments with one region must get the slots that they got before.
#[test]
fn one_region_fills_its_groups_in_turn() {
    assert_eq!(decode_steps(&[SameRegion, SameDomain]), [(1, 50), (0, 75), (1, 100), (0, 150)]);
    let five = [SameRegion, SameRegion, SameDomain, SameRegion, SameRegion];
    assert_eq!(decode_steps(&five), [(2, 50), (4, 75), (3, 100), (1, 150)]);
    assert_eq!(decode_steps(&[SameDomain]), [(0, 50), (0, 75), (0, 100), (0, 150)]);
    assert_eq!(decode_steps(&[OtherRegion]), [(0, 50), (0, 75), (0, 100), (0, 150)]);
    assert_eq!(decode_steps(&[]), []);
}

/// A KV cache that is sent to another region takes ten times as long. A stream that queues for a
/// slot waits even longer.
#[test]
fn own_region_is_filled_before_a_stream_leaves_it() {
    let steps = decode_steps(&[OtherRegion, SameRegion, OtherRegion, SameDomain, OtherRegion]);
    let expected = [(3, 50), (1, 75), (3, 100), (1, 100), (4, 100), (2, 100), (3, 150)];
    assert_eq!(steps, expected);
}
