//! A request as it is recognized when targets crash under it, see [`policy::poison`].

use crate::cluster::suspects::Fingerprint;
use crate::codec::{Part, Prompt};
use crate::exchange::crashes;
use crate::shared::Shared;
use crate::targets::target::Target;
use compact_str::{CompactString, format_compact};
use policy::poison::{Crash, Run};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// What of a request is known to the entries when a target crashes under it.
#[derive(Clone)]
pub struct Subject {
    shared: Arc<Shared>,
    /// The caller's id of this attempt.
    attempt_id: CompactString,
    fingerprint: Fingerprint,
    /// The parts of its prompt that others may share: all but the last one.
    parts: Arc<[Part]>,
    /// Whether this attempt is the trial of a request that is refused otherwise.
    in_trial: Arc<AtomicBool>,
}

/// How far a request had come at a target that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// Its prompt was being prefilled for another target.
    Prefill,
    /// It was sent, and nothing had come back.
    Sent,
    /// The head of the response had arrived so long ago.
    Answered(Duration),
}

impl Progress {
    fn name(self) -> &'static str {
        match self {
            Self::Prefill => "prefill",
            Self::Sent => "sent",
            Self::Answered(_) => "answered",
        }
    }

    fn since_head(self) -> Duration {
        match self {
            Self::Prefill | Self::Sent => Duration::ZERO,
            Self::Answered(since_head) => since_head,
        }
    }
}

impl Subject {
    /// A request with this fingerprint and prompt.
    pub fn new(
        shared: Arc<Shared>,
        attempt_id: CompactString,
        fingerprint: Fingerprint,
        prompt: Option<&Prompt>,
    ) -> Self {
        let parts = prompt.and_then(|prompt| prompt.parts.split_last());
        let parts = parts.map_or(&[][..], |(_, shared)| shared).into();
        Self { shared, attempt_id, fingerprint, parts, in_trial: Arc::default() }
    }

    /// Whether the request is to be refused.
    pub fn is_refused(&self) -> bool {
        self.is_blocked() && !self.is_trial_due()
    }

    /// Whether the request may be sent to a target. To be asked directly before it is written: it
    /// may have crashed others while it waited. A trial begins here.
    pub fn may_send(&self) -> bool {
        if !self.is_blocked() {
            return true;
        }
        let allowed = self
            .is_trial_due()
            .then(|| self.shared.suspects.begin_trial(self.fingerprint, self.shared.time()));
        let Some(verdict) = allowed.flatten() else { return false };
        self.in_trial.store(true, Ordering::Relaxed);
        crashes::publish(&self.shared, &[verdict]);
        true
    }

    fn is_blocked(&self) -> bool {
        self.shared.suspects.is_blocked(self.fingerprint) && !self.in_trial.load(Ordering::Relaxed)
    }

    fn is_trial_due(&self) -> bool {
        crashes::allows_trials(&self.shared)
            && self.shared.suspects.is_trial_due(self.fingerprint, self.shared.time())
    }

    /// Finds out whether a target crashed that broke off under the request, which was sent to it at
    /// `began`, and tells the others. Whoever sends the request again waits for this.
    pub async fn record_break(&self, target: &Arc<Target>, began: Instant, progress: Progress) {
        self.in_trial.store(false, Ordering::Relaxed);
        let (broke_at, began) = (Instant::now(), self.shared.time_at(began));
        let crash = Crash { target: target.key, at: self.shared.time_at(broke_at) };
        let run = Run { request: self.fingerprint, began };
        let crashed = target.has_crashed(broke_at).await;
        log::info!(target: "request", id = self.attempt_id.as_str(), target_id = target.id.as_str(),
            key = self.fingerprint, crashed, progress = progress.name(),
            head_ms = progress.since_head().as_millis(), parts = self.part_ids().as_str();
            "target broke off under a request");
        if crashed {
            crashes::report(&self.shared, crash, run);
        } else {
            self.shared.suspects.record_unconfirmed(crash, run);
        }
    }

    /// As [`Self::record_break`], without waiting.
    pub fn spawn_record_break(&self, target: &Arc<Target>, began: Instant, progress: Progress) {
        let (subject, target) = (self.clone(), target.clone());
        tokio::spawn(async move { subject.record_break(&target, began, progress).await });
    }

    /// The ids of its parts, for logs.
    fn part_ids(&self) -> CompactString {
        let mut ids = CompactString::default();
        for part in self.parts.iter() {
            let separator = if ids.is_empty() { "" } else { "," };
            ids.push_str(&format_compact!("{separator}{:x}", part.id));
        }
        ids
    }

    /// Records that the request ran to its end.
    pub fn record_completion(&self) {
        crashes::record_completion(&self.shared, &[self.fingerprint]);
    }
}

impl fmt::Debug for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Subject").field("fingerprint", &self.fingerprint).finish()
    }
}
