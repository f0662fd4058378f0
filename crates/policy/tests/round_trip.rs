//! Waits for the answers of coordinators at different distances.

use policy::distance::Distance::{OtherRegion, SameDomain, SameRegion};
use policy::round_trip::Estimator;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(250);
const PEER: u64 = 7;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Answers that take `millis`, one every 10 ms.
fn answered_after(millis: &[u64], distance: policy::distance::Distance) -> Estimator {
    let mut estimator = Estimator::default();
    for (step, &took) in (0..).zip(millis) {
        estimator.sample(PEER, distance, ms(took), ms(step * 10));
    }
    estimator
}

/// Round trips of a few milliseconds must not change how soon a killed coordinator is noticed, nor
/// how long a busy one is awaited.
#[test]
fn short_round_trips_leave_the_wait_at_a_tenth_of_the_objective() {
    let estimator = answered_after(&[1, 3, 2, 5, 1, 2, 4, 1], SameRegion);
    for (objective, expected) in [(250, 25), (150, 15), (500, 50), (50, 10)] {
        assert_eq!(estimator.wait(PEER, SameRegion, ms(objective)), ms(expected));
        assert_eq!(estimator.wait(PEER, SameDomain, ms(objective)), ms(expected), "unknown");
    }
}

/// With a tenth of 150 ms, every answer over a round trip of 16 ms would count as a timeout.
#[test]
fn wait_covers_a_long_round_trip_and_its_jitter() {
    let estimator = answered_after(&[16, 17, 16, 24, 16, 18, 16, 30, 16, 17], OtherRegion);
    let wait = estimator.wait(PEER, OtherRegion, ms(150));
    assert!((ms(30)..=ms(45)).contains(&wait), "{wait:?}");
}

/// An overloaded peer whose answers take seconds must not hold a request that could still be
/// prefilled elsewhere.
#[test]
fn wait_ends_at_three_tenths_of_the_objective() {
    let estimator = answered_after(&[2_000; 8], SameRegion);
    assert_eq!(estimator.wait(PEER, SameRegion, OBJECTIVE), ms(75));
}

/// Until a peer has answered, those at its distance tell how far away it is; otherwise the first
/// request to each of many coordinators in another region would time out.
#[test]
fn unknown_peer_is_awaited_like_others_at_its_distance() {
    let estimator = answered_after(&[20; 20], OtherRegion);
    assert_eq!(estimator.wait(8, OtherRegion, ms(150)), ms(25));
    assert_eq!(estimator.wait(8, SameRegion, ms(150)), ms(15));
    assert_eq!(Estimator::default().wait(8, OtherRegion, ms(150)), ms(45), "none has answered");
}

/// A link that becomes slow delays all answers beyond the wait. If late answers were not measured,
/// every request over it would time out for good.
#[test]
fn wait_grows_with_answers_that_arrive_late() {
    let mut estimator = answered_after(&[2; 50], OtherRegion);
    let mut timeouts = 0;
    for step in 50..80 {
        timeouts += u32::from(estimator.wait(PEER, OtherRegion, OBJECTIVE) < ms(40));
        estimator.sample(PEER, OtherRegion, ms(40), ms(step * 10));
    }
    assert!(timeouts <= 3, "{timeouts} timeouts");
}

/// On a lossy link, a coordinator that is skipped after each lost datagram is skipped most of the
/// time.
#[test]
fn peer_is_skipped_after_two_consecutive_timeouts() {
    let mut estimator = Estimator::default();
    assert!(!estimator.timed_out(PEER, ms(25), OBJECTIVE, ms(0)));
    estimator.answered(PEER, ms(10));
    assert!(!estimator.timed_out(PEER, ms(25), OBJECTIVE, ms(20)), "it answered in between");
    assert!(estimator.timed_out(PEER, ms(25), OBJECTIVE, ms(30)));
    assert!(estimator.timed_out(PEER, ms(25), OBJECTIVE, ms(600)), "it is still silent");
    assert!(!estimator.timed_out(8, ms(25), OBJECTIVE, ms(600)), "another peer");
    assert!(estimator.timed_out(9, ms(75), OBJECTIVE, ms(600)), "three tenths of the objective");
}
