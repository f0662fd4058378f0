//! Promises for first pieces, and what became of them.

use policy::prefill::{self, PrefillCandidate, Prompt, Settings};
use policy::promise::Parts;
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
