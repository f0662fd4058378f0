//! How often the log has to be read.

use super::Topic;
use std::time::Duration;

/// How often changes have to be observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// The time within which a change has to take effect at all entries.
    pub change_bound: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self { change_bound: Duration::from_secs(2) }
    }
}

impl Timing {
    /// How long a read of the configuration waits for new records. A connection without a response
    /// is detected after this time plus the timeout of a call, which together stay below the bound.
    pub fn config_read_wait(self) -> Duration {
        self.change_bound.mul_f64(0.4)
    }

    /// How long a read of the list of targets waits for new records.
    pub fn targets_read_wait(self) -> Duration {
        self.change_bound / 4
    }

    /// The interval between reads of the list of targets, in which some target always renews its
    /// record.
    pub fn targets_read_interval(self) -> Duration {
        self.change_bound.mul_f64(0.225)
    }

    /// The age from which on a view is too old: the call that follows has to succeed within the
    /// bound.
    pub(super) fn max_age(self, topic: Topic) -> Duration {
        match topic {
            Topic::Config | Topic::Targets => self.change_bound.mul_f64(0.65),
            // Stage changes are announced 2.2 seconds ahead.
            Topic::Notices => Duration::from_millis(1_700),
        }
    }
}
