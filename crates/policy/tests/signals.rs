//! What follows from what a target says of itself.

use policy::signals::{Change, Closed, Signal, SignalState, Signals, until_open};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn leaves() -> Signals {
    Signals { leaving: Signal::Value(true), ..Signals::default() }
}

fn pauses(span: Duration) -> Signals {
    Signals { pause: Signal::Value(span), ..Signals::default() }
}

/// A target that leaves says so once more in an answer that overtook others, which say nothing. It stays leaving, and
/// is told once.
#[test]
fn leaving_holds_for_good() {
    let mut standing = SignalState::default();
    assert_eq!(standing.observe(&leaves(), ms(0), ms(5)), [Change::Leaves]);
    assert_eq!(standing.observe(&leaves(), ms(1), ms(6)), []);
    let stays = Signals { leaving: Signal::Value(false), ..Signals::default() };
    assert_eq!(standing.observe(&stays, ms(7), ms(8)), []);
    assert_eq!(standing.observe(&Signals::default(), ms(9), ms(10)), []);
    assert_eq!(standing.check_open(ms(99)), Err(Closed::Leaving));
}

/// Dozens of requests on their way are rejected together. They are one pause in the log, and its end another line.
#[test]
fn a_pause_is_told_when_it_begins_and_when_it_is_over() {
    let mut standing = SignalState::default();
    let span = ms(100);
    let began = [Change::Pauses { span, is_new: true }];
    assert_eq!(standing.observe(&pauses(span), ms(0), ms(10)), began);
    let longer = [Change::Pauses { span, is_new: false }];
    assert_eq!(standing.observe(&pauses(span), ms(0), ms(20)), longer);
    assert_eq!(standing.acquire(ms(119)), Err(Closed::Paused));
    assert_eq!(standing.observe(&Signals::default(), ms(9), ms(119)), []);
    assert_eq!(standing.acquire(ms(120)), Ok(()));
    assert_eq!(standing.acquire(ms(121)), Err(Closed::Paused));
    assert_eq!(standing.observe(&Signals::default(), ms(120), ms(125)), [Change::Resumes]);
    assert_eq!(standing.acquire(ms(126)), Ok(()));
}

/// A value that can't be read leaves in force what was known, and fills no log.
#[test]
fn what_can_not_be_read_changes_nothing() {
    let mut standing = SignalState::default();
    standing.observe(&pauses(ms(100)), ms(0), ms(0));
    standing.observe(&Signals { limit: Signal::Value(5.0), ..Signals::default() }, ms(0), ms(0));
    let unreadable = Signals {
        limit: Signal::Unreadable,
        leaving: Signal::Unreadable,
        pause: Signal::Unreadable,
    };
    let told =
        [Change::Unreadable("limit"), Change::Unreadable("leaving"), Change::Unreadable("pause")];
    assert_eq!(standing.observe(&unreadable, ms(1), ms(2)), told);
    assert_eq!(standing.observe(&unreadable, ms(2), ms(3)), []);
    assert_eq!(standing.check_open(ms(50)), Err(Closed::Paused));
    assert_eq!(standing.limit().rate(), Some(5.0));
    assert!(!standing.is_leaving());
}

/// A target's entry vanishes from the list in an outage and comes back. Its pause goes on, and so does its leaving.
#[test]
fn a_life_that_is_listed_again_is_as_it_said() {
    let standing = SignalState::restored(false, Some(ms(70)));
    assert_eq!(standing.check_open(ms(69)), Err(Closed::Paused));
    assert_eq!(standing.check_open(ms(70)), Ok(()));
    assert_eq!(SignalState::restored(true, None).check_open(ms(0)), Err(Closed::Leaving));
}

/// What one answer says, or a request that is to be sent.
#[derive(Debug, Clone, Copy)]
enum Event {
    Answer { signals: Signals, sent: Duration },
    Send,
}

fn draw(random: &mut ChaCha8Rng, now: Duration) -> Event {
    if random.random_bool(0.7) {
        return Event::Send;
    }
    let said = |random: &mut ChaCha8Rng, value| match random.random_range(0..6) {
        0 => Signal::Value(value),
        1 => Signal::Unreadable,
        _ => Signal::Absent,
    };
    let span = ms(random.random_range(0..400));
    let pause = said(random, span);
    let leaving = match random.random_range(0..200) {
        0 => Signal::Value(true),
        1 => Signal::Unreadable,
        2 => Signal::Value(false),
        _ => Signal::Absent,
    };
    let sent = now.saturating_sub(ms(random.random_range(0..300)));
    Event::Answer { signals: Signals { pause, leaving, limit: Signal::Absent }, sent }
}

/// Answers that overtake each other, pauses within pauses, requests that are never answered, in any order. A target that
/// leaves gets nothing for good, one that pauses nothing until its end, and one that said nothing for long gets work.
#[test]
fn in_any_order_a_closed_target_gets_nothing_and_an_open_one_work() {
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut standing, mut now) = (SignalState::default(), Duration::ZERO);
        let (mut left, mut until) = (false, Duration::ZERO);
        for _ in 0..200 {
            now += ms(random.random_range(0..25));
            match draw(&mut random, now) {
                Event::Answer { signals, sent } => {
                    standing.observe(&signals, sent, now);
                    left |= signals.leaving == Signal::Value(true);
                    if let Signal::Value(span) = signals.pause {
                        until = until.max(now + span);
                    }
                }
                Event::Send => {
                    let taken = standing.acquire(now);
                    let closed = left || now < until;
                    assert!(!closed || taken.is_err(), "seed {seed} at {now:?}");
                }
            }
        }
        now = until.max(now) + ms(2_500);
        assert_eq!(standing.acquire(now).is_ok(), !left, "seed {seed}");
    }
}

/// The one request that shows whether a target is well meets a connection that the target has closed, and goes on the
/// next. Taken for a second request it would be held back, and the target be left alone for another half second.
#[test]
fn a_request_that_was_counted_may_go_on_another_connection() {
    let mut standing = SignalState::default();
    standing.observe(&pauses(ms(100)), ms(0), ms(0));
    assert_eq!(standing.acquire(ms(100)), Ok(()));
    assert_eq!(standing.acquire(ms(101)), Err(Closed::Paused));
    assert_eq!(standing.recheck(ms(101)), Ok(()));
    standing.observe(&pauses(ms(100)), ms(100), ms(102));
    assert_eq!(standing.recheck(ms(103)), Err(Closed::Paused));
    standing.observe(&leaves(), ms(0), ms(300));
    assert_eq!(standing.recheck(ms(301)), Err(Closed::Leaving));
}

/// Each request asks whether anything is open. What that costs must not grow with the targets.
#[test]
fn targets_are_looked_at_up_to_the_first_that_is_open() {
    let mut looked = 0;
    let targets = (0..3_000).map(|_| {
        looked += 1;
        None
    });
    assert_eq!(until_open(targets), None);
    assert_eq!(looked, 1);
    assert_eq!(until_open([Some(ms(30)), Some(ms(20)), Some(ms(25))]), Some(ms(20)));
    assert_eq!(until_open([Some(ms(30)), None]), None);
    assert_eq!(until_open([]), None);
}
