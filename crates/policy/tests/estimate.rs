//! Prediction of output lengths.

use policy::estimate::{Estimator, Settings};

// One caller asks for verdicts of 3 tokens and another for letters of 2,000, with the same limit
// of 4,096. Estimated by the limit, a verdict would be refused for lack of capacity.
#[test]
fn lengths_are_learned_per_caller() {
    let mut estimator = Estimator::default();
    for _ in 0..60 {
        estimator.learn("relieve", "small", 3);
        estimator.learn("sredets", "small", 2_000);
    }
    let verdict = estimator.cost("relieve", "small", 900, 4_096);
    let letter = estimator.cost("sredets", "small", 900, 4_096);
    assert!((1..=8).contains(&verdict.decode), "{verdict:?}");
    assert!((1_300..=3_000).contains(&letter.decode), "{letter:?}");
    assert_eq!(estimator.cost("sredets", "small", 900, 50).decode, 50);
}

#[test]
fn new_caller_starts_with_the_prediction_of_its_model() {
    let mut estimator = Estimator::default();
    (0..100).for_each(|i| estimator.learn(&format!("caller-{i}"), "small", 20));
    let cost = estimator.cost("new", "small", 10, 0);
    assert!((10..=40).contains(&cost.decode), "{cost:?}");
    assert_eq!(Estimator::default().cost("new", "small", 10, 0).decode, 256);
}

#[test]
fn cached_prompts_cost_less() {
    let mut estimator = Estimator::default();
    (0..60).for_each(|_| estimator.learn_cached("a", "small", 1_000, 900));
    let cost = estimator.cost("a", "small", 1_000, 0);
    assert!((95..=130).contains(&cost.prefill), "{cost:?}");
}

// New callers appear for months. Without a bound, the table of pairs would fill the memory.
#[test]
fn number_of_pairs_is_bounded() {
    let settings = Settings { pairs: 100, ..Settings::default() };
    let mut estimator = Estimator::new(settings);
    for i in 0..10_000 {
        estimator.learn(&format!("caller-{i}"), "small", 20);
        estimator.learn("steady", "small", 900);
    }
    assert!(estimator.pairs() <= 200);
    assert!(
        estimator.cost("steady", "small", 0, 0).decode > 600,
        "the pair of a steady caller was dropped"
    );
}
