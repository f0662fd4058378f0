//! The usage counts that an entry keeps.

use direct::cluster::messages::UsageCounts;
use direct::cluster::usage::Usage;
use std::time::Duration;

fn usage_counts(window: u64) -> UsageCounts {
    UsageCounts { incarnation: 9, window, customers: vec!["north".into()], counts: vec![3] }
}

/// An entry runs for months, with a window every five seconds, and only few entries bill. One that
/// kept the counts of windows billed long ago would run out of memory within days.
#[test]
fn windows_long_past_are_pruned() {
    let usage = Usage::default();
    usage.start(Duration::from_secs(5), 1);
    usage.count(&"south".into(), Duration::ZERO);
    let current = usage.window_at(usage.clock.now()).expect("windows have a length");
    for window in current - 1_000..=current {
        usage.observe(usage_counts(window));
    }
    usage.prune(current);
    let kept = (current - 1_000..=current).filter(|window| !usage.totals(*window).is_empty());
    assert_eq!(kept.count(), 65, "those that may still be billed, and no others");
    assert_eq!(usage.totals(current).get("north"), Some(&3));
}
