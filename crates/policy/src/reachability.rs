//! Tracks whether a target can be reached and whether it responds.
//!
//! **Load pattern.** A target stops responding under load: its connections stay open without any
//! data, or it accepts no connections. **Without this**, it keeps its share of the requests until
//! its registration expires, and each of them waits for its deadline. At the end of every backoff,
//! all requests of that moment go there at once and wait for a connection. **Approach.** A target
//! that has had requests for a while without sending anything counts as unresponsive, and one that
//! could not be reached is backed off from. Both get work only if all targets are in such a state.
//! After a backoff one probe is sent, and only its success ends the backoff.

use crate::Time;
use std::time::Duration;

/// First backoff after a target could not be reached; it doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff. A target that recovers is detected within this time and that of a probe.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Reachability of one target, as seen by one entry.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    outstanding: u32,
    /// Since when it has had requests without sending anything.
    quiet_since: Option<Time>,
    backoff: Option<Backoff>,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Time,
    length: Duration,
    probing: bool,
}

impl Reachability {
    /// Records that a request is sent to the target.
    pub fn request_started(&mut self, now: Time) {
        self.outstanding += 1;
        self.quiet_since.get_or_insert(now);
    }

    /// Records that a request at the target has ended, with any outcome.
    pub fn request_ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if self.outstanding == 0 {
            self.quiet_since = None;
        }
    }

    /// Returns the number of requests in flight.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Records that the target sent something.
    pub fn response_received(&mut self, now: Time) {
        self.quiet_since = (self.outstanding > 0).then_some(now);
        self.backoff = None;
    }

    /// Records that the target could not be reached.
    pub fn connection_failed(&mut self, now: Time) {
        let length = match self.backoff {
            // Several attempts that fail together count once.
            Some(backoff) if !backoff.probing => return,
            Some(backoff) => (backoff.length * 2).min(MAX_BACKOFF),
            None => INITIAL_BACKOFF,
        };
        self.backoff = Some(Backoff { until: now + length, length, probing: false });
    }

    /// Returns whether the target could not be reached and no probe has succeeded since.
    pub fn is_backing_off(&self) -> bool {
        self.backoff.is_some()
    }

    /// Returns when the next probe is due, unless one is in progress.
    pub fn probe_due(&self) -> Option<Time> {
        self.backoff.filter(|backoff| !backoff.probing).map(|backoff| backoff.until)
    }

    /// Starts a probe if one is due, and returns whether it did. The caller then sends it and
    /// reports the outcome with [`Reachability::response_received`] or
    /// [`Reachability::connection_failed`].
    #[must_use]
    pub fn begin_probe(&mut self, now: Time) -> bool {
        let Some(backoff) =
            self.backoff.as_mut().filter(|backoff| !backoff.probing && now >= backoff.until)
        else {
            return false;
        };
        backoff.probing = true;
        true
    }

    /// Returns whether the target has had requests for longer than `timeout` without sending
    /// anything.
    pub fn is_unresponsive(&self, timeout: Duration, now: Time) -> bool {
        self.quiet_since.is_some_and(|since| now.saturating_sub(since) > timeout)
    }
}
