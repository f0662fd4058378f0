//! Detection of retried requests.

use policy::retry_detection::{Attempt, RetryDetector};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// In a burst, every second request is the retry of one that was refused 300 ms ago. If they were
/// treated alike, each retry would make a first attempt late.
#[test]
fn request_with_less_time_left_is_a_retry() {
    let mut detector = RetryDetector::default();
    for _ in 0..2_000 {
        assert!(!detector.is_retry(ms(2_000), OBJECTIVE));
        assert!(!detector.is_retry(ms(1_990), OBJECTIVE), "10 ms of network latency");
        assert!(detector.is_retry(ms(1_700), OBJECTIVE));
    }
}

/// A target refused, and the caller retried 60 ms later with 90 ms left of its objective. Placed as if
/// it had all of it, the request would be late, and displace one that could be in time.
#[test]
fn soon_retry_has_the_rest_of_its_objective() {
    let mut detector = RetryDetector::default();
    let mut attempt = |left| {
        let Attempt { is_late, since_first } = detector.attempt(ms(left), OBJECTIVE);
        (is_late, since_first)
    };
    for _ in 0..2_000 {
        assert_eq!(attempt(2_000), (false, ms(0)));
        assert_eq!(attempt(1_990), (false, ms(0)), "10 ms of network latency");
        assert_eq!(attempt(1_940), (false, ms(60)));
        assert_eq!(attempt(1_700), (true, ms(300)));
    }
}

/// One caller waits for a minute where all others wait for two seconds. By its time all requests
/// would look like retries, and would get only the capacity of retries while engines are idle.
#[test]
fn one_caller_with_a_long_timeout_has_no_lasting_effect() {
    let mut detector = RetryDetector::default();
    detector.is_retry(ms(60_000), OBJECTIVE);
    let late = (0..3_000).filter(|_| detector.is_retry(ms(2_000), OBJECTIVE)).count();
    assert!(late <= 10, "{late}");
    // Once its time has expired, retries are detected again.
    assert!(detector.is_retry(ms(1_500), OBJECTIVE));
}

/// Callers of a route send any time between one and ten seconds, so a shorter time proves nothing.
#[test]
fn nothing_is_a_retry_where_callers_differ() {
    let mut detector = RetryDetector::default();
    let late = (0..5_000u64).filter(|n| detector.is_retry(ms(1_000 + n * 7 % 9_000), OBJECTIVE));
    assert!(late.count() <= 50);
    let passed = (0..5_000u64)
        .filter(|n| !detector.attempt(ms(1_000 + n * 7 % 9_000), OBJECTIVE).since_first.is_zero());
    assert_eq!(passed.count(), 0);
}
