//! What an entry remembers of what customers used.

use direct::cluster::messages::UsageCounts;
use direct::cluster::usage::Usage;
use std::time::Duration;

fn used(window: u64) -> UsageCounts {
    UsageCounts { incarnation: 9, window, customers: vec!["north".into()], counts: vec![3] }
}

/// An entry lives for months, with a window each five seconds, and few of them bill. What each of them
/// remembers of windows that are long billed would fill its memory within days.
#[test]
fn windows_that_are_long_past_are_forgotten() {
    let usage = Usage::default();
    usage.start(Duration::from_secs(5), 1);
    usage.count(&"south".into(), Duration::ZERO);
    let present = usage.window_at(usage.clock.now()).expect("windows have a length");
    for window in present - 1_000..=present {
        usage.observe(used(window));
    }
    usage.prune(present);
    let known = (present - 1_000..=present).filter(|window| !usage.totals(*window).is_empty());
    assert_eq!(known.count(), 65, "those that may still be billed, and no others");
    assert_eq!(usage.totals(present).get("north"), Some(&3));
}
