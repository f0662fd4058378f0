//! A request as it is recognized when targets crash under it, see [`policy::poison`].

use crate::cluster::suspects::Fingerprint;
use crate::codec::{PartId, Prompt};
use crate::config::route::ServiceName;
use crate::exchange::crashes;
use crate::shared::Shared;
use crate::targets::target::Target;
use compact_str::{CompactString, format_compact};
use policy::poison::{Crash, Key, Run};
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
    /// What may be harmful: the request, and then the parts of its prompt that others may share, in
    /// their order.
    keys: Arc<[Key]>,
    /// The ids of these parts.
    parts: Arc<[PartId]>,
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

/// A request whose answer has gone on for this long doesn't crash its target by a part of its prompt:
/// such a part does so as the answer begins.
pub const BEGINNING: Duration = Duration::from_millis(500);

/// The maximum number of parts of one prompt that are considered.
const MAX_PARTS: usize = 32;

impl Progress {
    /// Whether a part of the prompt may have crashed the target.
    fn is_beginning(self) -> bool {
        match self {
            Self::Prefill => false,
            Self::Sent => true,
            Self::Answered(since_head) => since_head < BEGINNING,
        }
    }

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
    /// A request to a service with this fingerprint and prompt.
    pub fn new(
        shared: Arc<Shared>,
        attempt_id: CompactString,
        fingerprint: Fingerprint,
        service: &ServiceName,
        prompt: Option<&Prompt>,
    ) -> Self {
        let parts = prompt.and_then(|prompt| prompt.parts.split_last());
        let parts = parts.map_or(&[][..], |(_, shared)| shared).iter().take(MAX_PARTS);
        let parts: Arc<[PartId]> = parts.map(|part| part.id).collect();
        let service = policy::hash(service);
        let part_keys = parts.iter().map(|id| policy::mix(service, *id));
        let keys = std::iter::once(fingerprint).chain(part_keys).collect();
        Self { shared, attempt_id, keys, parts, in_trial: Arc::default() }
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
        if !crashes::is_first_holder(&self.shared) {
            return false;
        }
        let trials = self.shared.suspects.begin_trial(&self.keys, self.shared.crash_time());
        crashes::publish(&self.shared, &trials);
        self.in_trial.store(!trials.is_empty(), Ordering::Relaxed);
        !self.is_blocked()
    }

    fn is_blocked(&self) -> bool {
        self.shared.suspects.is_any_blocked(&self.keys) && !self.in_trial.load(Ordering::Relaxed)
    }

    fn is_trial_due(&self) -> bool {
        crashes::is_first_holder(&self.shared)
            && self.shared.suspects.is_trial_due(&self.keys, self.shared.crash_time())
    }

    /// Finds out whether a target crashed that broke off under the request, which was sent to it at
    /// `began`, and tells the others. Returns whether it crashed. Whoever sends the request again
    /// waits for this.
    pub async fn record_break(
        &self,
        target: &Arc<Target>,
        began: Instant,
        progress: Progress,
    ) -> bool {
        self.in_trial.store(false, Ordering::Relaxed);
        let (broke_at, began) = (Instant::now(), self.shared.crash_time_at(began));
        let crash = Crash { target: target.key, at: self.shared.crash_time_at(broke_at) };
        let parts = if progress.is_beginning() { self.keys[1..].to_vec() } else { Vec::new() };
        let run = Run { request: self.keys[0], parts, began };
        let crashed = target.has_crashed(broke_at).await;
        log::info!(target: "request", id = self.attempt_id.as_str(), target_id = target.id.as_str(),
            keys = list(&self.keys).as_str(), crashed, progress = progress.name(),
            head_ms = progress.since_head().as_millis(), parts = list(&self.parts).as_str();
            "target broke off under a request");
        if crashed {
            crashes::report(&self.shared, crash, run);
        } else {
            self.shared.suspects.record_unconfirmed(crash, run);
        }
        crashed
    }

    /// As [`Self::record_break`], without waiting.
    pub fn spawn_record_break(&self, target: &Arc<Target>, began: Instant, progress: Progress) {
        let (subject, target) = (self.clone(), target.clone());
        tokio::spawn(async move {
            subject.record_break(&target, began, progress).await;
        });
    }

    /// Records that the request ran to its end.
    pub fn record_completion(&self) {
        crashes::record_completion(&self.shared, &self.keys);
    }

    /// Records that the answer has gone on for longer than [`BEGINNING`].
    pub fn record_begun(&self) {
        crashes::record_completion(&self.shared, &self.keys[1..]);
    }
}

/// Hashes or ids as logs name them.
fn list(ids: &[u64]) -> CompactString {
    let mut text = CompactString::default();
    for id in ids {
        let separator = if text.is_empty() { "" } else { "," };
        text.push_str(&format_compact!("{separator}{id:x}"));
    }
    text
}

impl fmt::Debug for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Subject").field("keys", &self.keys).finish()
    }
}
