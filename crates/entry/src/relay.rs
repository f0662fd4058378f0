//! One prompt from its first attempt to the end of its answer, over as many targets as it takes.
//!
//! What could go wrong: an engine or agent dies in the middle of an answer, or an event is
//! doubled, late or missing, and the caller gets a cut or garbled answer. Each piece therefore
//! carries the token it begins at. Only the piece that is next is passed on; after a loss the
//! request is resumed elsewhere from the last token passed on.

use crate::Reason;
use crate::attempt::Attempt;
use crate::board::Pick;
use crate::copies::Copy;
use crate::daemon::Shared;
use crate::decisions::Past;
use crate::explain::Account;
use crate::outcome::{Failure, Trail};
use crate::problem::Problem;
use crate::race::{self, Started};
use crate::router;
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
const STALL_LIMIT: Duration = Duration::from_secs(20);

/// How long an answer that goes on elsewhere may wait for a slot there. Its caller has a part of
/// it already, so it waits longer than a fresh one would: after the crash of a third of the
/// engines, until the first of the answers on the others end.
const RESUME_LIMIT: Duration = Duration::from_secs(60);

/// How long the news of a crash is waited for: an append and a read of a slow log.
const CRASH_NEWS: Duration = Duration::from_secs(3);

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
    account: Account,
    trail: Trail,
    attempt: Option<Attempt>,
    /// Held from the first attempt on, so that copies of the request wait for what becomes of it.
    copy: Option<Copy>,
    /// Whether the attempt ends with the prompt's part.
    prefilling: bool,
    tried: Vec<Name>,
    retries: u32,
    crashes: u32,
    /// How many tokens the caller had when this entry took the request.
    had: u32,
    /// Whether the answer can be resumed elsewhere: all its text is known here.
    resumable: bool,
    deadline: Deadline,
    begun: Instant,
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
enum Turn {
    Piece(Piece),
    Again,
}

impl Relay {
    /// Makes the relay of a prompt; nothing is sent before [`Relay::next`].
    pub(crate) fn new(
        shared: Arc<Shared>,
        request: Request,
        prompt: Prompt,
        account: Account,
        deadline: Deadline,
    ) -> Self {
        Self {
            shared,
            request,
            prompt,
            account,
            trail: Trail::new(true),
            attempt: None,
            copy: None,
            prefilling: false,
            tried: Vec::new(),
            retries: 0,
            crashes: 0,
            had: 0,
            resumable: true,
            deadline,
            begun: Instant::now(),
            first_token: None,
        }
    }

    /// Goes on with an answer that another entry began, through `attempt`.
    pub(crate) fn attached(mut self, attempt: Attempt, from_token: u32) -> Self {
        self.attempt = Some(attempt);
        self.prompt.resume_tokens = from_token;
        self.had = from_token;
        self.resumable = false;
        self
    }

    /// The next piece of the answer; after an error or the end there is none.
    pub(crate) async fn next(&mut self) -> Result<Piece, Problem> {
        loop {
            let limit = self.limit();
            let failure = match tokio::time::timeout_at(limit, self.event()).await {
                Ok(Ok(kind)) => match self.turn(kind) {
                    Ok(Turn::Piece(piece)) => return Ok(piece),
                    Ok(Turn::Again) => continue,
                    Err(failure) => failure,
                },
                Ok(Err(failure)) => failure,
                Err(_) => self.late(limit),
            };
            self.set_back(failure).await?;
        }
    }

    /// When to stop waiting for the next event.
    fn limit(&self) -> Instant {
        let fresh = self.prompt.resume_tokens == 0;
        let silence = if self.first_token.is_none() { RESUME_LIMIT } else { STALL_LIMIT };
        let stall = Instant::now() + silence;
        match self.deadline {
            Deadline::FirstToken(deadline) | Deadline::Complete(deadline) if fresh => deadline,
            Deadline::FirstToken(_) => stall,
            Deadline::Complete(deadline) => deadline.min(stall),
        }
    }

    /// The next event of the attempt, which is started if there is none.
    async fn event(&mut self) -> Result<EventKind, Failure> {
        if self.attempt.is_none() {
            if self.copy.is_none() {
                let copies = &self.shared.decisions.copies;
                self.copy = Some(copies.start(self.request.fingerprint).await);
            }
            let Started { attempt, first, prefilling } = self.start().await?;
            self.account.sent(attempt.target());
            self.attempt = Some(attempt);
            self.prefilling = prefilling;
            if let Some(first) = first {
                return Ok(first);
            }
        }
        let Some(attempt) = &mut self.attempt else { return Err(Failure::lost(Progress::NotRun)) };
        let kind = attempt.next().await;
        kind.ok_or_else(|| Failure::lost(attempt.progress()))
    }

