//! Requests that ran when a target crashed.

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

// One request crashes each target that runs it, and its caller sends it again and again through
// all entries. What stands in the log decides, so it does not matter which entry, or whether that
// entry was restarted since.
#[test]
fn a_poisonous_request_takes_down_two_targets() {
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
fn a_suspect_runs_alone_and_one_trial_at_a_time() {
    let suspect = CrashHistory { crashes: 1, ..CrashHistory::default() };
    assert_eq!(verdict(suspect), Verdict::Alone);
    assert_eq!(verdict(CrashHistory { running_alone: true, ..suspect }), Verdict::Wait);
}

// Fifteen innocent requests ran beside the poisonous one. Once one of them has run to its end, the
// log holds no crash against it.
#[test]
fn a_request_that_was_cleared_runs_like_any_other() {
    assert_eq!(verdict(CrashHistory::default()), Verdict::Normal);
}

// Two entries sent it out before the first crash was in the log.
#[test]
fn two_crashes_in_company_are_enough() {
    assert_eq!(verdict(CrashHistory { crashes: 2, ..CrashHistory::default() }), Verdict::Refuse);
}
