//! Leases on a duty that one entry carries out at a time.

use policy::Time;
use policy::lease::{Lease, Settings};
use std::time::Duration;

fn settings() -> Settings {
    let seconds = Duration::from_secs;
    Settings {
        duration: seconds(3),
        grace: seconds(3),
        overdue: Duration::from_millis(1_600),
        stagger: Duration::from_millis(600),
    }
}

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// The holder is killed. The next entry has to take over before the duty is missed, but not while
/// the previous holder may still act.
#[test]
fn next_entry_takes_over_from_an_unresponsive_holder() {
    let mut next = Lease::default();
    next.observe_record(5, at(1_000));
    let may_claim = |now: u64, due: u64| next.may_claim(&settings(), 1, at(due), at(now));
    assert!(!may_claim(1_500, 0), "the holder is not overdue");
    assert!(!may_claim(6_900, 2_300), "the holder may have acted less than a lease ago");
    assert!(!may_claim(7_100, 2_100), "an earlier candidate goes first");
    assert!(may_claim(7_100, 2_300));
}

/// A holder is frozen for a minute while another takes over, and resumes in the middle of its duty.
/// It must neither act on its old lease nor claim it back at once: a change of holder before a
/// lease has expired would make two holders.
#[test]
fn resumed_holder_does_not_act() {
    let mut frozen = Lease::default();
    frozen.renew(&settings(), 8, at(1_000));
    assert_eq!(frozen.fencing_token(at(3_900)), Some(9));
    assert_eq!(frozen.fencing_token(at(61_000)), None, "its lease has expired");
    // Its append fails, and it reads the record of the other entry.
    frozen.observe_record(12, at(61_050));
    assert!(!frozen.is_held());
    assert!(!frozen.may_claim(&settings(), 0, at(10_000), at(66_000)));
    assert!(frozen.may_claim(&settings(), 0, at(10_000), at(67_100)));
}

/// The fencing token stays the same while one entry holds the lease and grows with each new holder.
#[test]
fn fencing_token_grows_with_each_holder() {
    let mut first = Lease::default();
    first.renew(&settings(), 0, at(0));
    assert_eq!(first.fencing_token(at(1)), Some(1), "0 may stand for no fencing token");
    first.renew(&settings(), 1, at(5_000));
    assert_eq!(first.fencing_token(at(5_001)), Some(1));
    let mut second = Lease::default();
    second.observe_record(2, at(5_010));
    second.renew(&settings(), 2, at(12_000));
    first.observe_record(3, at(12_010));
    first.renew(&settings(), 3, at(20_000));
    assert_eq!(
        (second.fencing_token(at(12_001)), first.fencing_token(at(20_001))),
        (Some(3), Some(4))
    );
}

/// A holder that was refused because of a higher fencing token gives up the lease at once.
#[test]
fn superseded_holder_gives_up_the_lease() {
    let mut first = Lease::default();
    first.renew(&settings(), 4, at(0));
    first.relinquish(5, at(100));
    assert_eq!((first.is_held(), first.fencing_token(at(101))), (false, None));
    assert!(!first.may_claim(&settings(), 0, at(60_000), at(6_000)));
}