    async fn start(&mut self) -> Result<Started, Failure> {
        let picks = self.pick()?;
        self.account.add(race::describe(&picks));
        let names: Vec<_> = picks.iter().map(|pick| pick.site.name.clone()).collect();
        let left = self.limit().saturating_duration_since(Instant::now());
        if self.retries == 0 {
            self.admit(&picks, left)?;
        }
        self.request.deadline_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        self.request.work = Some(Work::Prompt(self.prompt.clone()));
        let started = race::start(&self.shared, &self.request, picks).await;
        if started.is_err() {
            self.tried.extend(names.into_iter().take(1));
        }
        started
    }

    /// The targets to try, by the log's records of crashes and by load.
    fn pick(&self) -> Result<Vec<Pick>, Failure> {
        let fingerprint = self.request.fingerprint;
        let verdict = self.shared.decisions.judge(&self.shared.system.borrow(), fingerprint);
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
    fn admit(&self, picks: &[Pick], left: Duration) -> Result<(), Failure> {
        let cost =
            Cost::new(u64::from(self.prompt.prompt_tokens), u64::from(self.prompt.expected_tokens));
        if !self.request.urgent {
            self.shared.decisions.admit(picks, cost, left)?;
        }
        if let Some(pick) = picks.first() {
            let caller = self.request.caller.as_str().into();
            self.shared.decisions.earn(&caller, &pick.site.name);
        }
        Ok(())
    }

    fn turn(&mut self, kind: EventKind) -> Result<Turn, Failure> {
        match kind {
            EventKind::Delta(delta) => self.take(delta),
            EventKind::End(end) => self.end(end),
            EventKind::Refusal(refusal) if self.is_unanswered_attach() => {
                // Whatever the agent's reason, it must not tell whether others have this answer.
                let detail = "you have no answer of this id".to_owned();
                let failure = Failure::refused(refusal);
                Err(Failure { reason: Reason::UnknownAnswer, detail, ..failure })
            }
            EventKind::Refusal(refusal) => Err(Failure::refused(refusal)),
            EventKind::Offer(_) => Ok(Turn::Again),
            EventKind::Head(_) | EventKind::Part(_) => Err(garbled("a service's answer")),
        }
    }

    /// Whether this goes on with another entry's answer and has not got any of it yet.
    fn is_unanswered_attach(&self) -> bool {
        !self.resumable && self.prompt.resume_tokens == self.had
    }

    /// Passes a piece on if it is the next one; one that the caller already has is dropped.
    fn take(&mut self, delta: Delta) -> Result<Turn, Failure> {
        let have = self.prompt.resume_tokens;
        let end = delta.from_token.saturating_add(delta.tokens);
        if end <= have && delta.tokens > 0 {
            return Ok(Turn::Again);
        }
        if delta.from_token != have {
            return Err(garbled("a gap between tokens"));
        }
        if self.first_token.is_none() {
            self.first_token = Some((Instant::now(), end));
        }
        if have == 0 {
            self.shared.metrics.first_token(self.begun.elapsed());
        }
        self.prompt.resume_tokens = end;
        if let Some(copy) = &mut self.copy {
            copy.trust();
        }
        if self.resumable {
            self.prompt.resume_text.push_str(&delta.text);
        }
        let target = self.attempt.as_ref().map_or("", |attempt| attempt.target());
        let id = format!("{target}/{}/{end}", self.request.id);
        Ok(Turn::Piece(Piece::Text { text: delta.text, id }))
    }

    fn end(&mut self, end: End) -> Result<Turn, Failure> {
        if end.output_tokens != self.prompt.resume_tokens {
            return Err(garbled("an end that does not follow the last token"));
        }
        let ended = end.finish() == Finish::Stop || end.output_tokens >= self.prompt.max_tokens;
        if self.prefilling && !ended {
            self.hand_over();
            return Ok(Turn::Again);
        }
        self.learn(&end);
        self.attempt = None;
        self.account.add(format_compact!("complete after {} tokens", end.output_tokens));
        self.shared.metrics.goodput_tokens.inc_by(u64::from(end.output_tokens));
        self.shared.metrics.prompt_tokens.inc_by(u64::from(end.prompt_tokens));
        Ok(Turn::Piece(Piece::End(end)))
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
            let pace = at.elapsed().as_secs_f64() / f64::from(later);
            decisions.done(attempt.target(), pace);
        }
    }

