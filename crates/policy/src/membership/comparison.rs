//! The progress of requesting another entry's list.

use crate::{Hash, Time};
use std::time::Duration;

/// How long to wait for a part of the list before it is requested again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The shortest interval between two comparisons.
const INTERVAL: Duration = Duration::from_secs(2);

/// The same after a comparison that brought something new: the other entry probably lacked some as
/// well.
const SHORT_INTERVAL: Duration = Duration::from_millis(300);

/// The comparison with other entries' lists.
#[derive(Debug, Default)]
pub(super) struct Comparison {
    /// The part that was requested last, and when.
    requested: Option<(Hash, Time)>,
    /// When the next comparison may begin.
    next_at: Time,
    /// Whether the current comparison brought something new.
    differed: bool,
}

impl Comparison {
    /// Returns where to begin, unless a comparison is running or was made recently.
    pub(super) fn begin(&self, now: Time) -> Option<Hash> {
        (self.requested.is_none() && now >= self.next_at).then_some(0)
    }

    pub(super) fn requested(&mut self, after: Hash, now: Time) {
        self.requested = Some((after, now));
    }

    pub(super) fn record_difference(&mut self) {
        self.differed = true;
    }

    pub(super) fn end(&mut self, now: Time) {
        self.requested = None;
        let differed = std::mem::take(&mut self.differed);
        self.next_at = now + if differed { SHORT_INTERVAL } else { INTERVAL };
    }

    /// Returns the part that has to be requested again.
    pub(super) fn repeat(&mut self, now: Time) -> Option<Hash> {
        let (after, at) = self.requested.as_mut()?;
        if now < *at + RESPONSE_TIMEOUT {
            return None;
        }
        *at = now;
        Some(*after)
    }
}
