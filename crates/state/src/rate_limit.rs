//! The rate limit for the appends of one process.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A token bucket for appends, with an average rate and a burst.
///
/// The log accepts several hundred appends per second for the whole fleet. Without this limit the
/// retries of 700 processes after an outage would overload it again.
#[derive(Debug)]
pub(crate) struct RateLimit {
    interval: Duration,
    burst: u32,
    /// The time at which the bucket would be full again.
    full_at: Mutex<Instant>,
}

impl RateLimit {
    pub(crate) fn new(per_second: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / per_second.max(1);
        Self { interval, burst: burst.max(1), full_at: Mutex::new(Instant::now()) }
    }

    /// Waits until one append is allowed.
    pub(crate) async fn acquire(&self) {
        let at = self.reserve();
        tokio::time::sleep_until(at).await;
    }

    /// Reserves the next append and returns the time from which it is allowed.
    fn reserve(&self) -> Instant {
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        *full_at = (*full_at).max(now) + self.interval;
        let ahead = *full_at - now;
        now + ahead.saturating_sub(self.interval * self.burst)
    }
}
