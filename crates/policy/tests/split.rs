//! How many engines read prompts, and which change.

use policy::demand::{DemandTracker, EngineProfile, PeakLoad};
use policy::split::{
    Engine, EngineRole, Settings, default_profile, desired_prefill, engines_to_change,
    missing_role, prefill_share,
};
use std::time::Duration;

const READS: Engine = Engine { role: EngineRole::Reads, work: 0, domain: 0, available: true };
const WRITES: Engine = Engine { role: EngineRole::Writes, ..READS };

fn engines(reads: usize, writes: usize) -> Vec<Engine> {
    let reads = (0..reads).map(|_| READS);
    let writes = (0u32..).take(writes).map(|n| Engine { work: 10 - n.min(10), ..WRITES });
    reads.chain(writes).collect()
}

/// Engines that read five times slower than those of the other pools, and write four times slower.
const SLOW: EngineProfile =
    EngineProfile { prefill_rate: 55_000.0, token_time: 0.004, max_streams: 64 };

fn unseen() -> PeakLoad {
    DemandTracker::default().peak_load(&SLOW)
}

fn fixed(share: f64) -> Settings {
    Settings { fixed_share: Some(share), ..Settings::default() }
}

/// How many of so many engines read whose pace is not known.
fn at_first(settings: &Settings, engines: usize) -> usize {
    desired_prefill(settings, prefill_share(settings, &default_profile(32), &unseen()), engines, 0)
}

#[test]
fn two_thirds_read_of_engines_that_are_not_known() {
    let of = |engines| at_first(&Settings::default(), engines);
    assert_eq!([14, 9, 44, 49].map(of), [10, 6, 30, 33]);
}

/// A pool is small, or all are meant to do one kind of work: some engine must do the other kind all
/// the same, or each request of it would be refused. Where there are several, two write: if one were
/// all, its loss would stop everything.
#[test]
fn each_part_keeps_an_engine_as_far_as_there_are_two() {
    assert_eq!([2, 3].map(|n| at_first(&Settings::default(), n)), [1, 2]);
    assert_eq!([5, 6, 10].map(|n| at_first(&fixed(1.0), n)), [4, 4, 8]);
    assert_eq!(at_first(&fixed(0.0), 10), 1);
}

/// All engines but one are lost. If that one went over to reading prompts, nobody could write, and
/// every request would be refused until another came back.
#[test]
fn the_last_engine_writes() {
    assert_eq!(at_first(&Settings::default(), 1), 0);
    assert_eq!(engines_to_change(&engines(0, 1), 0), [0; 0]);
    assert_eq!(engines_to_change(&engines(1, 0), 0), [0]);
}

/// Engines that read slowly are full of prompts while those that write are mostly empty, if they are
/// split as engines that read five times faster: two writers carry all output here.
#[test]
fn engines_that_read_slowly_for_what_they_write_mostly_read() {
    let settings = Settings::default();
    assert_eq!(desired_prefill(&settings, prefill_share(&settings, &SLOW, &unseen()), 12, 8), 10);
    let fast = EngineProfile { prefill_rate: 270_000.0, token_time: 0.001, max_streams: 32 };
    assert_eq!(desired_prefill(&settings, prefill_share(&settings, &fast, &unseen()), 14, 5), 10);
}

/// Engines with few places read as fast as others. Split by their places alone, two fifths of them
/// would read, and prompts are refused in bursts while writers are half empty.
#[test]
fn engines_with_few_places_are_not_all_kept_for_writing() {
    let pace = EngineProfile { prefill_rate: 300_000.0, token_time: 0.000_8, max_streams: 8 };
    let settings = Settings::default();
    let readers = desired_prefill(&settings, prefill_share(&settings, &pace, &unseen()), 48, 12);
    assert!((25..=33).contains(&readers), "{readers}");
}

/// Thousands of engines have to change at once. Compared one with another they took seconds, each
/// quarter of a second, at every entry, which then answered nobody in time.
#[test]
fn thousands_of_engines_are_chosen_in_a_moment() {
    let engine = |at: u64| Engine { domain: at % 6, work: 1, ..WRITES };
    let pool: Vec<_> = (0..20_000).map(engine).collect();
    let began = std::time::Instant::now();
    assert_eq!(engines_to_change(&pool, 12_000).len(), 12_000);
    // The square of their number would be hundreds of seconds.
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
}

