//! The budget of extra attempts over several entries.

use policy::extra_budget::{ExtraBudget, Settings};
use std::time::Duration;

const ENTRIES: u32 = 5;

fn settings() -> Settings {
    Settings { ratio: 0.2, allowance: 56.0, ..Settings::default() }
}

/// All targets of a service fail at once and each entry would repeat all its requests. In no budget
/// may the extra attempts of all entries exceed the operators' bound.
#[test]
fn retry_storm_at_all_entries_stays_within_the_bound() {
    let mut entries: Vec<_> = (0..ENTRIES).map(|_| ExtraBudget::new(settings())).collect();
    let mut extras: Vec<Duration> = Vec::new();
    let mut requests: Vec<Duration> = Vec::new();
    for step in 0..3_000u64 {
        let now = Duration::from_millis(step * 10);
        for (number, entry) in entries.iter_mut().enumerate() {
            if (step + number as u64).is_multiple_of(4) {
                entry.record_request(now);
                requests.push(now);
            }
            if entry.try_spend(ENTRIES, now) {
                extras.push(now);
            }
        }
    }
    let budget = Duration::from_secs(10);
    let count = |times: &[Duration], end: Duration| {
        times.iter().filter(|at| **at <= end && **at + budget > end).count() as f64
    };
    for end in extras.iter().copied() {
        let bound = 0.2 * count(&requests, end) + 56.0;
        assert!(count(&extras, end) <= bound, "{} of {bound} at {end:?}", count(&extras, end));
    }
    assert!(extras.len() > 600, "{} extras", extras.len());
}

#[test]
fn service_without_requests_has_its_part_of_the_allowance() {
    let mut budget = ExtraBudget::new(settings());
    let spent = (0..100).filter(|_| budget.try_spend(ENTRIES, Duration::from_secs(1))).count();
    assert_eq!(spent, 8);
}

#[test]
fn refused_attempts_count_unconditionally() {
    let mut budget = ExtraBudget::new(settings());
    for _ in 0..20 {
        budget.record_extra(Duration::from_secs(1));
    }
    assert!(!budget.try_spend(ENTRIES, Duration::from_secs(2)));
    assert!(budget.try_spend(ENTRIES, Duration::from_secs(13)));
}
