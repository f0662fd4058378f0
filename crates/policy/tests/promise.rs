//! Promises for first pieces, and what became of them.

use policy::prefill::{self, PrefillCandidate, Prompt, Settings};
use policy::promise::{Estimator, Parts};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engine(queued_tokens: u64) -> PrefillCandidate {
    PrefillCandidate {
        key: policy::hash("i-1"),
        decodes: false,
        queued_tokens,
        recent_tokens: 0,
        cached_tokens: 0,
        slot_usage: 0.0,
        transfer_excess: ms(10),
        domain: 0,
        pace: policy::pace::Summary::default(),
    }
}

fn prompt() -> Prompt {
    let (tokens, objective) = (9_000, ms(250));
    Prompt { prefix_hash: 1, tokens, objective, late: false, short_output: true }
}

/// First pieces are late although their engines were reserved in time. If the parts did not add up
/// to the whole, the part that makes them late would be missing.
#[test]
fn parts_add_up_to_the_time_of_the_first_piece() {
    let parts = Parts::new(ms(332), ms(150), ms(120), ms(12));
    let expected = Parts { prefill: ms(150), network: ms(62), transfer: ms(12), slot: ms(108) };
    assert_eq!(parts, expected);
    let fast = Parts::new(ms(40), Duration::ZERO, ms(8), ms(12));
    assert_eq!((fast.transfer, fast.slot, fast.network), (ms(8), ms(0), ms(32)));
}

/// The promise has to be what the decision counted. Any other figure would show a difference that
/// no request has met.
#[test]
fn promise_is_what_the_decision_counted() {
    let settings = Settings::default();
    let promise = |prompt| prefill::promise(&settings, &prompt, &engine(21_000), 9_000);
    let promised = promise(prompt()).expect("the objective has not passed");
    assert_eq!((promised.prefill, promised.reserve), (ms(110), ms(75)));
    assert_eq!(prefill::max_duration(&settings, &prompt()) + promised.reserve, ms(250));
    assert_eq!(promise(Prompt { late: true, ..prompt() }), None);
}

/// An estimator with the excesses of `count` first pieces, one each 50 ms: 1 ms, 2 ms and so on.
fn estimator(count: u64) -> Estimator {
    let mut estimator = Estimator::default();
    (1..=count).for_each(|number| estimator.record(ms(number), ms(number * 50)));
    estimator
}

/// One first piece was late by an accident. If the longest of a few values counted, a lightly
/// loaded pool would refuse prompts.
#[test]
fn estimate_needs_some_values_and_ignores_the_longest() {
    assert_eq!(estimator(19).get(ms(1_000)), None);
    assert_eq!(estimator(20).get(ms(1_000)), Some(ms(19)));
    assert_eq!(estimator(100).get(ms(5_000)), Some(ms(97)), "the latest 64 count");
}

/// An entry is cut off from the engines, or its callers have left. What it learned in a surge must
/// not hold for the next one.
#[test]
fn estimate_ages_out() {
    let estimator = estimator(60);
    assert!(estimator.get(ms(12_000)).is_some());
    assert_eq!(estimator.get(ms(12_500)), None, "fewer than 20 are younger than 10 s");
}

/// First pieces wait 110 ms for slots and the network, where 75 ms are reserved. Prompts that are
/// promised 175 of 250 ms are late. With a short excess the queues must not become longer.
#[test]
fn learned_excess_shortens_the_time_for_prefill_but_never_extends_it() {
    let allowed = |excess: Option<u64>, prompt: Prompt| {
        let settings = Settings { learned_reserve: excess.map(ms), ..Settings::default() };
        prefill::max_duration(&settings, &prompt).as_millis()
    };
    let excesses = [None, Some(0), Some(75), Some(110), Some(3_000)];
    assert_eq!(excesses.map(|excess| allowed(excess, prompt())), [175, 175, 175, 140, 125]);
    let short = Prompt { objective: ms(100), ..prompt() };
    assert_eq!([None, Some(75)].map(|excess| allowed(excess, short)), [30, 30]);
}
