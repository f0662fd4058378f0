//! Refusals before the wait, with a truthful Retry-After.

use policy::admission::{Admission, Reason, Refusal, Request, TargetState};
use policy::estimate::{Cost, Rates};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn view(decode: u64) -> TargetState {
    TargetState {
        ahead: Cost::new(0, decode),
        rates: Rates { prefill: 8_000.0, decode: 1_000.0 },
        accepting: true,
    }
}

fn ask(seconds: u64) -> Request {
    let deadline = Some(NOW + Duration::from_secs(seconds));
    Request { cost: Cost::new(800, 200), deadline }
}

// A crowd has left 30 s of work ahead, and the caller waits for 10. Letting it in would spend an
// engine's time on an answer that nobody reads.
#[test]
fn what_cannot_meet_its_deadline_is_refused_until_the_backlog_has_shrunk() {
    let refusal = Admission::default().decide(&ask(10), &view(30_000), NOW);
    // 30 s ahead and 0.1 s of reading, less the 10 s that it may wait.
    let retry_after = Duration::from_millis(20_100);
    assert_eq!(refusal, Err(Refusal { reason: Reason::DeadlineUnreachable, retry_after }));
}

#[test]
fn what_fits_is_admitted_and_told_its_wait() {
    let wait = Admission::default().decide(&ask(10), &view(9_000), NOW);
    assert_eq!(wait, Ok(Duration::from_secs(9)));
    let patient = Request { deadline: None, ..ask(0) };
    assert!(Admission::default().decide(&patient, &view(90_000), NOW).is_ok());
}

#[test]
fn retry_after_stays_within_bounds() {
    let refused = |work| Admission::default().decide(&ask(0), &view(work), NOW).unwrap_err();
    assert_eq!(refused(0).retry_after, Duration::from_secs(1));
    assert_eq!(refused(10_000_000).retry_after, Duration::from_secs(60));
}
