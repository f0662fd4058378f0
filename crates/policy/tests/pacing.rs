//! What a target that named a limit gets from all entries together.

use policy::pacing::Limit;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Answers overtake one another: one that the target made before it was in need comes after one with
/// its limit. Taken at its word it would let all requests through again.
#[test]
fn an_answer_that_was_overtaken_ends_no_limit() {
    let mut limit = Limit::default();
    assert!(limit.hear(Some(10.0), ms(0), ms(100)));
    assert!(!limit.hear(None, ms(50), ms(110)));
    assert!(!limit.hear(Some(40.0), ms(99), ms(120)));
    assert_eq!(limit.rate(), Some(10.0));
    assert!(limit.hear(Some(40.0), ms(101), ms(130)));
    assert!(limit.hear(None, ms(131), ms(140)));
    assert_eq!(limit.rate(), None);
}

/// The target needs more relief than before. Its answer counts whenever it was asked for.
#[test]
fn a_lower_limit_counts_at_once() {
    let mut limit = Limit::default();
    limit.hear(Some(10.0), ms(0), ms(100));
    assert!(limit.hear(Some(4.0), ms(0), ms(90)));
    assert_eq!((limit.rate(), limit.heard()), (Some(4.0), ms(100)));
}