/// So many seconds of a load of prompts and streams, and the need that it leaves.
fn after(seconds: u64, prompts: u64, streams: u32, pace: &EngineProfile) -> PeakLoad {
    let mut demand = DemandTracker::default();
    for _ in 0..seconds {
        demand.observe(prompts, streams, Duration::from_secs(1));
    }
    demand.peak_load(pace)
}

/// The load shifts to streams for some seconds and then to prompts. If engines followed the first,
/// they would be missing in the second: a change takes them five seconds each way.
#[test]
fn a_phase_of_seconds_moves_little_and_one_of_minutes_all() {
    let settings = Settings::default();
    let pace = EngineProfile { prefill_rate: 270_000.0, token_time: 0.001, max_streams: 32 };
    let readers = |seconds| {
        let need = after(seconds, 600_000, 140, &pace);
        desired_prefill(&settings, prefill_share(&settings, &pace, &need), 14, 10)
    };
    assert!(readers(8) >= 9, "{}", readers(8));
    assert!(readers(600) <= 6, "{}", readers(600));
}

/// Each entry learns paces by itself, and they differ by a tenth. If that moved engines, whichever
/// entry planned next would move them back.
#[test]
fn what_entries_learn_differently_moves_nothing() {
    let settings = Settings::default();
    for (engines, reading) in [(12, 10), (57, 49)] {
        for rate in [50_000.0, 55_000.0, 60_000.0] {
            let pace = EngineProfile { prefill_rate: rate, ..SLOW };
            let share = prefill_share(&settings, &pace, &unseen());
            assert_eq!(
                desired_prefill(&settings, share, engines, reading),
                reading,
                "{engines} {rate}"
            );
        }
    }
}

/// All engines that write crash. Every request would have its prompt read for nothing until they are
/// back.
#[test]
fn it_is_seen_that_nobody_is_left_of_a_part() {
    let away = |engine| Engine { available: false, ..engine };
    assert_eq!(missing_role(&[READS, READS, away(WRITES), away(WRITES)]), Some(EngineRole::Writes));
    assert_eq!(missing_role(&[away(READS), WRITES, WRITES]), Some(EngineRole::Reads));
    assert_eq!(missing_role(&[READS, WRITES]), None);
    assert_eq!(missing_role(&[away(READS), away(WRITES)]), None, "this process itself was frozen");
    assert_eq!(missing_role(&[WRITES]), None, "a single engine does both");
}

/// The few engines that write stood in one failure domain, and nothing was written while it was
/// down.
#[test]
fn engines_that_write_stay_spread_over_failure_domains() {
    let at = |engine, domain| Engine { domain, ..engine };
    let pool: Vec<_> = (0..4).flat_map(|domain| vec![at(WRITES, domain); 3]).collect();
    let mut after = pool.clone();
    for index in engines_to_change(&pool, 9) {
        after[index].role = EngineRole::Reads;
    }
    let spread = |pool: &[Engine]| {
        let writes = |e: &&Engine| e.role == EngineRole::Writes;
        let mut writers = [0, 1, 2, 3]
            .map(|domain| pool.iter().filter(writes).filter(|e| e.domain == domain).count());
        writers.sort_unstable();
        writers
    };
    assert_eq!(spread(&after), [0, 1, 1, 1]);
    for index in engines_to_change(&after, 7) {
        after[index].role = EngineRole::Writes;
    }
    assert_eq!(spread(&after), [1, 1, 1, 2]);
}

/// An engine that can't be reached gets no order either.
#[test]
fn engines_that_are_away_are_not_changed() {
    let mut pool = engines(4, 3);
    pool[4].available = false;
    pool[5].available = false;
    assert_eq!(engines_to_change(&pool, 6), [6]);
}

#[test]
fn engines_with_the_least_work_change_until_the_share_is_right() {
    assert_eq!(engines_to_change(&engines(4, 10), 10), [13, 12, 11, 10, 9, 8]);
    assert_eq!(engines_to_change(&engines(10, 4), 8).len(), 2);
    assert_eq!(engines_to_change(&engines(9, 4), 10), [12]);
}

#[test]
fn a_right_split_changes_nothing() {
    assert_eq!(engines_to_change(&engines(10, 4), 10), [0; 0]);
}
