//! Which requests have waited already.

use policy::retry_detection::RetryDetector;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(150);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// In a burst every second request is one that was refused 300 ms ago. Read on equal terms, each of
/// them makes a fresh one late.
#[test]
fn a_caller_that_comes_back_with_less_time_left_has_waited() {
    let mut patience = RetryDetector::default();
    for _ in 0..2_000 {
        assert!(!patience.is_retry(ms(2_000), OBJECTIVE));
        assert!(!patience.is_retry(ms(1_990), OBJECTIVE), "the way here took 10 ms");
        assert!(patience.is_retry(ms(1_700), OBJECTIVE));
    }
}

/// One caller waits a minute where all others wait two seconds. Judged by it all would seem to have
/// waited, and would get the room of latecomers while engines are idle.
#[test]
fn one_very_patient_caller_makes_nobody_late() {
    let mut patience = RetryDetector::default();
    patience.is_retry(ms(60_000), OBJECTIVE);
    let late = (0..3_000).filter(|_| patience.is_retry(ms(2_000), OBJECTIVE)).count();
    assert!(late <= 10, "{late}");
    // Once it is forgotten, those that come back are told apart again.
    assert!(patience.is_retry(ms(1_500), OBJECTIVE));
}

/// Callers of a route give any time between one and ten seconds. Less time says nothing then.
#[test]
fn where_callers_differ_nobody_has_waited() {
    let mut patience = RetryDetector::default();
    let late = (0..5_000u64).filter(|n| patience.is_retry(ms(1_000 + n * 7 % 9_000), OBJECTIVE));
    assert!(late.count() <= 50);
}
