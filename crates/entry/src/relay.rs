//! One prompt from its first attempt to the end of its answer, over as many targets as it takes.
//!
//! What could go wrong: an engine or agent dies in the middle of an answer, or an event is
//! doubled, late or missing, and the caller gets a cut or garbled answer. Each piece therefore
//! carries the token it begins at. Only the piece that is next is passed on; after a loss the
//! request is resumed elsewhere from the last token passed on.

use crate::Reason;
use crate::attempt::Attempt;
use crate::daemon::Shared;
use crate::decisions::RetryContext;
use crate::duplicates::DuplicateGuard;
use crate::explain::ExplanationRecorder;
use crate::late_binding::{self, Started};
use crate::outcome::{AttemptHistory, Failure};
use crate::problem::Problem;
use crate::router;
use crate::target_table::SelectedTarget;
use compact_str::format_compact;
use conf::Name;
use policy::estimate::Cost;
use policy::quarantine::Verdict;
use state::System;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Delta, End, EventKind, Finish, Progress, Prompt, Request, Work};

/// After what silence in the middle of an answer its target counts as stuck: far above any time
/// between two tokens, also behind a long prompt in the same batch.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// How long an answer that goes on elsewhere may wait for a slot there. Its caller has a part of
/// it already, so it waits longer than a fresh one would: after the crash of a third of the
/// engines, until the first of the answers on the others end.
const RESUME_TIMEOUT: Duration = Duration::from_secs(60);

/// How long the news of a crash is waited for: an append and a read of a slow log.
const CRASH_RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// A piece of an answer.
pub(crate) enum Piece {
    /// The next text.
    Text {
        /// The text.
        text: String,
        /// The event id from which the caller may go on.
        id: String,
    },
    /// The answer is complete.
    End(End),
}

/// One prompt on its way.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    request: Request,
    prompt: Prompt,
    recorder: ExplanationRecorder,
    history: AttemptHistory,
    attempt: Option<Attempt>,
    /// Held from the first attempt on, so that copies of the request wait for what becomes of it.
    duplicate_guard: Option<DuplicateGuard>,
    /// Whether the attempt ends with the prompt's part.
    prefilling: bool,
    tried: Vec<Name>,
    retries: u32,
    crashes: u32,
    /// How many tokens the caller had when this entry took the request.
    initial_tokens: u32,
    /// Whether the answer can be resumed elsewhere: all its text is known here.
    resumable: bool,
    deadline: Deadline,
    started_at: Instant,
    /// When the attempt's first piece came, and the token at its end.
    first_token: Option<(Instant, u32)>,
}

/// Until when an answer is worth something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deadline {
    /// Until its first token, for streams.
    FirstToken(Instant),
    /// Until its last token, for whole answers.
    Complete(Instant),
}

/// What the next event means for the answer.
enum NextStep {
    Piece(Piece),
    Continue,
}

