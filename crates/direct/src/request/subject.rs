//! A request as it is recognized when targets crash under it.

use crate::cluster::suspects::Fingerprint;
use crate::shared::Shared;
use crate::targets::target::Target;
use compact_str::CompactString;
use policy::poison::{Crash, Run};
use std::fmt;
use std::sync::Arc;
use tokio::time::Instant;

/// What of a request is known to the entries when a target crashes under it.
#[derive(Clone)]
pub struct Subject {
    shared: Arc<Shared>,
    /// The caller's id of this attempt.
    attempt_id: CompactString,
    fingerprint: Fingerprint,
}

impl Subject {
    /// A request with this fingerprint.
    pub fn new(shared: Arc<Shared>, attempt_id: CompactString, fingerprint: Fingerprint) -> Self {
        Self { shared, attempt_id, fingerprint }
    }

    /// Whether the request is to be refused.
    pub fn is_refused(&self) -> bool {
        self.shared.suspects.is_blocked(self.fingerprint)
    }

    /// Whether the request may be sent to a target. To be asked directly before it is written: it
    /// may have crashed others while it waited.
    pub fn may_send(&self) -> bool {
        !self.is_refused()
    }

    /// Finds out whether a target crashed that broke off under the request. Whoever sends the
    /// request again waits for this.
    pub async fn record_break(&self, target: &Arc<Target>, began: Instant) {
        let (broke_at, began) = (Instant::now(), self.shared.time_at(began));
        let crash = Crash { target: target.key, at: self.shared.time_at(broke_at) };
        let run = Run { request: self.fingerprint, began };
        let crashed = target.has_crashed(broke_at).await;
        log::info!(target: "request", id = self.attempt_id.as_str(), target_id = target.id.as_str(),
            key = self.fingerprint, crashed; "target broke off under a request");
        if crashed {
            self.shared.suspects.record_crash(crash, &run, self.shared.time());
        } else {
            self.shared.suspects.record_unconfirmed(crash, run);
        }
    }

    /// Records that another target was found in the place of one, which has crashed if it broke off
    /// lately.
    pub fn confirm_crash(&self, target: &Target) {
        let now = self.shared.time();
        for (crash, run) in self.shared.suspects.confirm(target.key, now) {
            self.shared.suspects.record_crash(crash, &run, now);
        }
    }

    /// Records that the request ran to its end.
    pub fn record_completion(&self) {
        self.shared.suspects.record_completion(&[self.fingerprint], self.shared.time());
    }

    /// As [`Self::record_break`], without waiting.
    pub fn spawn_record_break(&self, target: &Arc<Target>, began: Instant) {
        let (subject, target) = (self.clone(), target.clone());
        tokio::spawn(async move { subject.record_break(&target, began).await });
    }
}

impl fmt::Debug for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Subject").field("fingerprint", &self.fingerprint).finish()
    }
}
