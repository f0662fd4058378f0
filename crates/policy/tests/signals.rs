//! Effects of the signals in a target's responses.

use policy::signals::{Change, Closed, Signal, SignalState, Signals, until_open};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn leaving() -> Signals {
    Signals { leaving: Signal::Value(true), ..Signals::default() }
}

fn pause(span: Duration) -> Signals {
    Signals { pause: Signal::Value(span), ..Signals::default() }
}

/// A leaving target repeats the signal in a later response, and responses without it are received
/// after that. It stays leaving, and the change is reported once.
#[test]
fn leaving_is_final() {
    let mut state = SignalState::default();
    assert_eq!(state.observe(&leaving(), ms(0), ms(5)), [Change::Leaves]);
    assert_eq!(state.observe(&leaving(), ms(1), ms(6)), []);
    let stays = Signals { leaving: Signal::Value(false), ..Signals::default() };
    assert_eq!(state.observe(&stays, ms(7), ms(8)), []);
    assert_eq!(state.observe(&Signals::default(), ms(9), ms(10)), []);
    assert_eq!(state.check_open(ms(99)), Err(Closed::Leaving));
}

/// Dozens of requests in flight are rejected together. The log must show them as one pause, and its
/// end once.
#[test]
fn start_and_end_of_a_pause_are_reported_once() {
    let mut state = SignalState::default();
    let span = ms(100);
    let started = [Change::Pauses { span, is_new: true }];
    assert_eq!(state.observe(&pause(span), ms(0), ms(10)), started);
    let extended = [Change::Pauses { span, is_new: false }];
    assert_eq!(state.observe(&pause(span), ms(0), ms(20)), extended);
    assert_eq!(state.acquire(ms(119)), Err(Closed::Paused));
    assert_eq!(state.observe(&Signals::default(), ms(9), ms(119)), []);
    assert_eq!(state.acquire(ms(120)), Ok(()));
    assert_eq!(state.acquire(ms(121)), Err(Closed::Paused));
    assert_eq!(state.observe(&Signals::default(), ms(120), ms(125)), [Change::Resumes]);
    assert_eq!(state.acquire(ms(126)), Ok(()));
}

/// A value that can't be parsed leaves the previous one in force and is reported only once.
#[test]
fn unreadable_signal_changes_nothing() {
    let mut state = SignalState::default();
    state.observe(&pause(ms(100)), ms(0), ms(0));
    state.observe(&Signals { limit: Signal::Value(5.0), ..Signals::default() }, ms(0), ms(0));
    let unreadable = Signals {
        limit: Signal::Unreadable,
        leaving: Signal::Unreadable,
        pause: Signal::Unreadable,
    };
    let reported =
        [Change::Unreadable("limit"), Change::Unreadable("leaving"), Change::Unreadable("pause")];
    assert_eq!(state.observe(&unreadable, ms(1), ms(2)), reported);
    assert_eq!(state.observe(&unreadable, ms(2), ms(3)), []);
    assert_eq!(state.check_open(ms(50)), Err(Closed::Paused));
    assert_eq!(state.limit().rate(), Some(5.0));
    assert!(!state.is_leaving());
}

/// The registration of a target disappears from the list in an outage and returns. Its pause
/// continues, and it stays leaving.
#[test]
fn state_is_restored_for_a_target_that_is_listed_again() {
    let state = SignalState::restored(false, Some(ms(70)));
    assert_eq!(state.check_open(ms(69)), Err(Closed::Paused));
    assert_eq!(state.check_open(ms(70)), Ok(()));
    assert_eq!(SignalState::restored(true, None).check_open(ms(0)), Err(Closed::Leaving));
}

/// A response with its signals, or a request to send.
#[derive(Debug, Clone, Copy)]
enum Event {
    Response { signals: Signals, sent_at: Duration },
    Send,
}

fn draw(random: &mut ChaCha8Rng, now: Duration) -> Event {
    if random.random_bool(0.7) {
        return Event::Send;
    }
    let signal = |random: &mut ChaCha8Rng, value| match random.random_range(0..6) {
        0 => Signal::Value(value),
        1 => Signal::Unreadable,
        _ => Signal::Absent,
    };
    let span = ms(random.random_range(0..400));
    let pause = signal(random, span);
    let leaving = match random.random_range(0..200) {
        0 => Signal::Value(true),
        1 => Signal::Unreadable,
        2 => Signal::Value(false),
        _ => Signal::Absent,
    };
    let sent_at = now.saturating_sub(ms(random.random_range(0..300)));
    Event::Response { signals: Signals { pause, leaving, limit: Signal::Absent }, sent_at }
}

/// Responses that overtake each other, pauses within pauses and requests that are never answered,
/// in any order. A leaving target never gets requests again, a paused one none until the pause
/// ends, and one without signals for long gets requests.
#[test]
fn closed_targets_get_nothing_and_open_ones_requests_in_any_order() {
    for seed in 0..10_000 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let (mut state, mut now) = (SignalState::default(), Duration::ZERO);
        let (mut has_left, mut until) = (false, Duration::ZERO);
        for _ in 0..200 {
            now += ms(random.random_range(0..25));
            match draw(&mut random, now) {
                Event::Response { signals, sent_at } => {
                    state.observe(&signals, sent_at, now);
                    has_left |= signals.leaving == Signal::Value(true);
                    if let Signal::Value(span) = signals.pause {
                        until = until.max(now + span);
                    }
                }
                Event::Send => {
                    let acquired = state.acquire(now);
                    let closed = has_left || now < until;
                    assert!(!closed || acquired.is_err(), "seed {seed} at {now:?}");
                }
            }
        }
        now = until.max(now) + ms(2_500);
        assert_eq!(state.acquire(now).is_ok(), !has_left, "seed {seed}");
    }
}

/// The single probe request after a pause uses a connection that the target has closed, and is sent
/// again on another. If it counted as a second request, it would be delayed, and the target would
/// get none for another half second.
#[test]
fn counted_request_may_use_another_connection() {
    let mut state = SignalState::default();
    state.observe(&pause(ms(100)), ms(0), ms(0));
    assert_eq!(state.acquire(ms(100)), Ok(()));
    assert_eq!(state.acquire(ms(101)), Err(Closed::Paused));
    assert_eq!(state.recheck(ms(101)), Ok(()));
    state.observe(&pause(ms(100)), ms(100), ms(102));
    assert_eq!(state.recheck(ms(103)), Err(Closed::Paused));
    state.observe(&leaving(), ms(0), ms(300));
    assert_eq!(state.recheck(ms(301)), Err(Closed::Leaving));
}

/// Each request checks whether any target is open. The cost of that must not grow with the number
/// of targets.
#[test]
fn until_open_stops_at_the_first_open_target() {
    let mut checked = 0;
    let targets = (0..3_000).map(|_| {
        checked += 1;
        None
    });
    assert_eq!(until_open(targets), None);
    assert_eq!(checked, 1);
    assert_eq!(until_open([Some(ms(30)), Some(ms(20)), Some(ms(25))]), Some(ms(20)));
    assert_eq!(until_open([Some(ms(30)), None]), None);
    assert_eq!(until_open([]), None);
}
