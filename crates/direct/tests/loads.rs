//! What entries measure of engines and report to each other.

use direct::cluster::entry_state::ServiceLoad;
use direct::cluster::loads::Loads;
use std::time::Duration;

const DEFAULT_PREFILL_RATE: f64 = 300_000.0;
const WAIT: Duration = Duration::from_millis(100);

fn load_of(loads: &Loads) -> ServiceLoad {
    loads.snapshot(Duration::ZERO)[0]
}

/// The split of engines follows the requests to all entries. An entry that counted only its own
/// would plan for a fourth of the load.
#[test]
fn requests_to_peers_count_from_their_first_report() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    ours.record_request("s", 1_000, WAIT);
    theirs.record_request("s", 500_000, WAIT);
    let first = load_of(&theirs);
    ours.observe(None, &first);
    assert_eq!(ours.requested_tokens("s"), 1_000, "requested before this entry started");
    theirs.record_request("s", 7_000, WAIT);
    ours.observe(Some(&first), &load_of(&theirs));
    assert_eq!(ours.requested_tokens("s"), 8_000);
    // The other entry restarts and counts from 0.
    ours.observe(None, &ServiceLoad { requested_tokens: 50, ..first });
    ours.observe(
        Some(&ServiceLoad { requested_tokens: 50, ..first }),
        &ServiceLoad { requested_tokens: 80, ..first },
    );
    assert_eq!(ours.requested_tokens("s"), 8_030);
}

/// Processes are killed together and restart beside others that kept running. Each would admit five
/// times too many prompts for seconds, until it has measured how slow the engines are.
#[test]
fn a_starting_entry_adopts_what_its_peers_have_measured() {
    let (ours, theirs) = (Loads::default(), Loads::default());
    for _ in 0..40 {
        theirs.record_prefill("s", DEFAULT_PREFILL_RATE, 9_000, Duration::from_millis(155));
        theirs.record_decode("s", 50, Duration::from_millis(200), Duration::ZERO);
    }
    assert!(ours.engine_profile("s", 64).is_none());
    ours.observe(None, &load_of(&theirs));
    let (profile, expected) =
        (ours.engine_profile("s", 64).unwrap(), theirs.engine_profile("s", 64).unwrap());
    assert_eq!(profile, expected);
    assert!((50_000.0..70_000.0).contains(&profile.prefill_rate), "{profile:?}");
    assert!((0.003..0.005).contains(&profile.token_time), "{profile:?}");
}

/// Of two services that share entries, one prefills five times slower than the other.
#[test]
fn each_service_has_its_own_profile() {
    let loads = Loads::default();
    loads.record_request("slow", 1, WAIT);
    for _ in 0..40 {
        loads.record_prefill("fast", DEFAULT_PREFILL_RATE, 9_000, Duration::from_millis(35));
        loads.record_prefill("slow", DEFAULT_PREFILL_RATE, 9_000, Duration::from_millis(155));
    }
    let (fast, slow) = (loads.prefill_rate("fast").unwrap(), loads.prefill_rate("slow").unwrap());
    assert!(fast > 4.0 * slow, "{fast} {slow}");
    assert_eq!((loads.requested_tokens("fast"), loads.requested_tokens("slow")), (0, 1));
}
