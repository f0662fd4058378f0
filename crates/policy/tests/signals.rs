//! What follows from what a target says of itself.

use policy::signals::{Change, Closed, Said, Signals, Standing};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn leaves() -> Signals {
    Signals { leaving: Said::Value(true), ..Signals::default() }
}

fn pauses(span: Duration) -> Signals {
    Signals { pause: Said::Value(span), ..Signals::default() }
}

/// A target that leaves says so once more in an answer that overtook others, which say nothing. It stays leaving, and
/// is told once.
#[test]
fn leaving_holds_for_good() {
    let mut standing = Standing::default();
    assert_eq!(standing.hear(&leaves(), ms(0), ms(5)), [Change::Leaves]);
    assert_eq!(standing.hear(&leaves(), ms(1), ms(6)), []);
    let stays = Signals { leaving: Said::Value(false), ..Signals::default() };
    assert_eq!(standing.hear(&stays, ms(7), ms(8)), []);
    assert_eq!(standing.hear(&Signals::default(), ms(9), ms(10)), []);
    assert_eq!(standing.look(ms(99)), Err(Closed::Leaving));
}

/// Dozens of requests on their way are rejected together. They are one pause in the log, and its end another line.
#[test]
fn a_pause_is_told_when_it_begins_and_when_it_is_over() {
    let mut standing = Standing::default();
    let span = ms(100);
    let began = [Change::Pauses { span, is_new: true }];
    assert_eq!(standing.hear(&pauses(span), ms(0), ms(10)), began);
    let longer = [Change::Pauses { span, is_new: false }];
    assert_eq!(standing.hear(&pauses(span), ms(0), ms(20)), longer);
    assert_eq!(standing.take(ms(119)), Err(Closed::Paused));
    assert_eq!(standing.hear(&Signals::default(), ms(9), ms(119)), []);
    assert_eq!(standing.take(ms(120)), Ok(()));
    assert_eq!(standing.take(ms(121)), Err(Closed::Paused));
    assert_eq!(standing.hear(&Signals::default(), ms(120), ms(125)), [Change::Resumes]);
    assert_eq!(standing.take(ms(126)), Ok(()));
}

/// A value that can't be read leaves in force what was known, and fills no log.
#[test]
fn what_can_not_be_read_changes_nothing() {
    let mut standing = Standing::default();
    standing.hear(&pauses(ms(100)), ms(0), ms(0));
    standing.hear(&Signals { limit: Said::Value(5.0), ..Signals::default() }, ms(0), ms(0));
    let unreadable =
        Signals { limit: Said::Unreadable, leaving: Said::Unreadable, pause: Said::Unreadable };
    let told =
        [Change::Unreadable("limit"), Change::Unreadable("leaving"), Change::Unreadable("pause")];
    assert_eq!(standing.hear(&unreadable, ms(1), ms(2)), told);
    assert_eq!(standing.hear(&unreadable, ms(2), ms(3)), []);
    assert_eq!(standing.look(ms(50)), Err(Closed::Paused));
    assert_eq!(standing.limit().rate(), Some(5.0));
    assert!(!standing.is_leaving());
}

/// A target's entry vanishes from the list in an outage and comes back. Its pause goes on, and so does its leaving.
#[test]
fn a_life_that_is_listed_again_is_as_it_said() {
    let standing = Standing::restored(false, Some(ms(70)));
    assert_eq!(standing.look(ms(69)), Err(Closed::Paused));
    assert_eq!(standing.look(ms(70)), Ok(()));
    assert_eq!(Standing::restored(true, None).look(ms(0)), Err(Closed::Leaving));
}
