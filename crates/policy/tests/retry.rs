//! Budgets of retries.

use policy::retry::Budget;
use policy::simulation::Random;
use std::time::Duration;

// A failure domain blinks and every attempt fails for a while. Each request tried three times
// would be three times the load, just when a third of the fleet is missing.
#[test]
fn a_storm_of_retries_adds_a_tenth_of_the_load() {
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
    // A tenth, and what was saved up for 14 targets before.
    assert!((1_500..=2_000 + 14 * 16).contains(&retries), "{retries} retries of 20000 requests");
}

// One crash takes 16 answers with it. All can be tried again at once, since nothing failed before.
#[test]
fn one_crash_costs_nobody_an_answer() {
    let mut budget = Budget::default();
    let mut random = Random::new(3);
    let retries = (0..16).filter(|i| {
        let caller = format!("c{i}").into();
        budget.spend(&caller, &"t".into(), 1, Duration::ZERO, random.rng()).is_some()
    });
    assert_eq!(retries.count(), 16);
}

#[test]
fn waits_are_spread_and_grow_and_attempts_end() {
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
