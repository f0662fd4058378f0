//! Which requests have waited already, because their caller was refused and came back.
//!
//! **Load pattern.** In a burst hundreds of callers a second are refused, and each comes back. The
//! objective counts from their first try, so it has passed. **Without it** their prompts compete on
//! equal terms with those that can still be answered in time, and every answer that is late already
//! makes another one late. **How.** Callers of one route give about the same time when they first
//! ask; whoever has clearly less left has waited. Nothing is concluded unless many requests give
//! the longest time: then callers of the route simply differ.

use std::time::Duration;

/// Requests after which the longest time seen is forgotten unless it is seen again: one caller with
/// more patience than all others must not count for long.
const SPAN: u32 = 500;

/// The share of requests that give the longest time, for it to be the time that all give. Of callers
/// that come back up to three times a quarter are fresh.
const LEAST_FRESH: f64 = 0.15;

/// How much less than the longest time a fresh request may give, in parts of the objective: the way
/// from caller to entry takes less, a refusal and the way back more.
const SLACK: f64 = 0.5;

/// What one route's callers give.
#[derive(Debug, Clone, Default)]
pub struct RetryDetector {
    before: Span,
    now: Span,
}

/// Some hundred requests.
#[derive(Debug, Clone, Copy, Default)]
struct Span {
    requests: u32,
    fresh: u32,
    longest: Duration,
}

impl RetryDetector {
    /// Takes in how long a caller waits from now on, and says whether it has probably waited longer
    /// than the objective allows.
    pub fn is_retry(&mut self, left: Duration, objective: Duration) -> bool {
        if self.now.requests >= SPAN {
            self.before = std::mem::take(&mut self.now);
        }
        let longest = self.before.longest.max(self.now.longest);
        if left > longest {
            // Those that seemed fresh by the shorter time are not by this one.
            (self.now.fresh, self.before.fresh) = (0, 0);
        }
        let longest = longest.max(left);
        self.now.longest = self.now.longest.max(left);
        let fresh = left + objective.mul_f64(SLACK) >= longest;
        self.now.requests += 1;
        self.now.fresh += u32::from(fresh);
        !fresh && self.most_agree()
    }

    fn most_agree(&self) -> bool {
        let requests = f64::from(self.now.requests + self.before.requests);
        f64::from(self.now.fresh + self.before.fresh) >= LEAST_FRESH * requests
    }
}
