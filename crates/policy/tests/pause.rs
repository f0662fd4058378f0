//! Pauses that targets ask for, and how load resumes afterwards.

use policy::pause::Pause;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns how many requests one entry sends from `from` to `to` if it has one each millisecond.
fn sent(pause: &mut Pause, from: u64, to: u64) -> usize {
    (from..to).filter(|now| pause.acquire(ms(*now)).is_ok()).count()
}

/// Nothing may be sent during the whole pause: the requests that the rule tolerates are for those
/// already in flight.
#[test]
fn nothing_is_sent_during_a_pause() {
    let mut pause = Pause::default();
    assert!(pause.begin(ms(3_000), ms(1_000)));
    assert_eq!(sent(&mut pause, 1_000, 4_000), 0);
    assert_eq!(pause.check(ms(1_500)), Err(ms(2_500)));
    assert_eq!(pause.check(ms(4_000)), Ok(()));
}

/// Rejections and responses overtake each other. Neither a shorter pause that is received later nor
/// the response to a request sent before the pause ends a longer one.
#[test]
fn pause_is_extended_but_never_shortened() {
    let mut pause = Pause::default();
    assert!(pause.begin(ms(3_000), ms(0)));
    assert!(!pause.begin(ms(1_000), ms(100)));
    assert!(!pause.observe_response(ms(0), ms(200)));
    assert_eq!(pause.check(ms(200)), Err(ms(2_800)));
    assert!(pause.begin(ms(3_000), ms(1_000)));
    assert_eq!(sent(&mut pause, 1_000, 4_000), 0);
}

/// A target that has not recovered after a pause must not get all waiting requests. Nor must it
/// stay without requests forever if the single probe request is never answered.
#[test]
fn single_requests_probe_whether_a_target_has_recovered() {
    let mut pause = Pause::default();
    pause.begin(ms(1_000), ms(0));
    assert_eq!(sent(&mut pause, 1_000, 2_500), 3);
    assert!(pause.begin(ms(1_000), ms(2_500)));
    assert_eq!(sent(&mut pause, 2_500, 3_500), 0);
}

/// A target that has recovered gets its load back gradually, and all of it in the end.
#[test]
fn load_resumes_gradually() {
    let mut pause = Pause::default();
    pause.begin(ms(1_000), ms(0));
    assert_eq!(sent(&mut pause, 1_000, 1_010), 1);
    assert!(pause.observe_response(ms(1_000), ms(1_010)));
    assert!(!pause.observe_response(ms(1_000), ms(1_011)));
    let quarters: Vec<usize> =
        (0..8).map(|step| sent(&mut pause, 1_010 + step * 250, 1_260 + step * 250)).collect();
    assert_eq!(quarters, [3, 4, 8, 16, 32, 64, 128, 231]);
    assert_eq!(sent(&mut pause, 3_010, 3_110), 100);
}

/// Most targets never ask for a pause, and a pause of zero length is none.
#[test]
fn nothing_is_delayed_without_a_pause() {
    let mut pause = Pause::default();
    assert!(!pause.begin(Duration::ZERO, ms(5)));
    assert!(!pause.observe_response(ms(5), ms(6)));
    assert_eq!(sent(&mut pause, 0, 100), 100);
}
