//! Schedules large requests on the entry's own network link and decides whether they still fit.
//!
//! **Load pattern.** Entries have links of 10 to 1,000 Mbit/s and get the same share of callers. A
//! burst of prompts of 9 KB, each sent to two engines, fills the small links. **Without this**, all
//! traffic of such an entry waits behind the prompts, also calls and coordination messages of a few
//! bytes, while the links of its neighbours are nearly idle. **Approach.** Large requests take
//! turns at the rate of the link, so that little is in flight at any time and small requests go in
//! between. A request whose turn would come too late for its objective is refused at once, and its
//! caller retries through another entry.

use crate::Time;
use crate::number::{float, span};
use std::time::Duration;

/// Settings of the link.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The link's rate in bytes per second.
    pub bytes_per_second: f64,
    /// Share of the rate that requests may use. Headers, acknowledgements, responses to callers and
    /// the traffic of other processes take the rest.
    pub usable_share: f64,
    /// Share of its objective that a large request may spend on the link.
    pub objective_share: f64,
    /// How much may be in flight when the next large request is sent, as a time. A message to
    /// another entry waits about that long.
    pub max_in_flight: Duration,
    /// Size in bytes up to which requests never wait for large ones.
    pub small_size: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bytes_per_second: 125e6,
            usable_share: 0.8,
            objective_share: 0.3,
            max_in_flight: Duration::from_millis(5),
            small_size: 2_048,
        }
    }
}

/// The traffic that an entry has sent, or has reserved the link for, and that is not transmitted
/// yet.
#[derive(Debug, Default)]
pub struct Link {
    settings: Settings,
    /// When the link is idle again.
    idle_at: Time,
}

impl Link {
    /// Creates an idle link.
    pub fn new(settings: Settings) -> Self {
        Self { settings, idle_at: Time::ZERO }
    }

    /// Records bytes that are sent at once.
    pub fn record_sent(&mut self, bytes: u64, now: Time) {
        self.idle_at = self.idle_at.max(now) + self.transmission_time(bytes);
    }

    /// Reserves the link for a request of `bytes` bytes and returns how long it has to wait for its
    /// turn. If that is too long for its objective, nothing is reserved, and the error is the time
    /// until the link is idle.
    pub fn reserve(
        &mut self,
        bytes: u64,
        objective: Duration,
        now: Time,
    ) -> Result<Duration, Duration> {
        let wait = self.idle_at.saturating_sub(now);
        let small = bytes <= self.settings.small_size;
        // An idle link takes a request of any size.
        let too_long = !wait.is_zero()
            && wait + self.transmission_time(bytes)
                > objective.mul_f64(self.settings.objective_share);
        if too_long && !small {
            return Err(wait);
        }
        self.record_sent(bytes, now);
        Ok(if small { Duration::ZERO } else { wait.saturating_sub(self.settings.max_in_flight) })
    }

    /// Returns for how long the link is occupied.
    pub fn wait(&self, now: Time) -> Duration {
        self.idle_at.saturating_sub(now)
    }

    /// Releases a reservation for bytes that are not sent after all.
    pub fn release(&mut self, bytes: u64) {
        self.idle_at = self.idle_at.saturating_sub(self.transmission_time(bytes));
    }

    fn transmission_time(&self, bytes: u64) -> Duration {
        span(float(bytes) / (self.settings.bytes_per_second * self.settings.usable_share))
    }
}
