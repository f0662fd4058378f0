//! Large requests and an entry's small link.

use policy::link::{Link, Settings};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(250);

/// Bytes a second of a link of 10 Mbit/s.
const RATE: f64 = 1.25e6;

/// A link of 10 Mbit/s.
fn small() -> Link {
    Link::new(Settings { bytes_per_second: RATE, ..Settings::default() })
}

/// The link itself: what was put on it leaves in that order, at its rate.
#[derive(Default)]
struct Wire {
    free: Duration,
}

impl Wire {
    /// How long something that is sent now waits behind what is on its way.
    fn waits(&self, now: Duration) -> Duration {
        self.free.saturating_sub(now)
    }

    fn carry(&mut self, bytes: f64, now: Duration) {
        self.free = self.free.max(now) + Duration::from_secs_f64(bytes / RATE);
    }
}

/// A burst brings 200 prompts a second of 9 KB, each sent twice, to an entry whose link carries 54.
/// Unbounded, after a second what is sent would wait for 2.7 s.
#[test]
fn a_burst_through_a_small_link_waits_no_longer_than_its_share() {
    let (mut link, mut sent) = (small(), 0);
    for step in 0..200 {
        let now = Duration::from_millis(step * 5);
        if let Ok(waits) = link.reserve(18_400, OBJECTIVE, now) {
            assert!(waits <= OBJECTIVE / 3, "{waits:?}");
            sent += 1;
        }
    }
    assert!((50..=60).contains(&sent), "{sent}");
}

#[test]
fn an_empty_link_takes_a_request_of_any_size() {
    assert_eq!(small().reserve(4_000_000, OBJECTIVE, Duration::ZERO), Ok(Duration::ZERO));
}

#[test]
fn a_large_link_refuses_nothing_in_the_same_burst() {
    let mut link = Link::new(Settings::default());
    for step in 0..200 {
        let now = Duration::from_millis(step * 5);
        assert_eq!(link.reserve(18_400, OBJECTIVE, now), Ok(Duration::ZERO));
    }
}

/// Before a prompt is sent, another entry is asked where. Behind prompts that wait for a quarter of the
/// objective the question is answered too late, and the engine that was promised stays empty.
#[test]
fn a_question_gets_through_a_full_link_within_a_tenth_of_the_objective() {
    let (mut link, mut wire, mut longest) = (small(), Wire::default(), Duration::ZERO);
    let mut due: Vec<Duration> = Vec::new();
    for now in (0..1_000).map(Duration::from_millis) {
        longest = longest.max(wire.waits(now));
        if now.as_millis() % 5 == 0
            && let Ok(waits) = link.reserve(9_200, OBJECTIVE, now)
        {
            due.push(now + waits);
        }
        due.retain(|at| {
            let goes = *at <= now;
            if goes {
                wire.carry(9_200.0, now);
            }
            !goes
        });
    }
    assert!(longest <= OBJECTIVE / 8, "{longest:?}");
}

/// A wave of half a second asks for an eighth more than the link carries, and the time before and after it
/// for half. Refused at an eighth of the objective, callers go away while the link is about to be free.
#[test]
fn a_short_wave_is_taken_in_turns() {
    let (mut link, mut refused) = (small(), 0);
    let mut now = Duration::ZERO;
    while now < Duration::from_millis(1_500) {
        let wave = (500..1_000).contains(&now.as_millis());
        refused += u32::from(link.reserve(18_400, OBJECTIVE, now).is_err());
        now += Duration::from_millis(if wave { 16 } else { 36 });
    }
    assert!(refused <= 1, "{refused} refused");
}

/// Urgent requests of a few bytes come between prompts of 9 KB, and neither wait nor are refused.
#[test]
fn small_requests_never_wait_for_large_ones() {
    let mut link = small();
    for step in 0..100 {
        let now = Duration::from_millis(step * 5);
        let _ = link.reserve(18_400, OBJECTIVE, now);
        assert_eq!(link.reserve(440, Duration::from_millis(150), now), Ok(Duration::ZERO));
    }
}

/// A prompt that found no engine was not sent: its turn is free for the next.
#[test]
fn what_is_not_sent_is_given_back() {
    let mut link = small();
    for _ in 0..100 {
        assert!(link.reserve(18_400, OBJECTIVE, Duration::ZERO).is_ok());
        link.give_back(18_400);
    }
}
