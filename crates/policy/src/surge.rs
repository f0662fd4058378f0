//! Detects that a group of engines is short of room for prompts that can still be in time.
//!
//! **Load pattern.** For some seconds, prompts arrive at several times the rate that the engines
//! prefill. Refused callers retry within the same seconds, when their objective has passed.
//! **Without this**, retries get a fixed share of the allowed queue, also while first attempts are
//! refused: responses that are late in any case displace ones that would be in time. A share that is
//! small at all times refuses callers for good while engines have room. **Approach.** The
//! coordinator of a group compares how many first attempts it refused lately with how many it
//! placed. While it refuses a good part of them, retries get only engines that are idle or nearly
//! so, and otherwise the usual share.

use crate::Time;
use crate::prefill::{Prompt, Settings};

/// Share of refused first attempts from which a group is short of room. With a tenth, more retries
/// are refused for good, and no more first attempts are in time.
const MIN_REFUSED_SHARE: f64 = 0.25;

/// Refused first attempts, weighted by age, from which a group is short of room. A single prompt
/// can be too long for any queue.
const MIN_REFUSED: f64 = 3.0;

/// Time in seconds after which the weight of an outcome has fallen to 1/e. With half a second, more
/// retries are refused for good, also when the queues are short again.
const TIME_CONSTANT: f64 = 0.25;

/// Compares the first attempts that a group refused with those that it placed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Detector {
    /// Placed first attempts, weighted by age.
    placed: f64,
    /// Refused ones, weighted by age.
    refused: f64,
    /// The time for which both hold.
    at: Time,
}

impl Detector {
    /// Records whether a prompt was placed or refused for lack of room. Late ones don't count.
    pub fn record(&mut self, prompt: &Prompt, placed: bool, now: Time) {
        if prompt.late {
            return;
        }
        let weight = self.weight(now);
        self.placed = self.placed * weight + f64::from(u8::from(placed));
        self.refused = self.refused * weight + f64::from(u8::from(!placed));
        self.at = now;
    }

    /// Returns whether the group is short of room for first attempts.
    pub fn is_surge(&self, now: Time) -> bool {
        self.refused * self.weight(now) >= MIN_REFUSED
            && self.refused >= MIN_REFUSED_SHARE * (self.placed + self.refused)
    }

    /// Returns the share of the allowed time that late prompts get now.
    pub fn late_fraction(&self, settings: &Settings, now: Time) -> f64 {
        if self.is_surge(now) { settings.surge_late_fraction } else { settings.late_fraction }
    }

    fn weight(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.at);
        (-elapsed.as_secs_f64() / TIME_CONSTANT).exp()
    }
}
