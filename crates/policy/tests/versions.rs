//! Which software versions targets had lately.

use policy::Time;
use policy::versions::{History, MEMORY};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(6);

fn seconds(count: u64) -> Time {
    Duration::from_secs(count)
}

/// A process that has just been started can't know which versions were there before it.
#[test]
fn a_sole_version_is_known_once_the_history_is_long_enough() {
    let mut history = History::new(Some(seconds(1)));
    history.add(7, seconds(1));
    assert_eq!(history.sole(SPAN, seconds(6)), None);
    assert_eq!(history.sole(SPAN, seconds(7)), Some(7));
    let mut first = History::new(None);
    first.add(7, seconds(1));
    assert_eq!(first.sole(SPAN, seconds(1)), Some(7));
}

/// The last target of a version is gone, and streams that it began may still be taken up.
#[test]
fn a_version_counts_until_its_streams_have_ended() {
    let mut history = History::new(None);
    assert!(!history.add(1, seconds(0)));
    assert!(!history.add(1, seconds(0)));
    assert!(history.add(2, seconds(10)));
    assert!(!history.add(2, seconds(10)));
    assert!(history.is_mixed(SPAN, seconds(10)));
    history.remove(1, seconds(20));
    assert!(history.is_mixed(SPAN, seconds(30)));
    history.remove(1, seconds(30));
    assert!(history.is_mixed(SPAN, seconds(35)));
    assert_eq!(history.sole(SPAN, seconds(35)), None);
    assert!(!history.is_mixed(SPAN, seconds(36)));
    assert_eq!(history.sole(SPAN, seconds(36)), Some(2));
}

/// A version that came back after it had been forgotten is new again.
#[test]
fn forgotten_versions_are_new_again() {
    let mut history = History::new(None);
    history.add(1, seconds(0));
    assert!(history.add(2, seconds(1)));
    history.remove(2, seconds(2));
    assert!(!history.add(2, seconds(3)));
    history.remove(2, seconds(4));
    assert!(history.add(2, seconds(4) + MEMORY));
}

#[test]
fn no_version_is_known_without_targets() {
    let history = History::new(None);
    assert_eq!(history.sole(SPAN, seconds(100)), None);
    assert!(!history.is_mixed(SPAN, seconds(100)));
}

/// Nothing is known of a time that is no longer remembered.
#[test]
fn spans_beyond_the_memory_have_no_sole_version() {
    let mut history = History::new(None);
    history.add(1, seconds(0));
    assert_eq!(history.sole(MEMORY, seconds(500)), Some(1));
    assert_eq!(history.sole(MEMORY + SPAN, seconds(500)), None);
}

/// A process that has just been started takes over what another one has seen: it knows as much as
/// that one, and not that a version was absent which the other has seen.
#[test]
fn a_history_is_inherited() {
    let mut old = History::new(None);
    old.add(1, seconds(0));
    old.add(2, seconds(0));
    old.remove(2, seconds(98));
    let mut new = History::new(Some(seconds(100)));
    new.add(1, seconds(100));
    for seen in old.seen(seconds(100)) {
        assert_eq!(new.inherit(seen, seconds(101)), seen.version == 2);
    }
    new.set_known_from(Some(seconds(100) - MEMORY));
    assert_eq!((new.sole(SPAN, seconds(104)), new.is_mixed(SPAN, seconds(104))), (None, true));
    assert_eq!(new.sole(SPAN, seconds(105)), Some(1));
    assert_eq!(new.seen(seconds(101)).count(), 2);
    assert_eq!(new.seen(seconds(99) + MEMORY).count(), 1);
}
