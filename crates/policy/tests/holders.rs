//! Which entries hold what is known of a stream, and who finds it after entries were killed.

use policy::holders::{ASKED, HOLDERS, Holder, Ring};
use policy::{Hash, mix};
use std::collections::HashSet;
use std::fmt::Write;

const STREAMS: u64 = 20_000;

/// The bytes of a datagram that tells of one stream, and of a question or an answer, each with its
/// headers.
const TOLD_BYTES: f64 = 70.0;
const ASKED_BYTES: f64 = 66.0;

/// The streams a second that begin at all entries together, and the share that is taken up.
const STREAMS_PER_SECOND: f64 = 5_000.0;
const TAKEN_UP: f64 = 0.01;

fn entries(count: u64) -> Vec<Holder> {
    let domains = count.min(4);
    (0..count).map(|at| Holder { key: mix(at, 1), domain: at % domains }).collect()
}

/// How entries find out where a stream began.
#[derive(Debug, Clone, Copy)]
enum Way {
    /// So many holders on the ring are told.
    Holders(usize),
    /// All are told.
    All,
    /// Nobody is told, and all are asked.
    AskAll,
}

/// The share of streams of killed entries whose origin is found at a live one, after every third
/// entry was killed at once, and the bytes that an entry sends a second before that.
fn outcome(way: Way, count: u64) -> (f64, f64) {
    let all = entries(count);
    let killed: HashSet<usize> = (0..all.len()).filter(|at| at % 3 == 0).collect();
    let live: Vec<usize> = (0..all.len()).filter(|at| !killed.contains(at)).collect();
    let (ring, after) =
        (Ring::new(all.clone()), Ring::new(live.iter().map(|&at| all[at]).collect()));
    let mut found = 0;
    for number in 0..STREAMS {
        let stream: Hash = mix(number, 99);
        let origin = 3 * (usize::try_from(number).unwrap_or(0) % all.len().div_ceil(3));
        let taker = usize::try_from(number / 7).unwrap_or(0) % live.len();
        found += u64::from(match way {
            Way::Holders(told) => {
                let held = ring.holders(stream, Some(origin), told);
                let asked = after.holders(stream, Some(taker), ASKED);
                let asks = asked.into_iter().chain([taker]).map(|at| live[at]);
                asks.into_iter().any(|at| held.contains(&at))
            }
            Way::All => true,
            Way::AskAll => false,
        });
    }
    let (count, rate) = (count as f64, STREAMS_PER_SECOND / count as f64);
    let told = match way {
        Way::Holders(told) => told as f64,
        Way::All => count - 1.0,
        Way::AskAll => 0.0,
    };
    let asked = match way {
        Way::Holders(_) => ASKED as f64,
        Way::All => 0.0,
        Way::AskAll => count - 1.0,
    };
    let bytes = rate * told * TOLD_BYTES + rate * TAKEN_UP * asked * 2.0 * ASKED_BYTES;
    (found as f64 / STREAMS as f64, bytes)
}

/// What the ways cost and bring at 4, 30 and 390 entries, at 5,000 streams a second of which one in
/// a hundred is taken up.
#[test]
fn ways_to_know_the_origin_of_a_stream() {
    let mut table = String::new();
    for count in [4, 30, 390] {
        for way in [Way::Holders(1), Way::Holders(2), Way::Holders(3), Way::All, Way::AskAll] {
            let (found, bytes) = outcome(way, count);
            writeln!(
                table,
                "{count:>3} entries, {way:?}: {found:.2} found, {bytes:.0} bytes a second"
            )
            .expect("writing to a string can't fail");
        }
    }
    insta::assert_snapshot!(table);
}

/// Whoever knows the same live entries asks the holders that were told, although the entry at which
/// the stream began is gone and the one that asks is none of those that were chosen.
#[test]
fn holders_are_among_the_asked_after_an_entry_was_killed() {
    let all = entries(30);
    let ring = Ring::new(all.clone());
    let mut missed = 0;
    for number in 0..STREAMS {
        let stream = mix(number, 5);
        let origin = usize::try_from(number % 30).unwrap_or(0);
        let live: Vec<usize> = (0..all.len()).filter(|at| *at != origin).collect();
        let after = Ring::new(live.iter().map(|&at| all[at]).collect());
        let told = ring.holders(stream, Some(origin), HOLDERS);
        let taker = usize::try_from(number / 30).unwrap_or(0) % live.len();
        let asked = after.holders(stream, Some(taker), ASKED);
        let asked: Vec<usize> = asked.into_iter().chain([taker]).map(|at| live[at]).collect();
        missed += u64::from(!told.iter().any(|at| asked.contains(at)));
    }
    assert_eq!(missed, 0);
}

/// One failure domain may be lost at once.
#[test]
fn holders_are_in_different_domains_where_there_are_several() {
    let all = entries(30);
    let ring = Ring::new(all.clone());
    for number in 0..STREAMS {
        let holders = ring.holders(mix(number, 6), None, HOLDERS);
        let domains: HashSet<Hash> = holders.iter().map(|&at| all[at].domain).collect();
        assert_eq!((holders.len(), domains.len()), (HOLDERS, HOLDERS), "stream {number}");
    }
}

#[test]
fn few_entries_hold_what_they_can() {
    assert!(Ring::default().holders(1, None, HOLDERS).is_empty());
    let alone = Ring::new(entries(1));
    assert!(alone.holders(1, Some(0), HOLDERS).is_empty());
    assert_eq!(alone.holders(1, None, HOLDERS), [0]);
    let same_domain = vec![Holder { key: 1, domain: 9 }, Holder { key: 2, domain: 9 }];
    assert_eq!(Ring::new(same_domain).holders(1, None, HOLDERS).len(), 2);
}

/// All entries are stopped and started one after the other, and each hands over what it knows to the
/// entries that are asked once it is gone: the origin of every stream is still found.
#[test]
fn origins_outlast_a_restart_of_all_entries_in_turn() {
    for count in [4_usize, 30, 300] {
        let all = entries(count as u64);
        let ring = Ring::new(all.clone());
        let mut known: Vec<HashSet<Hash>> = vec![HashSet::new(); count];
        let streams: Vec<Hash> = (0..STREAMS / 4).map(|number| mix(number, 7)).collect();
        for (number, stream) in streams.iter().enumerate() {
            let origin = number % count;
            let told = ring.holders(*stream, Some(origin), HOLDERS);
            for at in told.into_iter().chain([origin]) {
                known[at].insert(*stream);
            }
        }
        for stopped in 0..count {
            let rest: Vec<usize> = (0..count).filter(|at| *at != stopped).collect();
            let after = Ring::new(rest.iter().map(|&at| all[at]).collect());
            for stream in std::mem::take(&mut known[stopped]) {
                for at in after.holders(stream, None, ASKED) {
                    known[rest[at]].insert(stream);
                }
            }
        }
        let is_found = |stream: &&Hash| {
            let taker = usize::try_from(**stream % count as u64).unwrap_or(0);
            let asked = ring.holders(**stream, Some(taker), ASKED);
            asked.into_iter().chain([taker]).any(|at| known[at].contains(*stream))
        };
        assert_eq!(streams.iter().filter(is_found).count(), streams.len(), "{count} entries");
        let copies: usize = known.iter().map(HashSet::len).sum();
        assert!(copies <= 2 * ASKED * streams.len(), "{copies} copies at {count} entries");
    }
}
