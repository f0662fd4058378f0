//! How many engines read prompts.

use policy::split::{Engine, Part, Settings, changes, readers};

fn engines(reads: usize, writes: usize) -> Vec<Engine> {
    let reads = (0..reads).map(|_| Engine { part: Part::Reads, work: 0 });
    let writes = (0u32..).take(writes).map(|n| Engine { part: Part::Writes, work: 10 - n.min(10) });
    reads.chain(writes).collect()
}

#[test]
fn a_fixed_share_reads() {
    let of = |engines| readers(&Settings::default(), engines);
    assert_eq!([14, 9, 44, 49].map(of), [10, 6, 30, 33]);
}

/// A pool is small, or all are meant to do one kind of work: some engine must do the other kind all
/// the same, or each request of it would be refused.
#[test]
fn each_part_keeps_an_engine_as_far_as_there_are_two() {
    assert_eq!([2, 3].map(|n| readers(&Settings::default(), n)), [1, 2]);
    assert_eq!(readers(&Settings { readers: 1.0 }, 10), 9);
    assert_eq!(readers(&Settings { readers: 0.0 }, 10), 1);
}

/// All engines but one are lost. If that one went over to reading prompts, nobody could write, and
/// every request would be refused until another came back.
#[test]
fn the_last_engine_writes() {
    assert_eq!(readers(&Settings::default(), 1), 0);
    assert_eq!(changes(&engines(0, 1), 0), [0; 0]);
    assert_eq!(changes(&engines(1, 0), 0), [0]);
}

#[test]
fn engines_with_the_least_work_change_until_the_share_is_right() {
    assert_eq!(changes(&engines(4, 10), 10), [13, 12, 11, 10, 9, 8]);
    assert_eq!(changes(&engines(10, 4), 8).len(), 2);
    assert_eq!(changes(&engines(9, 4), 10), [12]);
}

#[test]
fn a_right_split_changes_nothing() {
    assert_eq!(changes(&engines(10, 4), 10), [0; 0]);
}