    /// Goes on at a decode engine, which imports the KV cache of the prefill engine.
    fn hand_over(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.prompt.kv_source = attempt.target().to_string();
            self.account.add(format_compact!("prompt read at {}", attempt.target()));
        }
        self.prefilling = false;
    }

    fn late(&self, limit: Instant) -> Failure {
        let progress = self.attempt.as_ref().map_or(Progress::NotRun, Attempt::progress);
        let first = self.prompt.resume_tokens == 0;
        let over = match self.deadline {
            Deadline::FirstToken(deadline) => first && deadline == limit,
            Deadline::Complete(deadline) => deadline == limit,
        };
        let (reason, detail) = match over {
            true => (Reason::DeadlineExceeded, "the deadline passed"),
            false => (Reason::TargetBroken, "the target sent nothing for too long"),
        };
        Failure { reason, progress, retry_after: None, detail: detail.to_owned() }
    }

    /// Prepares another attempt after a failed one, or says that there will be none.
    async fn set_back(&mut self, failure: Failure) -> Result<(), Problem> {
        let target = self.attempt.take().map(|attempt| attempt.target().clone());
        let name = target.as_deref().unwrap_or("no target");
        let (reason, tokens) = (failure.reason.name(), self.prompt.resume_tokens);
        self.account.add(format_compact!("{reason} at {name} after {tokens} tokens"));
        log::info!(
            request = self.request.id.as_str(), peer = name, reason = reason, tokens = tokens,
            detail = failure.detail.as_str(); "attempt-failed"
        );
        let fault = target.as_ref().filter(|_| failure.reason.is_targets_fault());
        if let Some(target) = fault {
            self.shared.decisions.failed(target);
        }
        self.crashes += u32::from(crashed(&failure));
        self.first_token = None;
        self.prefilling = false;
        // The cache may be what failed, or be gone with its engine; only after a planned change is
        // it kept, for the target that goes on.
        self.prompt.kv_source.clear();
        if let Some(target) = target.as_ref().filter(|_| moved(&failure)) {
            self.prompt.kv_source = target.to_string();
        }
        let nowhere = Name::default();
        let past = Past {
            caller: &self.request.caller.as_str().into(),
            target: target.as_ref().unwrap_or(&nowhere),
            trail: &self.trail,
            retries: self.retries,
            crashes: self.crashes,
            delivered: tokens > self.had,
        };
        let wait = self.shared.decisions.retry(&failure, &past);
        self.tried.extend(target);
        let Some(wait) = wait.filter(|_| self.resumable) else {
            return Err(Problem::new(failure, &self.trail));
        };
        self.trail.note(failure.progress);
        self.retries += 1;
        if tokens > 0 {
            self.shared.metrics.resumes.inc();
        }
        tokio::time::sleep(wait).await;
        if failure.reason == Reason::TargetBroken && tokens == 0 {
            self.hear_of_crash().await;
        }
        Ok(())
    }

    /// Waits until the log says of the crash, or does not in time.
    ///
    /// Without it the request would be tried on a second engine before it is known that another
    /// entry's copy has crashed one too: two entries took down four engines.
    async fn hear_of_crash(&self) {
        let mut system = self.shared.system.clone();
        let known = |system: &Arc<System>| system.suspect(self.request.fingerprint).is_some();
        let begun = Instant::now();
        // In vain means that the log is out or slow, or that the engine did not crash.
        if tokio::time::timeout(CRASH_NEWS, system.wait_for(known)).await.is_ok() {
            // Another entry's copy may have crashed an engine at the same time; the news of that
            // takes as long.
            tokio::time::sleep(begun.elapsed()).await;
        }
    }
}

/// Whether the target crashed under the attempt, and did not merely fall silent.
fn crashed(failure: &Failure) -> bool {
    failure.reason == Reason::TargetBroken && failure.progress == Progress::Started
}

/// Whether a planned change took the attempt out of a target that keeps its KV cache.
fn moved(failure: &Failure) -> bool {
    failure.reason == Reason::Draining && failure.progress == Progress::Started
}

fn garbled(what: &str) -> Failure {
    let detail = format!("the target's agent sent {what}");
    Failure { reason: Reason::TargetBroken, progress: Progress::Started, retry_after: None, detail }
}
