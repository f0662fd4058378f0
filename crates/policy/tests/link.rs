//! Large requests on the small link of an entry.

use policy::link::{Link, Settings};
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_millis(250);

/// Bytes per second of a link of 10 Mbit/s.
const RATE: f64 = 1.25e6;

/// A link of 10 Mbit/s.
fn small() -> Link {
    Link::new(Settings { bytes_per_second: RATE, ..Settings::default() })
}

/// The physical link: sends bytes in order at its rate.
#[derive(Default)]
struct Wire {
    idle_at: Duration,
}

impl Wire {
    /// Returns how long bytes that are sent now wait behind those in flight.
    fn wait(&self, now: Duration) -> Duration {
        self.idle_at.saturating_sub(now)
    }

    fn send(&mut self, bytes: f64, now: Duration) {
        self.idle_at = self.idle_at.max(now) + Duration::from_secs_f64(bytes / RATE);
    }
}

/// A burst brings 200 prompts of 9 KB per second, each sent twice, to an entry whose link carries
/// 54. Without a bound, after one second what is sent would wait for 2.7 s.
#[test]
fn wait_on_a_small_link_is_bounded_in_a_burst() {
    let (mut link, mut sent) = (small(), 0);
    for step in 0..200 {
        let now = Duration::from_millis(step * 5);
        if let Ok(wait) = link.reserve(18_400, OBJECTIVE, now) {
            assert!(wait <= OBJECTIVE / 3, "{wait:?}");
            sent += 1;
        }
    }
    assert!((50..=60).contains(&sent), "{sent}");
}

#[test]
fn idle_link_accepts_a_request_of_any_size() {
    assert_eq!(small().reserve(4_000_000, OBJECTIVE, Duration::ZERO), Ok(Duration::ZERO));
}

#[test]
fn large_link_accepts_the_same_burst() {
    let mut link = Link::new(Settings::default());
    for step in 0..200 {
        let now = Duration::from_millis(step * 5);
        assert_eq!(link.reserve(18_400, OBJECTIVE, now), Ok(Duration::ZERO));
    }
}

/// Before a prompt is sent, its coordinator is asked for an engine. Behind prompts that wait for a
/// quarter of the objective, that request would be answered too late, and the reserved engine would
/// stay idle.
#[test]
fn small_messages_pass_a_busy_link_within_an_eighth_of_the_objective() {
    let (mut link, mut wire, mut longest) = (small(), Wire::default(), Duration::ZERO);
    let mut due: Vec<Duration> = Vec::new();
    for now in (0..1_000).map(Duration::from_millis) {
        longest = longest.max(wire.wait(now));
        if now.as_millis() % 5 == 0
            && let Ok(wait) = link.reserve(9_200, OBJECTIVE, now)
        {
            due.push(now + wait);
        }
        due.retain(|at| {
            let is_due = *at <= now;
            if is_due {
                wire.send(9_200.0, now);
            }
            !is_due
        });
    }
    assert!(longest <= OBJECTIVE / 8, "{longest:?}");
}

/// A wave of half a second needs an eighth more than the link carries, and the time before and
/// after it half. If requests were refused after an eighth of the objective, callers would be
/// rejected while the link is about to be idle.
#[test]
fn short_wave_is_queued() {
    let (mut link, mut refused) = (small(), 0);
    let mut now = Duration::ZERO;
    while now < Duration::from_millis(1_500) {
        let wave = (500..1_000).contains(&now.as_millis());
        refused += u32::from(link.reserve(18_400, OBJECTIVE, now).is_err());
        now += Duration::from_millis(if wave { 16 } else { 36 });
    }
    assert!(refused <= 1, "{refused} refused");
}

/// Urgent requests of a few bytes arrive between prompts of 9 KB. They must neither wait nor be
/// refused.
#[test]
fn small_requests_never_wait_for_large_ones() {
    let mut link = small();
    for step in 0..100 {
        let now = Duration::from_millis(step * 5);
        let _ = link.reserve(18_400, OBJECTIVE, now);
        assert_eq!(link.reserve(440, Duration::from_millis(150), now), Ok(Duration::ZERO));
    }
}

/// A prompt that found no engine was not sent, so its turn has to be available to the next one.
#[test]
fn unsent_bytes_are_released() {
    let mut link = small();
    for _ in 0..100 {
        assert!(link.reserve(18_400, OBJECTIVE, Duration::ZERO).is_ok());
        link.release(18_400);
    }
}
