//! Which engine writes.

use policy::decode::{DecodeCandidate, rank};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn writer(streams: u32, near: bool) -> DecodeCandidate {
    DecodeCandidate { streams, same_domain: near, slots: 32, ..DecodeCandidate::default() }
}

fn best(writers: &[DecodeCandidate]) -> usize {
    let ranked = writers.iter().enumerate();
    ranked
        .min_by_key(|(_, writer)| rank(writer, OBJECTIVE))
        .map(|(at, _)| at)
        .expect("there are writers")
}

/// Most KV caches would cross failure domains, which takes twice as long, for a writer with one or
/// two streams fewer.
#[test]
fn a_near_writer_is_taken_unless_it_is_clearly_fuller() {
    assert_eq!(best(&[writer(3, false), writer(6, true)]), 1);
    assert_eq!(best(&[writer(3, false), writer(8, true)]), 0);
    assert_eq!(best(&[writer(5, true), writer(4, true)]), 1);
}

/// The link of the emptiest writer is slow. Transfers to it pile up until each waits for seconds.
#[test]
fn a_writer_with_a_slow_link_comes_after_fuller_ones() {
    let slow = DecodeCandidate { transfer_excess: Duration::from_millis(60), ..writer(0, true) };
    assert_eq!(best(&[slow, writer(20, false)]), 1);
    let barely = DecodeCandidate { transfer_excess: Duration::from_millis(20), ..writer(0, true) };
    assert_eq!(best(&[barely, writer(20, false)]), 0);
}

/// All writers but one are dark. Better a late answer from one that may be there than none.
#[test]
fn writers_that_are_away_come_last_but_come() {
    let away = DecodeCandidate { unavailable: true, ..writer(0, true) };
    let changing = DecodeCandidate { changing: true, ..writer(0, true) };
    assert_eq!(best(&[away, changing, writer(32, false)]), 2);
    assert_eq!(best(&[away, changing]), 1);
    assert_eq!(best(&[away]), 0);
}

/// An engine whose places are taken makes a stream wait while others have room.
#[test]
fn an_engine_has_room_up_to_a_share_of_its_slots() {
    let writer = DecodeCandidate { streams: 4, slots: 8, ..DecodeCandidate::default() };
    assert!(!writer.has_room(50));
    assert!(writer.has_room(75));
    assert!(
        !DecodeCandidate { unavailable: true, ..writer }.has_room(75),
        "it can't be counted on"
    );
}
