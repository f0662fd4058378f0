//! How many appends a second one process may make.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// A token bucket: so many appends a second on average, so many at once.
///
/// The log takes several hundred appends a second for the whole fleet. Without a bound, 700
/// processes that try again at once after an outage would keep it out.
#[derive(Debug)]
pub(crate) struct Budget {
    interval: Duration,
    burst: u32,
    /// When the bucket would be full again.
    full_at: Mutex<Instant>,
}

impl Budget {
    pub(crate) fn new(per_second: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / per_second.max(1);
        Self { interval, burst: burst.max(1), full_at: Mutex::new(Instant::now()) }
    }

    /// Waits for the right to one append.
    pub(crate) async fn acquire(&self) {
        let at = self.reserve();
        tokio::time::sleep_until(at).await;
    }

    /// Reserves the next append and returns when it may be made.
    fn reserve(&self) -> Instant {
        let mut full_at = self.full_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        *full_at = (*full_at).max(now) + self.interval;
        let ahead = *full_at - now;
        now + ahead.saturating_sub(self.interval * self.burst)
    }
}
