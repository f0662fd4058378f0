//! Who holds a duty that one entry has at a time.

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

/// A holder is killed. The next one has to take over before the duty is missed, and not while the first
/// may still act.
#[test]
fn the_next_takes_over_when_the_holder_is_silent() {
    let mut next = Lease::default();
    next.observe_record(5, at(1_000));
    let may = |now: u64, due: u64| next.may_claim(&settings(), 1, at(due), at(now));
    assert!(!may(1_500, 0), "the holder's turn");
    assert!(!may(6_900, 2_300), "the holder may have acted less than a lease ago");
    assert!(!may(7_100, 2_100), "the turn of the one before it");
    assert!(may(7_100, 2_300));
}

/// A holder is frozen for a minute while another takes over, and wakes up in the middle of its duty. It
/// must not act on its old lease, nor take the duty back at once: turns within a lease are two holders.
#[test]
fn one_that_wakes_up_does_nothing() {
    let mut frozen = Lease::default();
    frozen.renew(&settings(), 8, at(1_000));
    assert_eq!(frozen.fencing_token(at(3_900)), Some(9));
    assert_eq!(frozen.fencing_token(at(61_000)), None, "its lease has lapsed");
    // Its append fails, and it reads whose record stands there.
    frozen.observe_record(12, at(61_050));
    assert!(!frozen.is_held());
    assert!(!frozen.may_claim(&settings(), 0, at(10_000), at(66_000)));
    assert!(frozen.may_claim(&settings(), 0, at(10_000), at(67_100)));
}

/// The fence stays while one holds, and grows when the duty changes hands.
#[test]
fn fences_grow_with_each_holder() {
    let mut one = Lease::default();
    one.renew(&settings(), 0, at(0));
    assert_eq!(one.fencing_token(at(1)), Some(1), "0 may stand for no fence");
    one.renew(&settings(), 1, at(5_000));
    assert_eq!(one.fencing_token(at(5_001)), Some(1));
    let mut two = Lease::default();
    two.observe_record(2, at(5_010));
    two.renew(&settings(), 2, at(12_000));
    one.observe_record(3, at(12_010));
    one.renew(&settings(), 3, at(20_000));
    assert_eq!((two.fencing_token(at(12_001)), one.fencing_token(at(20_001))), (Some(3), Some(4)));
}

/// Whoever was refused for a higher fence gives the duty up at once.
#[test]
fn one_that_was_superseded_yields() {
    let mut one = Lease::default();
    one.renew(&settings(), 4, at(0));
    one.relinquish(5, at(100));
    assert_eq!((one.is_held(), one.fencing_token(at(101))), (false, None));
    assert!(!one.may_claim(&settings(), 0, at(60_000), at(6_000)));
}
