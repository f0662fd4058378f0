//! Which entries perform a task for all, and how long the others wait.

use policy::groups::Entry;
use policy::succession::{delay, rank, retry_delay};
use std::time::Duration;

const TASK: u64 = 0x5EED;

/// A store that comes back serves this many reads per second.
const STORE_READS: u32 = 16_000;

fn entries(count: u64) -> Vec<Entry> {
    (0..count).map(|n| Entry { key: policy::mix(n, 0xA11), weight: 1.0 + (n % 4) as f64 }).collect()
}

/// Hundreds of entries wait for their turn after the first ones failed together. If each waited
/// longer than the one before it, the last would wait for half a minute; if none waited, all would
/// call the store at once.
#[test]
fn waits_of_successors_are_bounded_at_any_size() {
    for count in [8_u32, 68, 520, 1_040] {
        let delays: Vec<Duration> = (0..count).map(|rank| delay(rank, 2)).collect();
        assert_eq!(&delays[..2], [Duration::ZERO; 2]);
        assert!(delays.is_sorted());
        assert!(*delays.last().unwrap() < Duration::from_millis(500), "{count}: {delays:?}");
        // In any 50 ms, no more than half of the entries begin, and never all of a large fleet.
        let most = delays.iter().map(|from| {
            let within = |at: &&Duration| **at >= *from && **at < *from + Duration::from_millis(40);
            delays.iter().filter(within).count()
        });
        assert!(most.max().unwrap() <= count as usize * 6 / 10 + 2, "{count}");
    }
}

/// A log is unavailable for seconds. The entries together call it so often that its return is
/// noticed at once, at no size more often than it can serve, and none waits longer than the bound.
#[test]
fn waits_for_a_log_that_is_down_are_bounded_at_any_size() {
    let longest = Duration::from_secs(10);
    for count in [8_u32, 68, 520, 1_040] {
        let wait = retry_delay(count, longest);
        assert!(wait <= longest);
        let calls_per_second = f64::from(count) / wait.as_secs_f64();
        assert!(calls_per_second >= 8.0, "{count}: {calls_per_second}");
        assert!(calls_per_second <= f64::from(STORE_READS) / 100.0, "{count}: {calls_per_second}");
    }
}

#[test]
fn each_entry_has_its_own_rank_and_large_ones_are_first_more_often() {
    let entries = entries(520);
    let rank_of = |at: usize| {
        let others = entries.iter().enumerate().filter(|(other, _)| *other != at);
        rank(TASK, &entries[at], others.map(|(_, entry)| *entry))
    };
    let mut ranks: Vec<u32> = (0..entries.len()).map(rank_of).collect();
    let weight_of_first: f64 =
        (0..entries.len()).filter(|at| ranks[*at] < 52).map(|at| entries[at].weight).sum::<f64>()
            / 52.0;
    assert!(weight_of_first > 2.6, "2.5 on average of all, {weight_of_first} of the first");
    ranks.sort_unstable();
    assert_eq!(ranks, (0..520).collect::<Vec<_>>());
}
