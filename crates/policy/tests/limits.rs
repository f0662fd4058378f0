//! Limits of callers over many entries.

use policy::admission::Reason;
use policy::limits::{CallerUsage, Limit, Limits, Settings};
use std::time::Duration;

const LIMIT: Limit = Limit { tokens_per_second: 1_000, concurrency: 0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns the tokens admitted within a minute of requests at 10 times the limit, by entries that
/// exchange reports or not.
fn admitted(entries: usize, used: &[usize], exchange: bool) -> u64 {
    let mut all: Vec<Limits> = (0..entries).map(|_| Limits::new(Settings::default())).collect();
    all.iter_mut().for_each(|limits| limits.set_entries(entries));
    let caller = "loop".into();
    let mut tokens = 0;
    for step in 0..6_000u64 {
        let now = Duration::from_millis(step * 10);
        for entry in used {
            let opened = all[*entry].open(&caller, LIMIT, 100, now);
            if opened.is_ok() {
                all[*entry].close(&caller, 100, 100);
                tokens += 100;
            }
        }
        if exchange && step % 100 == 0 {
            let reports: Vec<Vec<CallerUsage>> =
                all.iter().map(|limits| limits.report(now)).collect();
            for (index, limits) in all.iter_mut().enumerate() {
                let others = reports.iter().enumerate().filter(|(other, _)| *other != index);
                others.for_each(|(other, report)| limits.observe_peer(other as u64, report, now));
            }
        }
    }
    tokens
}

// A caller's loop sends through all eight entries at once. If each entry admitted the whole limit,
// the caller would get eight times its limit.
#[test]
fn the_limit_holds_over_all_entries() {
    let tokens = admitted(8, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    assert!((55_000..=72_000).contains(&tokens), "{tokens} tokens in a minute");
}

// A caller keeps one connection, and so uses one entry. With an equal share per entry it would get
// an eighth of its limit.
#[test]
fn the_share_follows_the_traffic() {
    let tokens = admitted(8, &[3], true);
    assert!((50_000..=70_000).contains(&tokens), "{tokens} tokens in a minute");
    let without_reports = admitted(8, &[3], false);
    assert!(without_reports < 10_000, "{without_reports} tokens in a minute");
}

#[test]
fn open_requests_are_counted_and_released() {
    let mut limits = Limits::new(Settings::default());
    let limit = Limit { tokens_per_second: 0, concurrency: 2 };
    let caller = "a".into();
    assert!(limits.open(&caller, limit, 10, at(0)).is_ok());
    assert!(limits.open(&caller, limit, 10, at(0)).is_ok());
    let refused = limits.open(&caller, limit, 10, at(0)).unwrap_err();
    assert_eq!(refused.reason, Reason::ConcurrencyLimit);
    limits.close(&caller, 10, 10);
    assert!(limits.open(&caller, limit, 10, at(0)).is_ok());
}

#[test]
fn retry_after_is_when_enough_tokens_are_available() {
    let mut limits = Limits::new(Settings::default());
    let caller = "a".into();
    assert!(limits.open(&caller, LIMIT, 5_000, at(0)).is_ok());
    let refused = limits.open(&caller, LIMIT, 3_000, at(0)).unwrap_err();
    assert_eq!((refused.reason, refused.retry_after), (Reason::RateLimit, at(3)));
    assert!(limits.open(&caller, LIMIT, 3_000, at(3)).is_ok());
}
