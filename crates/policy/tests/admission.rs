//! Admission refuses requests before they wait, with a Retry-After that matches the backlog.

use policy::admission::{Admission, Reason, Refusal, Request, TargetState};
use policy::estimate::{Cost, Rates};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn target(decode: u64) -> TargetState {
    TargetState {
        ahead: Cost::new(0, decode),
        rates: Rates { prefill: 8_000.0, decode: 1_000.0 },
        accepting: true,
    }
}

fn request(seconds: u64) -> Request {
    let deadline = Some(NOW + Duration::from_secs(seconds));
    Request { cost: Cost::new(800, 200), deadline }
}

// There are 30 s of work ahead, and the caller waits for 10 s. If the request were admitted, an
// engine would spend time on a response that nobody reads.
#[test]
fn unreachable_deadline_is_refused_until_backlog_drains() {
    let refusal = Admission::default().decide(&request(10), &target(30_000), NOW);
    // 30 s ahead and 0.1 s of prefill, less the 10 s that it may wait.
    let retry_after = Duration::from_millis(20_100);
    assert_eq!(refusal, Err(Refusal { reason: Reason::DeadlineUnreachable, retry_after }));
}

#[test]
fn fitting_request_is_admitted_with_its_wait() {
    let wait = Admission::default().decide(&request(10), &target(9_000), NOW);
    assert_eq!(wait, Ok(Duration::from_secs(9)));
    let no_deadline = Request { deadline: None, ..request(0) };
    assert!(Admission::default().decide(&no_deadline, &target(90_000), NOW).is_ok());
}

#[test]
fn retry_after_stays_within_bounds() {
    let refused = |work| Admission::default().decide(&request(0), &target(work), NOW).unwrap_err();
    assert_eq!(refused(0).retry_after, Duration::from_secs(1));
    assert_eq!(refused(10_000_000).retry_after, Duration::from_secs(60));
}
