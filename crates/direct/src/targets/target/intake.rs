//! What a target takes in from this entry: by its own answers, by the permits that there are, and by what it
//! answered to other entries.

use policy::Time;
use policy::signals::{Change, Closed, SignalState, Signals};
use std::time::Duration;

/// For how long a target that refused a permit counts as spent: longer than an entry waits before it asks
/// again.
const SPENT: Duration = Duration::from_millis(2_500);

/// How often its coordinators are told of a limit that stays the same.
const LIMIT_TOLD: Duration = Duration::from_millis(250);

/// What one target takes in.
#[derive(Debug, Default)]
pub(super) struct Intake {
    /// What its answers say of it.
    pub(super) standing: SignalState,
    /// Whether its limit has changed since the coordinators were told of it.
    limit_untold: bool,
    /// When they last were.
    limit_told: Option<Time>,
    /// Until when there is no permit to send to it.
    closed: Option<Time>,
    /// When a permit was last refused.
    refused: Option<Time>,
    /// Until when it wants no requests from some other entry.
    paused_elsewhere: Option<Time>,
}

impl Intake {
    /// One of a target that has said this before.
    pub(super) fn new(standing: SignalState) -> Self {
        Self { standing, ..Self::default() }
    }

    pub(super) fn observe(&mut self, signals: &Signals, sent: Time, now: Time) -> Vec<Change> {
        let changes = self.standing.observe(signals, sent, now);
        if changes.iter().any(|change| matches!(change, Change::Limit(_))) {
            (self.limit_untold, self.closed) = (true, None);
        }
        changes
    }

    pub(super) fn note_pause_elsewhere(&mut self, until: Time) {
        self.paused_elsewhere = Some(until);
    }

    /// Whether its coordinators are to be told of its limit, or, if `is_outdated`, that it has none. They
    /// then count as told.
    pub(super) fn is_limit_due(&mut self, is_outdated: bool, now: Time) -> bool {
        let lately = self.limit_told.is_some_and(|told| now.saturating_sub(told) < LIMIT_TOLD);
        let matters = is_outdated || self.standing.limit().rate().is_some();
        if !self.limit_untold && (!matters || lately) {
            return false;
        }
        (self.limit_untold, self.limit_told) = (false, Some(now));
        true
    }

    /// Notes that there is no permit until then.
    pub(super) fn close_until(&mut self, until: Time, now: Time) {
        (self.closed, self.refused) = (Some(until), Some(now));
    }

    pub(super) fn is_limit_exhausted(&self, now: Time) -> bool {
        let lately = self.refused.is_some_and(|at| now.saturating_sub(at) < SPENT);
        lately && self.standing.limit().rate().is_some()
    }

    /// How long until something may be sent, if there is no permit now, or the target wants a pause.
    pub(super) fn closed_for(&self, now: Time) -> Option<Duration> {
        let closed = self.closed.and_then(|closed| closed.checked_sub(now));
        closed.filter(|left| !left.is_zero()).max(self.standing.pause_remaining(now))
    }

    /// Whether others go first.
    pub(super) fn is_away(&self, now: Time) -> bool {
        let look: Result<(), Closed> = self.standing.check_open(now);
        look.is_err() || self.paused_elsewhere.is_some_and(|until| now < until)
    }
}
