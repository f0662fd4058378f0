//! Limits of callers over many entries.

use policy::admission::Reason;
use policy::limits::{CallerUsage, Limit, Limits, Settings};
use std::time::Duration;

const LIMIT: Limit = Limit { tokens_per_second: 1_000, concurrency: 0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Tokens let through in a minute of asking for 10 times the limit, by entries that talk or not.
fn let_through(entries: usize, asked: &[usize], talk: bool) -> u64 {
    let mut all: Vec<Limits> = (0..entries).map(|_| Limits::new(Settings::default())).collect();
    all.iter_mut().for_each(|limits| limits.set_entries(entries));
    let caller = "loop".into();
    let mut passed = 0;
    for step in 0..6_000u64 {
        let now = Duration::from_millis(step * 10);
        for entry in asked {
            let opened = all[*entry].open(&caller, LIMIT, 100, now);
            if opened.is_ok() {
                all[*entry].close(&caller, 100, 100);
                passed += 100;
            }
        }
        if talk && step % 100 == 0 {
            let told: Vec<Vec<CallerUsage>> = all.iter().map(|limits| limits.report(now)).collect();
            for (index, limits) in all.iter_mut().enumerate() {
                let others = told.iter().enumerate().filter(|(other, _)| *other != index);
                others.for_each(|(other, told)| limits.observe_peer(other as u64, told, now));
            }
        }
    }
    passed
}

// A caller's loop comes in through all eight entries at once. If each entry let the whole limit
// through, the caller would get eight times what it may.
#[test]
fn the_limit_holds_over_all_entries() {
    let passed = let_through(8, &[0, 1, 2, 3, 4, 5, 6, 7], true);
    assert!((55_000..=72_000).contains(&passed), "{passed} tokens in a minute");
}

// A caller keeps one connection, and so one entry. With an equal share for each entry it would get
// an eighth of what it paid for.
#[test]
fn the_share_follows_the_traffic() {
    let passed = let_through(8, &[3], true);
    assert!((50_000..=70_000).contains(&passed), "{passed} tokens in a minute");
    let without_news = let_through(8, &[3], false);
    assert!(without_news < 10_000, "{without_news} tokens in a minute");
}

#[test]
fn open_requests_are_counted_and_freed() {
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
fn retry_after_is_when_the_tokens_are_there() {
    let mut limits = Limits::new(Settings::default());
    let caller = "a".into();
    assert!(limits.open(&caller, LIMIT, 5_000, at(0)).is_ok());
    let refused = limits.open(&caller, LIMIT, 3_000, at(0)).unwrap_err();
    assert_eq!((refused.reason, refused.retry_after), (Reason::RateLimit, at(3)));
    assert!(limits.open(&caller, LIMIT, 3_000, at(3)).is_ok());
}
