//! Placement of decode.

use policy::decode::{DecodeCandidate, Offer, choose, max_fill_percent, priority, rank};
use policy::distance::Distance;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn candidate(streams: u32, same_domain: bool) -> DecodeCandidate {
    let distance = if same_domain { Distance::SameDomain } else { Distance::SameRegion };
    DecodeCandidate { streams, distance, slots: 32, ..DecodeCandidate::default() }
}

fn best(candidates: &[DecodeCandidate]) -> usize {
    let ranked = candidates.iter().enumerate();
    ranked
        .min_by_key(|(_, candidate)| rank(candidate, OBJECTIVE))
        .map(|(at, _)| at)
        .expect("there are candidates")
}

/// Most KV caches would be transferred between failure domains, which takes twice as long, for an
/// engine with one or two streams fewer.
#[test]
fn engine_in_the_same_domain_is_preferred_unless_much_fuller() {
    assert_eq!(best(&[candidate(3, false), candidate(6, true)]), 1);
    assert_eq!(best(&[candidate(3, false), candidate(8, true)]), 0);
    assert_eq!(best(&[candidate(5, true), candidate(4, true)]), 1);
}

/// A KV cache that is sent to another region takes ten times as long, and its bytes are paid for. A
/// stream would rather wait than that only where all engines of the region are full.
#[test]
fn engine_in_another_region_is_used_if_all_near_ones_are_full() {
    let far = DecodeCandidate { distance: Distance::OtherRegion, ..candidate(0, true) };
    assert_eq!(best(&[far, candidate(31, false)]), 1);
    assert_eq!(best(&[far, candidate(40, false)]), 0);
}

/// The link of the engine with the fewest streams is slow. Transfers to it pile up until each waits
/// for seconds.
#[test]
fn engine_with_a_slow_link_ranks_after_fuller_ones() {
    let slow = DecodeCandidate { transfer_excess: Duration::from_millis(60), ..candidate(0, true) };
    assert_eq!(best(&[slow, candidate(20, false)]), 1);
    let slightly_slow =
        DecodeCandidate { transfer_excess: Duration::from_millis(20), ..candidate(0, true) };
    assert_eq!(best(&[slightly_slow, candidate(20, false)]), 0);
}

/// All decode engines but one are unavailable. A late response from one that may recover is better
/// than none.
#[test]
fn unavailable_engines_rank_last_but_remain_candidates() {
    let unavailable = DecodeCandidate { unavailable: true, ..candidate(0, true) };
    let changing = DecodeCandidate { changing: true, ..candidate(0, true) };
    assert_eq!(best(&[unavailable, changing, candidate(32, false)]), 2);
    assert_eq!(best(&[unavailable, changing]), 1);
    assert_eq!(best(&[unavailable]), 0);
}

/// A stream waits at an engine whose slots are in use, while others have free slots.
#[test]
fn engine_has_room_up_to_a_share_of_its_slots() {
    let candidate = DecodeCandidate { streams: 4, slots: 8, ..DecodeCandidate::default() };
    assert!(!candidate.has_room(50));
    assert!(candidate.has_room(75));
    assert!(!DecodeCandidate { unavailable: true, ..candidate }.has_room(75), "it is unavailable");
}

/// All engines are more than half full. Short outputs were sent from group to group for an emptier
/// one, each time for a round trip, although the first had free slots.
#[test]
fn short_output_takes_the_last_free_slot_of_the_first_group() {
    let has_room = |short_output, asked: usize, streams| {
        candidate(streams, true).has_room(max_fill_percent(short_output)[asked])
    };
    assert!(has_room(true, 0, 31) && !has_room(true, 0, 32) && !has_room(true, 2, 32));
    assert!(!has_room(false, 0, 16) && has_room(false, 1, 16) && !has_room(false, 1, 24));
    assert!(has_room(true, 3, 47) && has_room(false, 3, 47), "the last one may queue some");
}

/// Outputs of two pieces waited behind streams that last seconds. A less urgent request must not
/// gain from a short output, though.
#[test]
fn short_outputs_go_ahead_of_streams_that_are_no_more_urgent() {
    assert!((0..9).all(|request| priority(true, request) < priority(false, request)));
    assert!((1..=9).all(|request| priority(true, request) >= priority(false, request - 1)));
    assert_eq!([priority(true, 9), priority(false, 9), priority(false, 255)], [9, 9, 9]);
}

/// Returns the engine chosen for a stream, among equals the first.
fn chosen(candidates: &[DecodeCandidate], may_miss_pause: bool) -> usize {
    let offers = (0..).zip(candidates);
    let offers =
        offers.map(|(engine, candidate)| Offer { candidate: *candidate, engine, random: 0.5 });
    choose(offers.collect(), OBJECTIVE, may_miss_pause).expect("there are candidates").engine
}

/// The engine with the most free slots exceeds the pause limit in bad moments: its streams are late
/// although others could take them. If no other has a free slot, it is better than waiting.
#[test]
fn engine_that_misses_the_pause_limit_ranks_after_others_with_free_slots() {
    let slow = DecodeCandidate { misses_pause: true, ..candidate(0, true) };
    let slow_link =
        DecodeCandidate { transfer_excess: Duration::from_millis(60), ..candidate(31, false) };
    let unavailable = DecodeCandidate { unavailable: true, ..candidate(0, true) };
    assert_eq!(chosen(&[slow, slow_link], true), 1);
    assert_eq!(chosen(&[unavailable, slow], true), 1);
    let full = candidate(32, true);
    assert_eq!(chosen(&[full, unavailable, slow], true), 2);
    assert_eq!(chosen(&[full, slow], false), 0, "other groups are asked first");
    let both_full = DecodeCandidate { misses_pause: true, ..full };
    assert_eq!(chosen(&[both_full, full], true), 1);
    assert_eq!(chosen(&[slow], true), 0);
}

/// Engines differ by a factor of two in speed. With as many streams as the others, the slow ones
/// delay a part of all streams.
#[test]
fn streams_are_in_proportion_to_the_pace() {
    let pieces = [40, 40, 40, 80, 0].map(Duration::from_millis);
    let mut candidates =
        pieces.map(|piece_time| DecodeCandidate { piece_time, ..candidate(0, true) });
    for _ in 0..90 {
        candidates[chosen(&candidates, true)].streams += 1;
    }
    let streams = candidates.map(|candidate| candidate.streams);
    assert_eq!(streams, [20, 20, 20, 10, 20], "an unknown pace counts as usual");
}
