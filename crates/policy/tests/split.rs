//! How many engines read prompts.

use policy::split::{Engine, Part, Settings, changes, readers};

fn engines(reads: usize, writes: usize) -> Vec<Engine> {
    let reads = (0..reads).map(|_| Engine { part: Part::Reads, work: 0 });
    let writes = (0u32..).take(writes).map(|n| Engine { part: Part::Writes, work: 10 - n.min(10) });
    reads.chain(writes).collect()
}

#[test]
fn without_streams_to_go_by_a_fixed_share_reads() {
    let settings = Settings::default();
    let of = |engines| readers(&settings, engines, None);
    assert_eq!([14, 9, 44, 49].map(of), [10, 6, 30, 33]);
}

/// A pool is small, or all of one kind of work: some engine must do the other kind all the same, or
/// each request of it would be refused.
#[test]
fn each_part_keeps_an_engine_as_far_as_there_are_two() {
    let settings = Settings::default();
    assert_eq!([1, 2, 3].map(|n| readers(&settings, n, None)), [1, 1, 2]);
    assert_eq!(readers(&settings, 10, Some(0.0)), 8);
    assert_eq!(readers(&settings, 10, Some(10_000.0)), 2);
}

#[test]
fn engines_with_the_least_work_change_and_few_at_a_time() {
    assert_eq!(changes(&engines(4, 10), 10, 1, 14), [13, 12, 11, 10, 9, 8]);
    assert_eq!(changes(&engines(4, 10), 10, 1, 3), [13, 12, 11]);
    assert_eq!(changes(&engines(10, 4), 8, 2, 14).len(), 2);
}

/// The split is off by one because an engine crashed. To change another for seconds costs more than
/// it wins.
#[test]
fn a_small_difference_changes_nothing_while_there_is_work() {
    assert_eq!(changes(&engines(9, 4), 10, 2, 14), [0; 0]);
}
