//! Whether a target accepts requests from this entry: by its own responses, by the permits that are
//! available, and by its responses to other entries.

use policy::Time;
use policy::signals::{Change, Closed, SignalState, Signals};
use std::time::Duration;

/// For how long a target's limit counts as exhausted after a permit was refused: longer than an
/// entry waits before it requests one again.
const LIMIT_EXHAUSTED: Duration = Duration::from_millis(2_500);

/// Interval at which an unchanged limit is reported to the target's coordinators.
const LIMIT_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Which requests one target accepts.
#[derive(Debug, Default)]
pub(super) struct Intake {
    /// What its own responses signal.
    pub(super) signal_state: SignalState,
    /// Whether the limit has changed since it was last reported to the coordinators.
    limit_unreported: bool,
    /// When it was last reported.
    limit_reported: Option<Time>,
    /// Until when there is no permit to send to it.
    closed: Option<Time>,
    /// When a permit was last refused.
    refused: Option<Time>,
    /// Until when it accepts no requests from some other entry.
    peer_pause_until: Option<Time>,
}

impl Intake {
    /// Creates the state of a target with the signals that it sent before.
    pub(super) fn new(signal_state: SignalState) -> Self {
        Self { signal_state, ..Self::default() }
    }

    pub(super) fn observe(&mut self, signals: &Signals, sent: Time, now: Time) -> Vec<Change> {
        let changes = self.signal_state.observe(signals, sent, now);
        if changes.iter().any(|change| matches!(change, Change::Limit(_))) {
            (self.limit_unreported, self.closed) = (true, None);
        }
        changes
    }

    pub(super) fn record_peer_pause(&mut self, until: Time) {
        self.peer_pause_until = Some(until);
    }

    /// Whether a report of the limit to its coordinators is due, or, if `is_outdated`, a report
    /// that there is none. If so, counts the report as sent.
    pub(super) fn begin_limit_report(&mut self, is_outdated: bool, now: Time) -> bool {
        let recently =
            self.limit_reported.is_some_and(|at| now.saturating_sub(at) < LIMIT_REPORT_INTERVAL);
        let relevant = is_outdated || self.signal_state.limit().rate().is_some();
        if !self.limit_unreported && (!relevant || recently) {
            return false;
        }
        (self.limit_unreported, self.limit_reported) = (false, Some(now));
        true
    }

    /// Records that there is no permit until `until`.
    pub(super) fn close_until(&mut self, until: Time, now: Time) {
        (self.closed, self.refused) = (Some(until), Some(now));
    }

    pub(super) fn is_limit_exhausted(&self, now: Time) -> bool {
        let recently = self.refused.is_some_and(|at| now.saturating_sub(at) < LIMIT_EXHAUSTED);
        recently && self.signal_state.limit().rate().is_some()
    }

    /// How long until a request may be sent, if there is no permit now or the target is paused.
    pub(super) fn closed_for(&self, now: Time) -> Option<Duration> {
        let closed = self.closed.and_then(|closed| closed.checked_sub(now));
        closed.filter(|left| !left.is_zero()).max(self.signal_state.pause_remaining(now))
    }

    /// Whether other targets are preferred.
    pub(super) fn is_unavailable(&self, now: Time) -> bool {
        let open: Result<(), Closed> = self.signal_state.check_open(now);
        open.is_err() || self.peer_pause_until.is_some_and(|until| now < until)
    }
}
