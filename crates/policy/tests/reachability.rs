//! Targets that can't be reached or say nothing.

use policy::Time;
use policy::reachability::Reachability;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_millis(450);

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// An engine goes dark under load. Its connections stay open, so nothing fails; requests sent there
/// wait for their deadline, and new ones join them for as long as its record stands.
#[test]
fn a_target_that_has_work_and_says_nothing_is_silent() {
    let mut reach = Reachability::default();
    reach.request_started(ms(1_000));
    reach.request_started(ms(1_400));
    assert!(!reach.is_unresponsive(PATIENCE, ms(1_450)));
    assert!(reach.is_unresponsive(PATIENCE, ms(1_451)));
    reach.response_received(ms(1_460));
    assert!(!reach.is_unresponsive(PATIENCE, ms(1_900)));
    assert!(reach.is_unresponsive(PATIENCE, ms(1_911)), "the other request is still there");
    reach.request_ended();
    reach.request_ended();
    assert!(!reach.is_unresponsive(PATIENCE, ms(9_000)), "nothing is asked of it");
    assert_eq!(reach.outstanding(), 0);
}

/// Nobody accepts connections at a target. When its pause ends, all requests of that moment would
/// go there and wait for a connection.
#[test]
fn a_pause_ends_with_one_probe_that_succeeds() {
    let mut reach = Reachability::default();
    reach.connection_failed(ms(0));
    reach.connection_failed(ms(10));
    assert!(!reach.begin_probe(ms(249)), "attempts that ended together count once");
    assert!(reach.begin_probe(ms(250)));
    assert!(!reach.begin_probe(ms(260)), "one probe at a time");
    assert!(reach.is_backing_off());
    reach.connection_failed(ms(300));
    assert!(!reach.begin_probe(ms(799)) && reach.begin_probe(ms(800)), "the pause doubles");
    reach.response_received(ms(810));
    assert!(!reach.is_backing_off());
}

/// A target that is away for a minute is found within a second or so of its return.
#[test]
fn pauses_grow_to_a_second() {
    let (mut reach, mut now) = (Reachability::default(), Time::ZERO);
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let began = now;
        reach.connection_failed(now);
        while !reach.begin_probe(now) {
            now += ms(10);
        }
        pauses.push((now - began).as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000, 1_000, 1_000]);
}
