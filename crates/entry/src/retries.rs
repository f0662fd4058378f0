//! Whether and when a failed attempt is followed by another.

use crate::Reason;
use crate::outcome::{Failure, Trail};
use crate::random::Random;
use std::sync::Arc;
use std::time::Duration;

/// Attempts after the first.
const MAX_RETRIES: u32 = 5;

/// The first wait; it doubles with each attempt, and half of it is random.
const FIRST_WAIT: Duration = Duration::from_millis(10);

/// Decides on retries.
pub(crate) struct Retries {
    random: Arc<Random>,
}

impl Retries {
    /// Makes the decider.
    pub(crate) fn new(random: Arc<Random>) -> Self {
        Self { random }
    }

    /// How long to wait before the next attempt, or `None` if there is to be none.
    pub(crate) fn next(&self, failure: &Failure, trail: &Trail, retries: u32) -> Option<Duration> {
        let mut trail = *trail;
        trail.note(failure.progress);
        if !trail.may_retry() || !helps(failure.reason) || retries >= MAX_RETRIES {
            return None;
        }
        // The first goes out at once: the target that failed is out of the way already.
        if retries == 0 {
            return Some(Duration::ZERO);
        }
        Some(self.random.jitter(FIRST_WAIT * 2_u32.saturating_pow(retries)))
    }
}

/// Whether another target may do what this one did not.
fn helps(reason: Reason) -> bool {
    match reason {
        Reason::NoTarget
        | Reason::AgentUnreachable
        | Reason::AgentLost
        | Reason::TargetDown
        | Reason::TargetRefused
        | Reason::TargetBroken
        | Reason::WrongTarget
        | Reason::Draining
        | Reason::QueueFull
        | Reason::Overloaded
        | Reason::LogUnavailable
        | Reason::NoClaim
        | Reason::Other => true,
        Reason::BadBody
        | Reason::BadHeader
        | Reason::UnknownCaller
        | Reason::UnknownModel
        | Reason::UnknownService
        | Reason::UnknownAnswer
        | Reason::UnknownPath
        | Reason::BodyTimeout
        | Reason::BodyTooLarge
        | Reason::KeyReused
        | Reason::RateLimited
        | Reason::TooManyOpen
        | Reason::EntryFull
        | Reason::NotReady
        | Reason::DeadlineExceeded
        | Reason::Quarantined
        | Reason::InProgress
        | Reason::OutcomeUnknown => false,
    }
}
