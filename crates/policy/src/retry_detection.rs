//! Detects requests that are retries of refused ones.
//!
//! **Load pattern.** In a burst, hundreds of callers per second are refused, and each retries. The
//! objective counts from their first attempt, so it has passed. **Without this**, their prompts
//! compete on equal terms with those that can still be answered in time, and every response that is
//! already late makes another one late. **Approach.** Callers of one route send about the same
//! remaining time with their first attempt, so a request with clearly less is a retry. Nothing is
//! concluded unless many requests carry the longest time; otherwise callers of the route simply
//! differ. A retry that comes soon can still be in time: what is missing of its time is what has
//! passed of its objective.

use std::time::Duration;

/// Requests after which the longest time is forgotten unless it is seen again. One caller that
/// waits longer than all others must not count for long.
const WINDOW: u32 = 500;

/// Share of requests with the longest time from which it counts as the time that all callers send.
/// If callers retry up to three times, a quarter of the requests are first attempts.
const MIN_FIRST_ATTEMPT_SHARE: f64 = 0.15;

/// How much less than the longest time a first attempt may carry, as a share of the objective. The
/// network from caller to entry takes less, a refusal and the retry take more.
const TOLERANCE: f64 = 0.5;

/// How much less than the longest time a first attempt may carry where the time that has passed is
/// derived from it, as a share of the objective. Callers send a fixed time with their first attempt,
/// whatever the network takes.
const PUNCTUAL_TOLERANCE: f64 = 0.1;

/// What the remaining time of a request shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempt {
    /// Whether it is probably a retry whose objective has passed, or will before it is served.
    pub is_late: bool,
    /// How long ago the caller sent its first attempt.
    pub since_first: Duration,
}

/// Detects the retries among the requests of one route.
#[derive(Debug, Clone, Default)]
pub struct RetryDetector {
    previous: Window,
    current: Window,
}

/// Statistics of up to [`WINDOW`] requests.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    requests: u32,
    first_attempts: u32,
    /// Those that carry nearly exactly the longest time.
    punctual: u32,
    longest: Duration,
}

impl RetryDetector {
    /// Records how long a caller still waits and returns whether its request is probably a retry,
    /// so that its objective has passed.
    pub fn is_retry(&mut self, left: Duration, objective: Duration) -> bool {
        self.attempt(left, objective).is_late
    }

    /// Records how long a caller still waits and returns what that shows.
    pub fn attempt(&mut self, left: Duration, objective: Duration) -> Attempt {
        if self.current.requests >= WINDOW {
            self.previous = std::mem::take(&mut self.current);
        }
        let longest = self.previous.longest.max(self.current.longest);
        if left > longest {
            // Requests that counted as first attempts by the shorter time do not by this one.
            (self.current.first_attempts, self.previous.first_attempts) = (0, 0);
            (self.current.punctual, self.previous.punctual) = (0, 0);
        }
        let longest = longest.max(left);
        self.current.longest = self.current.longest.max(left);
        let is_first_attempt = left + objective.mul_f64(TOLERANCE) >= longest;
        self.current.requests += 1;
        self.current.first_attempts += u32::from(is_first_attempt);
        let is_punctual = left + objective.mul_f64(PUNCTUAL_TOLERANCE) >= longest;
        self.current.punctual += u32::from(is_punctual);
        let first_attempts = self.current.first_attempts + self.previous.first_attempts;
        let punctual = self.current.punctual + self.previous.punctual;
        let since_first = if is_punctual || !self.is_conclusive(punctual) {
            Duration::ZERO
        } else {
            longest - left
        };
        Attempt { is_late: !is_first_attempt && self.is_conclusive(first_attempts), since_first }
    }

    fn is_conclusive(&self, first_attempts: u32) -> bool {
        let requests = f64::from(self.current.requests + self.previous.requests);
        f64::from(first_attempts) >= MIN_FIRST_ATTEMPT_SHARE * requests
    }
}