impl Relay {
    /// Makes the relay of a prompt; nothing is sent before [`Relay::next`].
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: Request,
        prompt: Prompt,
        recorder: ExplanationRecorder,
        deadline: Deadline,
    ) -> Self {
        Self {
            shared,
            request,
            prompt,
            recorder,
            history: AttemptHistory::new(true),
            attempt: None,
            duplicate_guard: None,
            prefilling: false,
            tried: Vec::new(),
            retries: 0,
            crashes: 0,
            initial_tokens: 0,
            resumable: true,
            deadline,
            started_at: Instant::now(),
            first_token: None,
        }
    }

    /// Goes on with an answer that another entry began, through `attempt`.
    pub(crate) fn attached(mut self, attempt: Attempt, from_token: u32) -> Self {
        self.attempt = Some(attempt);
        self.prompt.resume_tokens = from_token;
        self.initial_tokens = from_token;
        self.resumable = false;
        self
    }

    /// The next piece of the answer; after an error or the end there is none.
    pub(crate) async fn next(&mut self) -> Result<Piece, Problem> {
        loop {
            let wait_until = self.wait_deadline();
            let failure = match tokio::time::timeout_at(wait_until, self.next_event()).await {
                Ok(Ok(kind)) => match self.handle_event(kind) {
                    Ok(NextStep::Piece(piece)) => return Ok(piece),
                    Ok(NextStep::Continue) => continue,
                    Err(failure) => failure,
                },
                Ok(Err(failure)) => failure,
                Err(_) => self.timeout_failure(wait_until),
            };
            self.prepare_retry(failure).await?;
        }
    }

    /// When to stop waiting for the next event.
    fn wait_deadline(&self) -> Instant {
        let unstarted = self.prompt.resume_tokens == 0;
        let stall_timeout = if self.first_token.is_none() { RESUME_TIMEOUT } else { STALL_TIMEOUT };
        let stall = Instant::now() + stall_timeout;
        match self.deadline {
            Deadline::FirstToken(deadline) | Deadline::Complete(deadline) if unstarted => deadline,
            Deadline::FirstToken(_) => stall,
            Deadline::Complete(deadline) => deadline.min(stall),
        }
    }

    /// The next event of the attempt, which is started if there is none.
    async fn next_event(&mut self) -> Result<EventKind, Failure> {
        if self.attempt.is_none() {
            if self.duplicate_guard.is_none() {
                let duplicates = &self.shared.decisions.duplicates;
                self.duplicate_guard = Some(duplicates.start(self.request.fingerprint).await);
            }
            let Started { attempt, first, prefilling } = self.start().await?;
            self.recorder.record_sent(attempt.target());
            self.attempt = Some(attempt);
            self.prefilling = prefilling;
            if let Some(first) = first {
                return Ok(first);
            }
        }
        let Some(attempt) = &mut self.attempt else {
            return Err(Failure::connection_lost(Progress::NotRun));
        };
        let kind = attempt.next().await;
        kind.ok_or_else(|| Failure::connection_lost(attempt.progress()))
    }

    async fn start(&mut self) -> Result<Started, Failure> {
        let targets = self.select_targets()?;
        self.recorder.record(late_binding::describe(&targets));
        let names: Vec<_> = targets.iter().map(|target| target.configured.name.clone()).collect();
        let remaining = self.wait_deadline().saturating_duration_since(Instant::now());
        if self.retries == 0 {
            self.admit(&targets, remaining)?;
        }
        self.request.deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        self.request.work = Some(Work::Prompt(self.prompt.clone()));
        let started = late_binding::start(&self.shared, &self.request, targets).await;
        if started.is_err() {
            self.tried.extend(names.into_iter().take(1));
        }
        started
    }

    /// The targets to try, by the log's records of crashes and by load.
    fn select_targets(&self) -> Result<Vec<SelectedTarget>, Failure> {
        let fingerprint = self.request.fingerprint;
        let verdict =
            self.shared.decisions.quarantine_verdict(&self.shared.system.borrow(), fingerprint);
        match verdict {
            Verdict::Normal => Ok(router::for_prompt(&self.shared, &self.prompt, &self.tried)),
            Verdict::Alone | Verdict::Wait => {
                Ok(router::for_suspect(&self.shared, &self.prompt, fingerprint))
            }
            Verdict::Refuse => {
                let detail = "this very request crashed targets and is not run any more";
                Err(Failure::not_run(Reason::Quarantined, detail))
            }
        }
    }

    /// Refuses early what can't begin in time behind the work at the targets picked.
    ///
    /// Not what is urgent: it goes before that work, and only the agent knows what goes before it.
    /// When it was judged by all work ahead, a fleet at three times its load refused 95 of 100
    /// urgent replies as too late, which would have begun within 60 ms.
    fn admit(&self, targets: &[SelectedTarget], remaining: Duration) -> Result<(), Failure> {
        let cost =
            Cost::new(u64::from(self.prompt.prompt_tokens), u64::from(self.prompt.expected_tokens));
        if !self.request.urgent {
            self.shared.decisions.admit(targets, cost, remaining)?;
        }
        if let Some(target) = targets.first() {
            let caller = self.request.caller.as_str().into();
            self.shared.decisions.earn(&caller, &target.configured.name);
        }
        Ok(())
    }

    fn handle_event(&mut self, kind: EventKind) -> Result<NextStep, Failure> {
        match kind {
            EventKind::Delta(delta) => self.handle_delta(delta),
            EventKind::End(end) => self.handle_end(end),
            EventKind::Refusal(refusal) if self.is_unanswered_attach() => {
                // Whatever the agent's reason, it must not tell whether others have this answer.
                let detail = "you have no answer of this id".to_owned();
                let failure = Failure::from_refusal(refusal);
                Err(Failure { reason: Reason::UnknownAnswer, detail, ..failure })
            }
            EventKind::Refusal(refusal) => Err(Failure::from_refusal(refusal)),
            EventKind::Offer(_) => Ok(NextStep::Continue),
            EventKind::Head(_) | EventKind::Part(_) => Err(invalid_event("a service's answer")),
        }
    }

    /// Whether this goes on with another entry's answer and has not got any of it yet.
    fn is_unanswered_attach(&self) -> bool {
        !self.resumable && self.prompt.resume_tokens == self.initial_tokens
    }

    /// Passes a piece on if it is the next one; one that the caller already has is dropped.
    fn handle_delta(&mut self, delta: Delta) -> Result<NextStep, Failure> {
        let delivered = self.prompt.resume_tokens;
        let end = delta.from_token.saturating_add(delta.tokens);
        if end <= delivered && delta.tokens > 0 {
            return Ok(NextStep::Continue);
        }
        if delta.from_token != delivered {
            return Err(invalid_event("a gap between tokens"));
        }
        if self.first_token.is_none() {
            self.first_token = Some((Instant::now(), end));
        }
        if delivered == 0 {
            self.shared.metrics.record_first_token(self.started_at.elapsed());
        }
        self.prompt.resume_tokens = end;
        if let Some(duplicate_guard) = &mut self.duplicate_guard {
            duplicate_guard.clear();
        }
        if self.resumable {
            self.prompt.resume_text.push_str(&delta.text);
        }
        let target = self.attempt.as_ref().map_or("", |attempt| attempt.target());
        let id = format!("{target}/{}/{end}", self.request.id);
        Ok(NextStep::Piece(Piece::Text { text: delta.text, id }))
    }

    fn handle_end(&mut self, end: End) -> Result<NextStep, Failure> {
        if end.output_tokens != self.prompt.resume_tokens {
            return Err(invalid_event("an end that does not follow the last token"));
        }
        let is_complete =
            end.finish() == Finish::Stop || end.output_tokens >= self.prompt.max_tokens;
        if self.prefilling && !is_complete {
            self.switch_to_decode();
            return Ok(NextStep::Continue);
        }
        self.learn(&end);
        self.attempt = None;
        self.recorder.record(format_compact!("complete after {} tokens", end.output_tokens));
        self.shared.metrics.goodput_tokens.inc_by(u64::from(end.output_tokens));
        self.shared.metrics.prompt_tokens.inc_by(u64::from(end.prompt_tokens));
        Ok(NextStep::Piece(Piece::End(end)))
    }

    /// Learns from a complete answer: its length, and how fast its target generated.
    fn learn(&mut self, end: &End) {
        let tokens = end.output_tokens;
        let decisions = &self.shared.decisions;
        let (caller, model) = (&self.request.caller, &self.prompt.model);
        decisions.learn(caller, model, tokens);
        // A prompt whose KV cache came from elsewhere says nothing of the prefix cache.
        if self.prompt.kv_source.is_empty() && self.retries == 0 {
            decisions.learn_cached(caller, model, end.prompt_tokens, end.cached_tokens);
        }
        let (Some(attempt), Some((at, from))) = (&self.attempt, self.first_token) else { return };
        if let Some(later) = tokens.checked_sub(from).filter(|later| *later > 0) {
            let seconds_per_token = at.elapsed().as_secs_f64() / f64::from(later);
            decisions.record_completion(attempt.target(), seconds_per_token);
        }
    }

    /// Goes on at a decode engine, which imports the KV cache of the prefill engine.
    fn switch_to_decode(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.prompt.kv_source = attempt.target().to_string();
            self.recorder.record(format_compact!("prompt read at {}", attempt.target()));
        }
        self.prefilling = false;
    }

    fn timeout_failure(&self, wait_until: Instant) -> Failure {
        let progress = self.attempt.as_ref().map_or(Progress::NotRun, Attempt::progress);
        let first = self.prompt.resume_tokens == 0;
        let deadline_passed = match self.deadline {
            Deadline::FirstToken(deadline) => first && deadline == wait_until,
            Deadline::Complete(deadline) => deadline == wait_until,
        };
        let (reason, detail) = match deadline_passed {
            true => (Reason::DeadlineExceeded, "the deadline passed"),
            false => (Reason::TargetBroken, "the target sent nothing for too long"),
        };
        Failure { reason, progress, retry_after: None, detail: detail.to_owned() }
    }

    /// Prepares another attempt after a failed one, or says that there will be none.
    async fn prepare_retry(&mut self, failure: Failure) -> Result<(), Problem> {
        let target = self.attempt.take().map(|attempt| attempt.target().clone());
        let name = target.as_deref().unwrap_or("no target");
        let (reason, tokens) = (failure.reason.name(), self.prompt.resume_tokens);
        self.recorder.record(format_compact!("{reason} at {name} after {tokens} tokens"));
        log::info!(
            request = self.request.id.as_str(), peer = name, reason = reason, tokens = tokens,
            detail = failure.detail.as_str(); "attempt-failed"
        );
        let failed_target = target.as_ref().filter(|_| failure.reason.is_target_fault());
        if let Some(target) = failed_target {
            self.shared.decisions.record_failure(target);
        }
        self.crashes += u32::from(crashed(&failure));
        self.first_token = None;
        self.prefilling = false;
        // The cache may be what failed, or be gone with its engine; only after a planned change is
        // it kept, for the target that goes on.
        self.prompt.kv_source.clear();
        if let Some(target) = target.as_ref().filter(|_| keeps_kv_cache(&failure)) {
            self.prompt.kv_source = target.to_string();
        }
        let no_target = Name::default();
        let context = RetryContext {
            caller: &self.request.caller.as_str().into(),
            target: target.as_ref().unwrap_or(&no_target),
            history: &self.history,
            retries: self.retries,
            crashes: self.crashes,
            delivered: tokens > self.initial_tokens,
        };
        let delay = self.shared.decisions.retry_delay(&failure, &context);
        self.tried.extend(target);
        let Some(delay) = delay.filter(|_| self.resumable) else {
            return Err(Problem::new(failure, &self.history));
        };
        self.history.record(failure.progress);
        self.retries += 1;
        if tokens > 0 {
            self.shared.metrics.resumes.inc();
        }
        tokio::time::sleep(delay).await;
        if failure.reason == Reason::TargetBroken && tokens == 0 {
            self.wait_for_crash_record().await;
        }
        Ok(())
    }

    /// Waits until the log says of the crash, or does not in time.
    ///
    /// Without it the request would be tried on a second engine before it is known that another
    /// entry's copy has crashed one too: two entries took down four engines.
    async fn wait_for_crash_record(&self) {
        let mut system = self.shared.system.clone();
        let is_recorded = |system: &Arc<System>| system.suspect(self.request.fingerprint).is_some();
        let started_at = Instant::now();
        // In vain means that the log is out or slow, or that the engine did not crash.
        if tokio::time::timeout(CRASH_RECORD_TIMEOUT, system.wait_for(is_recorded)).await.is_ok() {
            // Another entry's copy may have crashed an engine at the same time; the news of that
            // takes as long.
            tokio::time::sleep(started_at.elapsed()).await;
        }
    }
}

/// Whether the target crashed under the attempt, and did not merely fall silent.
fn crashed(failure: &Failure) -> bool {
    failure.reason == Reason::TargetBroken && failure.progress == Progress::Started
}

/// Whether a planned change took the attempt out of a target that keeps its KV cache.
fn keeps_kv_cache(failure: &Failure) -> bool {
    failure.reason == Reason::Draining && failure.progress == Progress::Started
}

fn invalid_event(what: &str) -> Failure {
    let detail = format!("the target's agent sent {what}");
    Failure { reason: Reason::TargetBroken, progress: Progress::Started, retry_after: None, detail }
}
