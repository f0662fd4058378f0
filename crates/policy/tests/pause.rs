//! How long a target is left alone that asked for it, and how it gets its work back.

use policy::pause::Pause;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Requests that one entry sends from `from` to `to` if it has one each millisecond.
fn sent(pause: &mut Pause, from: u64, to: u64) -> usize {
    (from..to).filter(|now| pause.take(ms(*now)).is_ok()).count()
}

/// A pause is for all of its time: what the rule lets pass besides is for requests on their way.
#[test]
fn nothing_is_sent_in_a_pause() {
    let mut pause = Pause::default();
    assert!(pause.begin(ms(3_000), ms(1_000)));
    assert_eq!(sent(&mut pause, 1_000, 4_000), 0);
    assert_eq!(pause.look(ms(1_500)), Err(ms(2_500)));
    assert_eq!(pause.look(ms(4_000)), Ok(()));
}

/// Rejections and answers overtake each other. A shorter pause that comes later doesn't end a longer one, nor does an
/// answer to a request sent before it.
#[test]
fn a_pause_is_lengthened_and_never_shortened() {
    let mut pause = Pause::default();
    assert!(pause.begin(ms(3_000), ms(0)));
    assert!(!pause.begin(ms(1_000), ms(100)));
    assert!(!pause.answered(ms(0), ms(200)));
    assert_eq!(pause.look(ms(200)), Err(ms(2_800)));
    assert!(pause.begin(ms(3_000), ms(1_000)));
    assert_eq!(sent(&mut pause, 1_000, 4_000), 0);
}

/// A target that is not well yet after a pause must not get all that waited for it, nor be left alone for good when
/// the one request that it gets is never answered.
#[test]
fn single_requests_show_whether_a_target_is_well() {
    let mut pause = Pause::default();
    pause.begin(ms(1_000), ms(0));
    assert_eq!(sent(&mut pause, 1_000, 2_500), 3);
    assert!(pause.begin(ms(1_000), ms(2_500)));
    assert_eq!(sent(&mut pause, 2_500, 3_500), 0);
}

/// A target that is well again gets its work back by degrees, and all of it in the end.
#[test]
fn work_comes_back_by_degrees() {
    let mut pause = Pause::default();
    pause.begin(ms(1_000), ms(0));
    assert_eq!(sent(&mut pause, 1_000, 1_010), 1);
    assert!(pause.answered(ms(1_000), ms(1_010)));
    assert!(!pause.answered(ms(1_000), ms(1_011)));
    let quarters: Vec<usize> =
        (0..8).map(|step| sent(&mut pause, 1_010 + step * 250, 1_260 + step * 250)).collect();
    assert_eq!(quarters, [3, 4, 8, 16, 32, 64, 128, 231]);
    assert_eq!(sent(&mut pause, 3_010, 3_110), 100);
}

/// Most targets never ask for a pause, and a pause of nothing is none.
#[test]
fn without_a_pause_nothing_is_held_back() {
    let mut pause = Pause::default();
    assert!(!pause.begin(Duration::ZERO, ms(5)));
    assert!(!pause.answered(ms(5), ms(6)));
    assert_eq!(sent(&mut pause, 0, 100), 100);
}
