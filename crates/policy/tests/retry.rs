//! Retry budgets.

use policy::retry::Budget;
use policy::simulation::Random;
use std::time::Duration;

// A failure domain fails for a moment and every attempt fails. If each request were tried three
// times, the load would triple, just when a third of the fleet is missing.
#[test]
fn retry_storm_adds_a_tenth_of_the_load() {
    let mut budget = Budget::default();
    let mut random = Random::new(3);
    let mut retries = 0;
    for i in 0..20_000u64 {
        let (caller, target) = (format!("c{}", i % 40).into(), format!("t{}", i % 14).into());
        let now = Duration::from_millis(i);
        budget.earn(&caller, &target, now);
        for attempts in 1..3 {
            retries +=
                u64::from(budget.spend(&caller, &target, attempts, now, random.rng()).is_some());
        }
    }
    // A tenth, and the initial balance of 14 targets.
    assert!((1_500..=2_000 + 14 * 16).contains(&retries), "{retries} retries of 20000 requests");
}

// One crash breaks 16 responses. All can be retried at once, since nothing failed before.
#[test]
fn one_crash_is_covered_by_the_initial_budget() {
    let mut budget = Budget::default();
    let mut random = Random::new(3);
    let retries = (0..16).filter(|i| {
        let caller = format!("c{i}").into();
        budget.spend(&caller, &"t".into(), 1, Duration::ZERO, random.rng()).is_some()
    });
    assert_eq!(retries.count(), 16);
}

#[test]
fn backoff_is_jittered_and_doubles_until_attempts_are_used_up() {
    let mut random = Random::new(3);
    let mut longest = |attempts: u32| {
        let wait = |_| {
            let mut budget = Budget::default();
            budget.spend(&"c".into(), &"t".into(), attempts, Duration::ZERO, random.rng())
        };
        (0..200).filter_map(wait).max()
    };
    let first = longest(1).unwrap();
    assert!((Duration::from_millis(40)..=Duration::from_millis(50)).contains(&first), "{first:?}");
    let second = longest(2).unwrap();
    assert!((Duration::from_millis(80)..=Duration::from_millis(100)).contains(&second));
    assert_eq!(longest(3), None);
}
