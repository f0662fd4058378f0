//! The signals of one target, as an entry observes them.

use direct::targets::target::{Identity, Target};
use policy::signals::{Signal, Signals};
use std::sync::Arc;
use tokio::time::Instant;

fn target() -> Target {
    let identity = Identity { id: "i-1".into(), incarnation: None };
    let address = "127.0.0.1:1".parse().expect("a valid address");
    Target::new(identity, "s".into(), address, "a".into(), 4, Arc::default())
}

/// Observes a limit; returns whether something changed.
fn observe_limit(target: &Target, limit: Signal<f64>, now: Instant) -> bool {
    let signals = Signals { limit, ..Signals::default() };
    !target.observe_signals(&signals, now, now).is_empty()
}

/// A target names an unreadable limit in each of its responses. A log line for each would fill the
/// log, and if it counted as no limit, the target would get unlimited requests.
#[tokio::test]
async fn an_unreadable_limit_is_reported_once_and_changes_nothing() {
    let (target, now) = (target(), Instant::now());
    assert!(observe_limit(&target, Signal::Value(5.0), now));
    assert!(observe_limit(&target, Signal::Unreadable, now));
    assert!(!observe_limit(&target, Signal::Unreadable, now));
    assert_eq!(target.limit(), Some(5.0));
    assert!(!observe_limit(&target, Signal::Value(5.0), now));
    assert!(observe_limit(&target, Signal::Unreadable, now));
}

/// A target that names no limit has nothing to report to its coordinators.
#[tokio::test]
async fn a_target_without_a_limit_reports_nothing() {
    let (target, now) = (target(), Instant::now());
    assert!(!observe_limit(&target, Signal::Absent, now));
    assert!(!target.begin_limit_report(false, now));
    observe_limit(&target, Signal::Value(5.0), now);
    assert!(target.begin_limit_report(false, now));
    assert!(!target.begin_limit_report(false, now));
    // The end of a limit is reported at once, though a report was sent just before.
    observe_limit(&target, Signal::Absent, now);
    assert!(target.begin_limit_report(false, now));
}
