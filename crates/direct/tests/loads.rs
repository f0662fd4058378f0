//! What entries learn of engines, and tell each other.

use direct::cluster::entry_state::ServiceLoad;
use direct::cluster::loads::Loads;
use std::time::Duration;

const ASSUMED: f64 = 300_000.0;

fn told(loads: &Loads) -> ServiceLoad {
    loads.snapshot()[0]
}

/// Engines are split by what is asked of all entries. One that counted its own callers alone would
/// plan for a fourth of the load.
#[test]
fn what_is_asked_of_the_others_counts_from_when_they_were_first_heard() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    ours.record_request("s", 1_000);
    theirs.record_request("s", 500_000);
    let first = told(&theirs);
    ours.observe(None, &first);
    assert_eq!(ours.requested_tokens("s"), 1_000, "asked before this entry started");
    theirs.record_request("s", 7_000);
    ours.observe(Some(&first), &told(&theirs));
    assert_eq!(ours.requested_tokens("s"), 8_000);
    // The other one starts again and counts from 0.
    ours.observe(None, &ServiceLoad { requested_tokens: 50, ..first });
    ours.observe(
        Some(&ServiceLoad { requested_tokens: 50, ..first }),
        &ServiceLoad { requested_tokens: 80, ..first },
    );
    assert_eq!(ours.requested_tokens("s"), 8_030);
}

/// Processes are killed together and start beside others that went on. Each would let in five times
/// too many prompts for seconds, until it has learnt how slow the engines are.
#[test]
fn an_entry_that_starts_takes_over_what_the_others_have_learnt() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    for _ in 0..40 {
        theirs.record_prefill("s", ASSUMED, 9_000, Duration::from_millis(155));
        theirs.record_decode("s", 50, Duration::from_millis(200));
    }
    assert!(ours.engine_profile("s", 64).is_none());
    ours.observe(None, &told(&theirs));
    let (pace, known) =
        (ours.engine_profile("s", 64).unwrap(), theirs.engine_profile("s", 64).unwrap());
    assert_eq!(pace, known);
    assert!((50_000.0..70_000.0).contains(&pace.prefill_rate), "{pace:?}");
    assert!((0.003..0.005).contains(&pace.token_time), "{pace:?}");
}

/// Of services that share entries, one reads five times slower than the other.
#[test]
fn each_service_has_a_pace_of_its_own() {
    let loads = Loads::default();
    loads.record_request("slow", 1);
    for _ in 0..40 {
        loads.record_prefill("fast", ASSUMED, 9_000, Duration::from_millis(35));
        loads.record_prefill("slow", ASSUMED, 9_000, Duration::from_millis(155));
    }
    let (fast, slow) = (loads.prefill_rate("fast").unwrap(), loads.prefill_rate("slow").unwrap());
    assert!(fast > 4.0 * slow, "{fast} {slow}");
    assert_eq!((loads.requested_tokens("fast"), loads.requested_tokens("slow")), (0, 1));
}
