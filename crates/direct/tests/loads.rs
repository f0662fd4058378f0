//! What entries learn of engines, and tell each other.

use direct::cluster::datagram::ServiceLoad;
use direct::cluster::loads::Loads;
use std::time::Duration;

const ASSUMED: f64 = 300_000.0;

fn told(loads: &Loads) -> ServiceLoad {
    loads.tell()[0]
}

/// Engines are split by what is asked of all entries. One that counted its own callers alone would
/// plan for a fourth of the load.
#[test]
fn what_is_asked_of_the_others_counts_from_when_they_were_first_heard() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    ours.ask("s", 1_000);
    theirs.ask("s", 500_000);
    let first = told(&theirs);
    ours.hear(None, &first);
    assert_eq!(ours.asked("s"), 1_000, "asked before this entry started");
    theirs.ask("s", 7_000);
    ours.hear(Some(&first), &told(&theirs));
    assert_eq!(ours.asked("s"), 8_000);
    // The other one starts again and counts from 0.
    ours.hear(None, &ServiceLoad { asked: 50, ..first });
    ours.hear(Some(&ServiceLoad { asked: 50, ..first }), &ServiceLoad { asked: 80, ..first });
    assert_eq!(ours.asked("s"), 8_030);
}

/// Processes are killed together and start beside others that went on. Each would let in five times
/// too many prompts for seconds, until it has learnt how slow the engines are.
#[test]
fn an_entry_that_starts_takes_over_what_the_others_have_learnt() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    for _ in 0..40 {
        theirs.read("s", ASSUMED, 9_000, Duration::from_millis(155));
        theirs.wrote("s", 50, Duration::from_millis(200));
    }
    assert!(ours.pace("s", 64).is_none());
    ours.hear(None, &told(&theirs));
    let (pace, known) = (ours.pace("s", 64).unwrap(), theirs.pace("s", 64).unwrap());
    assert_eq!(pace, known);
    assert!((50_000.0..70_000.0).contains(&pace.reading), "{pace:?}");
    assert!((0.003..0.005).contains(&pace.step), "{pace:?}");
}

/// Of services that share entries, one reads five times slower than the other.
#[test]
fn each_service_has_a_pace_of_its_own() {
    let loads = Loads::default();
    loads.ask("slow", 1);
    for _ in 0..40 {
        loads.read("fast", ASSUMED, 9_000, Duration::from_millis(35));
        loads.read("slow", ASSUMED, 9_000, Duration::from_millis(155));
    }
    let (fast, slow) = (loads.rate("fast").unwrap(), loads.rate("slow").unwrap());
    assert!(fast > 4.0 * slow, "{fast} {slow}");
    assert_eq!((loads.asked("fast"), loads.asked("slow")), (0, 1));
}
