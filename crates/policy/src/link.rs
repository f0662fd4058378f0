//! When a large request goes through the entry's own link, and whether it still fits.
//!
//! **Load pattern.** Entries have links of 10 to 1,000 Mbit/s and get the same share of callers. A
//! burst of prompts of 9 KB, each sent to two engines, fills the small ones. **Without it** all
//! that goes through such an entry waits behind the prompts, calls and questions of a few bytes as
//! well, while the links of its neighbours are nearly empty. **How.** Large requests take turns at the
//! link's rate, so that little is ever on its way and what is small goes between them. One whose turn
//! would come too late for its objective is refused at once, and its caller comes back through another
//! entry.

use crate::Time;
use crate::number::{float, span};
use std::time::Duration;

/// Settings of the link.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The link's rate in bytes a second.
    pub bytes_per_second: f64,
    /// The part of the rate that requests may fill. Heads, acknowledgements, answers to callers
    /// and what other processes send take the rest.
    pub usable: f64,
    /// The share of its objective that a large request may take for the link.
    pub share: f64,
    /// How much may be on its way when the next large request goes, as a time: a question to another
    /// entry waits about so long.
    pub ahead: Duration,
    /// Requests of up to so many bytes never wait for large ones.
    pub small: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            bytes_per_second: 125e6,
            usable: 0.8,
            share: 0.3,
            ahead: Duration::from_millis(5),
            small: 2_048,
        }
    }
}

/// What an entry has sent, or is about to send, and its link has not carried yet.
#[derive(Debug, Default)]
pub struct Link {
    settings: Settings,
    /// When the link is free again.
    free: Time,
}

impl Link {
    /// A link with nothing on its way.
    pub fn new(settings: Settings) -> Self {
        Self { settings, free: Time::ZERO }
    }

    /// Books bytes that are sent at once.
    pub fn send(&mut self, bytes: u64, now: Time) {
        self.free = self.free.max(now) + self.takes(bytes);
    }

    /// Books a request of `bytes` bytes and says how long it has to wait for its turn; if that is too
    /// long for its objective, it is not booked, and the error says how long the link is taken.
    pub fn reserve(
        &mut self,
        bytes: u64,
        objective: Duration,
        now: Time,
    ) -> Result<Duration, Duration> {
        let waits = self.free.saturating_sub(now);
        let small = bytes <= self.settings.small;
        // A link with nothing on its way takes a request of any size.
        let long =
            !waits.is_zero() && waits + self.takes(bytes) > objective.mul_f64(self.settings.share);
        if long && !small {
            return Err(waits);
        }
        self.send(bytes, now);
        Ok(if small { Duration::ZERO } else { waits.saturating_sub(self.settings.ahead) })
    }

    /// Ends a booking of bytes that are not sent after all.
    pub fn give_back(&mut self, bytes: u64) {
        self.free = self.free.saturating_sub(self.takes(bytes));
    }

    fn takes(&self, bytes: u64) -> Duration {
        span(float(bytes) / (self.settings.bytes_per_second * self.settings.usable))
    }
}
