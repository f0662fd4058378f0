//! Runs one call of a plain service.
//!
//! If a call were sent to a second target because the first seemed to have failed, it could take
//! effect twice, for example transfer funds twice. A call that may not be repeated is therefore
//! sent once, to the target that its key determines. Any failure is reported to the caller and the
//! entry does not retry.

use crate::Reason;
use crate::attempt::Attempt;
use crate::daemon::Shared;
use crate::decisions::RetryContext;
use crate::explain::ExplanationRecorder;
use crate::outcome::{AttemptHistory, Failure};
use crate::problem::Problem;
use crate::router;
use crate::view::ConfiguredTarget;
use bytes::{Bytes, BytesMut};
use compact_str::format_compact;
use conf::Name;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Call, EventKind, Head, Progress, Request, Work};

/// Time that a call waits for a connection to its target's agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of a body that are buffered before the caller receives any. Up to this size the loss of a
/// target can be handled by a retry or reported as a problem; beyond it the body is truncated.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Maximum time that the first part of a body is buffered.
const MAX_BUFFER_TIME: Duration = Duration::from_millis(50);

/// A response whose head has arrived.
pub(crate) struct ServiceResponse {
    pub(crate) head: Head,
    /// The first part of the body.
    pub(crate) body: Bytes,
    /// Receives the rest of the body, if there is more.
    pub(crate) rest: Option<Attempt>,
}

/// A call in progress.
pub(crate) struct ServiceCall<'a> {
    pub(crate) shared: &'a Shared,
    pub(crate) request: Request,
    pub(crate) call: Call,
    pub(crate) recorder: ExplanationRecorder,
    pub(crate) deadline: Instant,
}

impl ServiceCall<'_> {
    /// Runs the call until its response has begun.
    pub(crate) async fn run(mut self) -> Result<ServiceResponse, Problem> {
        let mut history = AttemptHistory::new(self.call.repeatable);
        let mut tried = Vec::new();
        let mut retries = 0;
        loop {
            let failure = match self.attempt(&mut tried).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            self.log_failure(&failure);
            let target = tried.last().cloned().unwrap_or_default();
            if failure.reason.is_target_fault() {
                self.shared.decisions.record_failure(&target);
            }
            let context = RetryContext {
                caller: &self.request.caller.as_str().into(),
                target: &target,
                history: &history,
                retries,
                crashes: 0,
                delivered: false,
            };
            let delay = self.shared.decisions.retry_delay(&failure, &context);
            let Some(delay) = delay.filter(|_| self.call.repeatable) else {
                return Err(Problem::new(failure, &history));
            };
            history.record(failure.progress);
            retries += 1;
            tokio::time::sleep(delay).await;
        }
    }

    fn log_failure(&self, failure: &Failure) {
        let (request, reason) = (self.request.id.as_str(), failure.reason.name());
        self.recorder.record(format_compact!("{reason}: {}", failure.detail));
        let detail = failure.detail.as_str();
        log::info!(request = request, reason = reason, detail = detail; "attempt-failed");
    }

    async fn attempt(&mut self, tried: &mut Vec<Name>) -> Result<ServiceResponse, Failure> {
        let target = self.choose_target(tried);
        let target = target.ok_or_else(|| {
            Failure::not_run(Reason::NoTarget, "no target of this service is in service")
        })?;
        if tried.is_empty() {
            let caller = self.request.caller.as_str().into();
            self.shared.decisions.earn(&caller, &target.name);
        }
        tried.push(target.name.clone());
        self.recorder.record_sent(&target.name);
        let mut attempt = self.submit(&target).await?;
        match tokio::time::timeout_at(self.deadline, response(&mut attempt)).await {
            Ok(Ok((head, body, is_complete))) => {
                let rest = (!is_complete).then_some(attempt);
                Ok(ServiceResponse { head, body, rest })
            }
            Ok(Err(failure)) => Err(failure),
            Err(_) => {
                let progress = Progress::Unknown;
                let detail = "the deadline passed".to_owned();
                let reason = Reason::DeadlineExceeded;
                Err(Failure { reason, progress, retry_after: None, detail })
            }
        }
    }

    fn choose_target(&self, tried: &[Name]) -> Option<Arc<ConfiguredTarget>> {
        let Call { service, key, repeatable, .. } = &self.call;
        if *repeatable {
            let targets = router::for_call(self.shared, service, tried);
            return targets.into_iter().next().map(|target| target.configured);
        }
        router::target_for_key(self.shared, service, &self.request.caller, key)
    }

    async fn submit(&mut self, target: &ConfiguredTarget) -> Result<Attempt, Failure> {
        let unreachable = |detail: &str| {
            Failure::not_run(Reason::AgentUnreachable, format!("{}: {detail}", target.name))
        };
        let session = target.peer.session(CONNECT_TIMEOUT).await;
        let session = session.ok_or_else(|| unreachable("its agent can't be reached"))?;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Failure::not_run(Reason::DeadlineExceeded, "the deadline passed"));
        }
        self.request.deadline_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        self.request.work = Some(Work::Call(self.call.clone()));
        let context = self.shared.peers.context();
        let attempt =
            session.submit(context, target.name.clone(), self.request.clone(), false).await;
        self.shared.metrics.attempts.inc();
        attempt.ok_or_else(|| unreachable("the connection to its agent was lost"))
    }
}

/// Receives the response's head and the first part of its body; the flag is set if that is all.
async fn response(attempt: &mut Attempt) -> Result<(Head, Bytes, bool), Failure> {
    let head = loop {
        match attempt.next().await {
            Some(EventKind::Head(head)) => break head,
            Some(EventKind::Refusal(refusal)) => return Err(Failure::from_refusal(refusal)),
            Some(EventKind::Offer(_)) => {}
            Some(EventKind::Delta(_) | EventKind::Part(_) | EventKind::End(_)) => {
                return Err(invalid_response());
            }
            None => return Err(Failure::connection_lost(attempt.progress())),
        }
    };
    let mut body = BytesMut::new();
    let buffer_until = Instant::now() + MAX_BUFFER_TIME;
    while body.len() < MAX_BUFFERED_BYTES {
        let Ok(kind) = tokio::time::timeout_at(buffer_until, attempt.next()).await else { break };
        match kind {
            Some(EventKind::Part(part)) => body.extend_from_slice(&part.bytes),
            Some(EventKind::End(_)) => return Ok((head, body.freeze(), true)),
            Some(EventKind::Refusal(refusal)) => return Err(Failure::from_refusal(refusal)),
            Some(EventKind::Delta(_) | EventKind::Offer(_) | EventKind::Head(_)) => {
                return Err(invalid_response());
            }
            None => return Err(Failure::connection_lost(attempt.progress())),
        }
    }
    Ok((head, body.freeze(), false))
}

fn invalid_response() -> Failure {
    let detail = "the target's agent sent what is no service's answer".to_owned();
    let (reason, progress) = (Reason::TargetBroken, Progress::Started);
    Failure { reason, progress, retry_after: None, detail }
}
