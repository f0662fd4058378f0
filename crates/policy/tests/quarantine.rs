//! Quarantine of requests that ran when a target crashed.

use policy::quarantine::{CrashHistory, CrashRecords, Quarantine, Verdict};
use std::cell::Cell;

struct Log(Cell<CrashHistory>);

impl CrashRecords for Log {
    fn history(&self, _: u64) -> CrashHistory {
        self.0.get()
    }
}

fn verdict(history: CrashHistory) -> Verdict {
    Quarantine::default().decide(&Log(Cell::new(history)), 7)
}

// One request crashes each target that runs it, and its caller sends it repeatedly through all
// entries. The decision depends only on the log, so neither the entry nor a restart of it makes a
// difference.
#[test]
fn harmful_request_crashes_two_targets() {
    let log = Log(Cell::default());
    let mut crashes = 0;
    for _ in 0..50 {
        let verdict = Quarantine::default().decide(&log, 7);
        let mut history = log.0.get();
        match verdict {
            Verdict::Normal => history.crashes += 1,
            Verdict::Alone => {
                history.crashes += 1;
                history.alone += 1;
            }
            Verdict::Wait | Verdict::Refuse => continue,
        }
        crashes += 1;
        log.0.set(history);
    }
    assert_eq!(crashes, 2);
}

#[test]
fn suspect_runs_alone_and_on_one_target_at_a_time() {
    let suspect = CrashHistory { crashes: 1, ..CrashHistory::default() };
    assert_eq!(verdict(suspect), Verdict::Alone);
    assert_eq!(verdict(CrashHistory { running_alone: true, ..suspect }), Verdict::Wait);
}

// Fifteen harmless requests ran beside the harmful one. Once one of them has run to its end, the
// log contains no crash for it.
#[test]
fn cleared_request_runs_like_any_other() {
    assert_eq!(verdict(CrashHistory::default()), Verdict::Normal);
}

// Two entries sent the request before the first crash was in the log.
#[test]
fn two_crashes_among_other_requests_suffice() {
    assert_eq!(verdict(CrashHistory { crashes: 2, ..CrashHistory::default() }), Verdict::Refuse);
}
