//! Targets that can't be reached or do not respond.

use policy::Time;
use policy::reachability::Reachability;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_millis(450);

fn ms(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// An engine stops responding under load. Its connections stay open, so nothing fails: requests
/// sent there wait for their deadline, and new ones are added for as long as it is registered.
#[test]
fn target_with_requests_and_without_output_is_unresponsive() {
    let mut reach = Reachability::default();
    reach.request_started(ms(1_000));
    reach.request_started(ms(1_400));
    assert!(!reach.is_unresponsive(TIMEOUT, ms(1_450)));
    assert!(reach.is_unresponsive(TIMEOUT, ms(1_451)));
    reach.response_received(ms(1_460));
    assert!(!reach.is_unresponsive(TIMEOUT, ms(1_900)));
    assert!(reach.is_unresponsive(TIMEOUT, ms(1_911)), "the other request is still in flight");
    reach.request_ended();
    reach.request_ended();
    assert!(!reach.is_unresponsive(TIMEOUT, ms(9_000)), "it has no requests");
    assert_eq!(reach.outstanding(), 0);
}

/// A target accepts no connections. When its backoff ends, all requests of that moment would go
/// there and wait for a connection.
#[test]
fn backoff_ends_with_a_successful_probe() {
    let mut reach = Reachability::default();
    reach.connection_failed(ms(0));
    reach.connection_failed(ms(10));
    assert!(!reach.begin_probe(ms(249)), "attempts that fail together count once");
    assert!(reach.begin_probe(ms(250)));
    assert!(!reach.begin_probe(ms(260)), "one probe at a time");
    assert!(reach.is_backing_off());
    reach.connection_failed(ms(300));
    assert!(!reach.begin_probe(ms(799)) && reach.begin_probe(ms(800)), "the backoff doubles");
    reach.response_received(ms(810));
    assert!(!reach.is_backing_off());
}

/// A target that is down for a minute is detected within about a second of its recovery.
#[test]
fn backoff_grows_to_a_second() {
    let (mut reach, mut now) = (Reachability::default(), Time::ZERO);
    let mut backoffs = Vec::new();
    for _ in 0..5 {
        let started = now;
        reach.connection_failed(now);
        while !reach.begin_probe(now) {
            now += ms(10);
        }
        backoffs.push((now - started).as_millis());
    }
    assert_eq!(backoffs, [250, 500, 1_000, 1_000, 1_000]);
}
