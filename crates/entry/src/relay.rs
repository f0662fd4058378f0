//! Relays the response to one prompt, with as many attempts at different targets as it takes.
//!
//! An engine or agent can fail in the middle of a response, and events can be duplicated, delayed
//! or lost. So that the caller never receives a truncated or corrupted response, each piece carries
//! the offset of its first token and only the piece that follows the last one is forwarded. After a
//! failure the request is resumed at another target from the last token forwarded.

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

/// Time without an event after which a target counts as stalled in the middle of a response. It is
/// far above the time between two tokens, even with a long prompt in the same batch.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that a resumed response may wait for a slot at another target. It is longer than for a new
/// request, since the caller already has a part of the response: after the crash of a third of the
/// engines it covers the time until the first responses at the other engines end.
const RESUME_TIMEOUT: Duration = Duration::from_secs(60);

/// Time to wait for the log's record of a crash: one append and one read of a slow log.
const CRASH_RECORD_TIMEOUT: Duration = Duration::from_secs(3);

/// A piece of a response.
pub(crate) enum Piece {
    /// The next text.
    Text {
        /// The text of the piece.
        text: String,
        /// The event id from which the caller can resume.
        id: String,
    },
    /// The response is complete.
    End(End),
}

/// A prompt whose response is being relayed.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    request: Request,
    prompt: Prompt,
    recorder: ExplanationRecorder,
    history: AttemptHistory,
    attempt: Option<Attempt>,
    /// Held from the first attempt on, so that identical requests wait for its outcome.
    duplicate_guard: Option<DuplicateGuard>,
    /// Whether the attempt ends after prefill.
    prefilling: bool,
    tried: Vec<Name>,
    retries: u32,
    crashes: u32,
    /// Number of tokens that the caller already had when this entry received the request.
    initial_tokens: u32,
    /// Whether the response can be resumed at another target, which needs all its text.
    resumable: bool,
    deadline: Deadline,
    started_at: Instant,
    /// When the attempt's first piece arrived, and the offset of the token after it.
    first_token: Option<(Instant, u32)>,
}

/// Deadline of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deadline {
    /// Applies to the first token, for streams.
    FirstToken(Instant),
    /// Applies to the last token, for responses in one piece.
    Complete(Instant),
}

/// How to proceed after an event.
enum NextStep {
    Piece(Piece),
    Continue,
}

impl Relay {
    /// Creates the relay of a prompt; nothing is sent before [`Relay::next`].
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

    /// Resumes a response that another entry began, through `attempt`.
    pub(crate) fn attached(mut self, attempt: Attempt, from_token: u32) -> Self {
        self.attempt = Some(attempt);
        self.prompt.resume_tokens = from_token;
        self.initial_tokens = from_token;
        self.resumable = false;
        self
    }

    /// Returns the next piece of the response; must not be called after an error or the end.
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

    /// Returns when to stop waiting for the next event.
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

    /// Returns the next event of the current attempt, or starts an attempt if there is none.
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

    /// Chooses the targets to try, by load and by the crashes recorded in the log.
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

    /// Refuses a request early if it can't begin in time after the work ahead of it at `targets`.
    ///
    /// Urgent requests are exempt: they go ahead of that work, and only the agent knows what is
    /// ahead of them. When they were judged by all work ahead, a fleet with three times the load
    /// that it can serve refused 95 of 100 urgent requests as too late that would have begun within
    /// 60 ms.
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
                // The response must not reveal whether another caller has a response with this id,
                // whatever the agent's reason.
                let detail = "you have no answer of this id".to_owned();
                let failure = Failure::from_refusal(refusal);
                Err(Failure { reason: Reason::UnknownAnswer, detail, ..failure })
            }
            EventKind::Refusal(refusal) => Err(Failure::from_refusal(refusal)),
            EventKind::Offer(_) => Ok(NextStep::Continue),
            EventKind::Head(_) | EventKind::Part(_) => Err(invalid_event("a service's answer")),
        }
    }

    /// Returns whether this resumes another entry's response and has received no piece of it yet.
    fn is_unanswered_attach(&self) -> bool {
        !self.resumable && self.prompt.resume_tokens == self.initial_tokens
    }

    /// Forwards a piece if it is the next one; drops pieces that the caller already has.
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

    /// Updates estimates from a complete response: its length and its target's decode speed.
    fn learn(&mut self, end: &End) {
        let tokens = end.output_tokens;
        let decisions = &self.shared.decisions;
        let (caller, model) = (&self.request.caller, &self.prompt.model);
        decisions.learn(caller, model, tokens);
        // A prompt whose KV cache was transferred gives no information about the prefix cache.
        if self.prompt.kv_source.is_empty() && self.retries == 0 {
            decisions.learn_cached(caller, model, end.prompt_tokens, end.cached_tokens);
        }
        let (Some(attempt), Some((at, from))) = (&self.attempt, self.first_token) else { return };
        if let Some(later) = tokens.checked_sub(from).filter(|later| *later > 0) {
            let seconds_per_token = at.elapsed().as_secs_f64() / f64::from(later);
            decisions.record_completion(attempt.target(), seconds_per_token);
        }
    }

    /// Continues at a decode engine, which imports the KV cache of the prefill engine.
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

    /// Prepares the next attempt after a failure; returns the problem if there must be none.
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
        // The transferred cache may be the cause of the failure, or be lost with its engine. Only a
        // planned change keeps it, for the target that continues.
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

    /// Waits until the log has a record of the crash, or until a timeout.
    ///
    /// Without it the request would be retried on a second engine before this entry learns that the
    /// same request sent to another entry has crashed an engine too: two entries crashed four
    /// engines.
    async fn wait_for_crash_record(&self) {
        let mut system = self.shared.system.clone();
        let is_recorded = |system: &Arc<System>| system.suspect(self.request.fingerprint).is_some();
        let started_at = Instant::now();
        // A timeout means that the log is unavailable or slow, or that the engine did not crash.
        if tokio::time::timeout(CRASH_RECORD_TIMEOUT, system.wait_for(is_recorded)).await.is_ok() {
            // An identical request at another entry may have crashed an engine at the same time;
            // its record takes as long to arrive.
            tokio::time::sleep(started_at.elapsed()).await;
        }
    }
}

/// Returns whether the target crashed during the attempt, rather than being unresponsive.
fn crashed(failure: &Failure) -> bool {
    failure.reason == Reason::TargetBroken && failure.progress == Progress::Started
}

/// Returns whether a planned change interrupted the attempt at a target that keeps its KV cache.
fn keeps_kv_cache(failure: &Failure) -> bool {
    failure.reason == Reason::Draining && failure.progress == Progress::Started
}

fn invalid_event(what: &str) -> Failure {
    let detail = format!("the target's agent sent {what}");
    Failure { reason: Reason::TargetBroken, progress: Progress::Started, retry_after: None, detail }
}
