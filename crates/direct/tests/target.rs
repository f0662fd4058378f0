//! One target as an entry knows it.

use direct::targets::target::{Identity, Target};
use policy::signals::{Signal, Signals};
use std::sync::Arc;
use tokio::time::Instant;

fn target() -> Target {
    let identity = Identity { id: "i-1".into(), incarnation: None };
    let address = "127.0.0.1:1".parse().expect("a valid address");
    Target::new(identity, "s".into(), address, "a".into(), 4, Arc::default())
}

/// Whether something changed.
fn hear(target: &Target, limit: Signal<f64>, now: Instant) -> bool {
    let signals = Signals { limit, ..Signals::default() };
    !target.observe_signals(&signals, now, now).is_empty()
}

/// A target names a limit that nobody can read, in each of its answers. A line for each would fill the log, and
/// taken for none it would get all there is.
#[tokio::test]
async fn a_limit_that_cannot_be_read_is_told_once_and_changes_nothing() {
    let (target, now) = (target(), Instant::now());
    assert!(hear(&target, Signal::Value(5.0), now));
    assert!(hear(&target, Signal::Unreadable, now));
    assert!(!hear(&target, Signal::Unreadable, now));
    assert_eq!(target.limit(), Some(5.0));
    assert!(!hear(&target, Signal::Value(5.0), now));
    assert!(hear(&target, Signal::Unreadable, now));
}

/// Nothing is known of a target that names no limit, and there is nothing to tell its coordinators.
#[tokio::test]
async fn a_target_without_a_limit_has_nothing_to_tell() {
    let (target, now) = (target(), Instant::now());
    assert!(!hear(&target, Signal::Absent, now));
    assert!(!target.begin_limit_report(false, now));
    hear(&target, Signal::Value(5.0), now);
    assert!(target.begin_limit_report(false, now));
    assert!(!target.begin_limit_report(false, now));
    // Its end is told at once, though it was told of just now.
    hear(&target, Signal::Absent, now);
    assert!(target.begin_limit_report(false, now));
}
