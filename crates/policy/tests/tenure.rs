//! Who holds a duty that one entry has at a time.

use policy::Time;
use policy::tenure::{Settings, Tenure};
use std::time::Duration;

fn settings() -> Settings {
    let seconds = Duration::from_secs;
    Settings {
        acts: seconds(3),
        lease: seconds(3),
        overdue: Duration::from_millis(1_600),
        turn: Duration::from_millis(600),
    }
}

fn at(ms: u64) -> Time {
    Duration::from_millis(ms)
}

/// A holder is killed. The next one has to take over before the duty is missed, and not while the first
/// may still act.
#[test]
fn the_next_takes_over_when_the_holder_is_silent() {
    let mut next = Tenure::default();
    next.hear(5, at(1_000));
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
    let mut frozen = Tenure::default();
    frozen.hold(&settings(), 8, at(1_000));
    assert_eq!(frozen.fence(at(3_900)), Some(9));
    assert_eq!(frozen.fence(at(61_000)), None, "its lease has lapsed");
    // Its append fails, and it reads whose record stands there.
    frozen.hear(12, at(61_050));
    assert!(!frozen.holds());
    assert!(!frozen.may_claim(&settings(), 0, at(10_000), at(66_000)));
    assert!(frozen.may_claim(&settings(), 0, at(10_000), at(67_100)));
}

/// The fence stays while one holds, and grows when the duty changes hands.
#[test]
fn fences_grow_with_each_holder() {
    let mut one = Tenure::default();
    one.hold(&settings(), 0, at(0));
    assert_eq!(one.fence(at(1)), Some(1), "0 may stand for no fence");
    one.hold(&settings(), 1, at(5_000));
    assert_eq!(one.fence(at(5_001)), Some(1));
    let mut two = Tenure::default();
    two.hear(2, at(5_010));
    two.hold(&settings(), 2, at(12_000));
    one.hear(3, at(12_010));
    one.hold(&settings(), 3, at(20_000));
    assert_eq!((two.fence(at(12_001)), one.fence(at(20_001))), (Some(3), Some(4)));
}

/// Whoever was refused for a higher fence gives the duty up at once.
#[test]
fn one_that_was_superseded_yields() {
    let mut one = Tenure::default();
    one.hold(&settings(), 4, at(0));
    one.yields(5, at(100));
    assert_eq!((one.holds(), one.fence(at(101))), (false, None));
    assert!(!one.may_claim(&settings(), 0, at(60_000), at(6_000)));
}
