//! Pauses that a target asks for, and how its load resumes afterwards.
//!
//! **Load pattern.** An overloaded target rejects all requests for some seconds, states for how
//! long it wants none, and may do so again when that time is over. **Without this**, the target
//! attracts even more requests, since its rejections are quick and it looks idle, and each of them
//! costs a retry. At the end of the pause all waiting requests arrive at once, and it rejects them
//! again. **Approach.** Nothing is sent until the pause ends. Then single probe requests are sent,
//! `PROBE_INTERVAL` apart, until one is answered without another pause. After that the number of
//! requests that may be sent doubles in each `DOUBLING_TIME`, for `RAMP`.

use crate::Time;
use std::time::Duration;

/// Time between two probe requests to a target that may not have recovered yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Requests that may be sent as soon as the target has recovered.
const INITIAL_REQUESTS: f64 = 2.0;

/// Time in which the number of requests that may be sent doubles.
const DOUBLING_TIME: Duration = Duration::from_millis(250);

/// Time after recovery from which the number of requests is not limited.
const RAMP: Duration = Duration::from_secs(2);

/// The pause of one target, as known to one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pause {
    /// When the pause ends.
    until: Option<Time>,
    /// When the last probe request was sent.
    probed_at: Option<Time>,
    /// When a response showed that the target has recovered.
    recovered_at: Option<Time>,
    /// Requests sent since then.
    sent: u32,
}

impl Pause {
    /// Creates a pause that ends at `until`.
    pub fn new(until: Time) -> Self {
        Self { until: Some(until), ..Self::default() }
    }

    /// Records that the target asked for a pause of `span` at `now`. Returns whether the pause now
    /// ends later than before.
    pub fn begin(&mut self, span: Duration, now: Time) -> bool {
        let until = now.saturating_add(span);
        if span.is_zero() || self.until.is_some_and(|known| until <= known) {
            return false;
        }
        *self = Self::new(until);
        true
    }

    /// Records a response that asks for no pause, to a request sent at `sent_at`. Returns whether
    /// it shows that the target has recovered.
    pub fn observe_response(&mut self, sent_at: Time, now: Time) -> bool {
        let recovered =
            self.until.is_some_and(|until| until <= sent_at) && self.recovered_at.is_none();
        if recovered {
            (self.recovered_at, self.sent) = (Some(now), 0);
        }
        recovered
    }

    /// Returns whether the pause has not ended yet.
    pub fn is_active(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Checks whether a request may be sent, or returns the time until one may.
    pub fn check(&self, now: Time) -> Result<(), Duration> {
        let Some(until) = self.until else { return Ok(()) };
        let next = match (self.recovered_at, self.probed_at) {
            (Some(recovered_at), _) => recovered_at + self.next_offset(),
            (None, Some(probed_at)) => until.max(probed_at + PROBE_INTERVAL),
            (None, None) => until,
        };
        if now < next { Err(next - now) } else { Ok(()) }
    }

    /// Counts a request that is about to be sent, if one may be, or returns the time until one may.
    pub fn acquire(&mut self, now: Time) -> Result<(), Duration> {
        self.check(now)?;
        match self.recovered_at {
            Some(since) if now.saturating_sub(since) >= RAMP => *self = Self::default(),
            Some(_) => self.sent = self.sent.saturating_add(1),
            None => self.probed_at = self.until.is_some().then_some(now),
        }
        Ok(())
    }

    /// Returns how long after recovery the next request may be sent.
    fn next_offset(&self) -> Duration {
        let doublings = ((f64::from(self.sent) + 1.0) / INITIAL_REQUESTS).log2().max(0.0);
        DOUBLING_TIME.mul_f64(doublings).min(RAMP)
    }
}
