//! Calls that may not be repeated: each idempotency key is executed at most once, whatever is lost
//! or duplicated.
//!
//! Before a call is dispatched, an intent for its key is appended to the target's stream. The call
//! is dispatched only if the intent is read back as the first for its key and as written under this
//! agent's claim, and the claim is still held. A later attempt with the key finds the intent: it
//! gets the recorded answer or a refusal with an unknown outcome, and never executes the call
//! again.

use crate::answer::{Answer, Reader, is_last};
use crate::flight::{self, InFlightCall};
use crate::job::{Job, check_deadline};
use crate::refusal::{self, not_run, started, unknown};
use crate::shared::{CALL_TOKENS, Shared};
use bytes::Bytes;
use policy::estimate::Cost;
use sha2::{Digest, Sha256};
use state::{CallEntry, CallStatus, HeldClaim};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wire::{Call, End, EventKind, Head, Header, Part, Refusal};

/// The calls in flight at this agent, by key.
#[derive(Default)]
pub(crate) struct InFlightCalls {
    by_key: Mutex<HashMap<Bytes, Arc<Answer>>>,
}

/// An idempotency key and a digest of its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CallKey {
    /// Hash of the service, the caller and the caller's key, so that keys of callers cannot
    /// collide.
    pub(crate) key: Bytes,
    /// Hash of the method, path and body, to refuse the key for another call.
    pub(crate) digest: Bytes,
}

/// How to handle a call, given the state of its key.
enum Action {
    /// Send the recorded answer.
    Replay(state::record::Answer),
    /// Wait for the same call, which is in flight here.
    Join(Reader),
    /// Execute the call.
    Run(HeldClaim),
    /// Record that this intent of the agent was never dispatched, then decide again.
    ReleaseKey(u64),
}

/// Maximum calls in flight, including those whose outcome is not recorded in the log yet.
const MAX_IN_FLIGHT: usize = 4_096;

/// Maximum age of the view of the log that proves a key unused by an earlier holder.
const MAX_LOG_AGE: Duration = Duration::from_secs(5);

/// When to retry while the claim is not held or the log is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Executes a call under its key, joins the execution in flight, or sends the recorded answer.
pub(crate) async fn run(shared: &Arc<Shared>, job: &Job, call: Call) -> Result<(), Refusal> {
    let key = CallKey::of(&call, &job.request.caller);
    loop {
        match decide(shared, &key)? {
            Action::Replay(answer) => return replay(job, answer).await,
            Action::Join(reader) => return forward(job, reader, true).await,
            Action::ReleaseKey(intent) => flight::release_key(shared, intent).await?,
            Action::Run(held) => {
                check_deadline(shared, job, Cost::new(0, u64::from(CALL_TOKENS)))?;
                let (answer, reader) = Answer::new(&job.request.id, &job.request.caller, true);
                // There is no await since `decide`, so no other task has taken the key.
                shared.in_flight.lock().insert(key.key.clone(), answer.clone());
                let execution = InFlightCall::new(shared, job, key, call, held, answer);
                // In a separate task, so that the outcome is recorded even if the caller hangs up.
                shared.tasks.spawn_job(execution.run());
                return forward(job, reader, false).await;
            }
        }
    }
}

/// Decides how to handle a call from the state of the log and the calls in flight here.
fn decide(shared: &Shared, key: &CallKey) -> Result<Action, Refusal> {
    let calls = shared.calls.borrow().clone();
    let recorded = calls.call(&key.key).filter(|call| call.status != CallStatus::NotRun);
    if recorded.is_some_and(|call| call.digest != key.digest) {
        return Err(not_run("key-reused", "the key stands for another call"));
    }
    if let Some(answer) = shared.in_flight.lock().get(&key.key) {
        return answer.attach_at_start().map(Action::Join).ok_or_else(|| {
            refusal::retry_after(unknown("in-progress", "the same call is under way"), RETRY_AFTER)
        });
    }
    let held = (*shared.held.borrow()).filter(HeldClaim::is_valid);
    match (recorded.map(|call| &call.status), held) {
        (Some(CallStatus::Answered(answer)), _) => Ok(Action::Replay(answer.clone())),
        (Some(CallStatus::Pending), Some(held)) if is_own_intent(recorded, held) => {
            // The reply to this agent's append was lost and the call was given up, but the intent
            // did reach the log. Only this agent could have dispatched it, and it is not in flight.
            Ok(Action::ReleaseKey(recorded.map_or(0, |call| call.intent)))
        }
        (Some(CallStatus::Pending | CallStatus::Unknown | CallStatus::NotRun), _) => {
            Err(unknown("outcome-unknown", "the call was begun, and nobody recorded its outcome"))
        }
        (None, Some(_)) if shared.in_flight.lock().len() >= MAX_IN_FLIGHT => {
            Err(refusal::retry_after(not_run("queue-full", "too many calls are open"), RETRY_AFTER))
        }
        (None, Some(held)) => Ok(Action::Run(held)),
        (None, None) => Err(no_claim(shared)),
    }
}

fn is_own_intent(recorded: Option<&CallEntry>, held: HeldClaim) -> bool {
    recorded.is_some_and(|call| call.claim == held.claim)
}

/// Returns the refusal of a call while the claim is not held. Nothing is dispatched then, but if
/// another agent holds the target and its latest records are not read here, it may have executed
/// the key.
fn no_claim(shared: &Shared) -> Refusal {
    let calls = shared.calls.borrow().clone();
    let is_own = |holder: &state::Holder| holder.is(&shared.name, shared.incarnation);
    let is_fresh = shared.calls_health.borrow().is_fresh(MAX_LOG_AGE);
    let refusal = match calls.holder() {
        Some(holder) if !is_own(holder) && !is_fresh => {
            unknown("no-claim", "another agent may hold the target, and the log cannot be read")
        }
        _ if is_fresh => not_run("no-claim", "the agent does not hold its target at present"),
        _ => not_run("log-unavailable", "the log is out, and without it nothing is begun"),
    };
    refusal::retry_after(refusal, RETRY_AFTER)
}

/// Forwards the events of a call in flight.
async fn forward(job: &Job, mut reader: Reader, joined: bool) -> Result<(), Refusal> {
    loop {
        let event = tokio::select! {
            event = reader.next() => event,
            () = job.answer.detached() => return Err(unknown("cancelled", "nobody waits for it")),
        };
        match event {
            Some(EventKind::Refusal(refusal)) => return Err(refusal),
            Some(EventKind::Head(head)) => {
                push(job, EventKind::Head(Head { replayed: joined, ..head })).await?;
            }
            Some(event) => {
                let last = is_last(&event);
                push(job, event).await?;
                if last {
                    return Ok(());
                }
            }
            None => return Err(unknown("outcome-unknown", "the call ended without an answer")),
        }
    }
}

/// Sends the recorded answer.
async fn replay(job: &Job, answer: state::record::Answer) -> Result<(), Refusal> {
    if answer.body_left_out {
        let status = answer.status;
        let detail = format!("it ran and was answered with {status}; its body was not recorded");
        return Err(started("answer-not-kept", detail));
    }
    let headers = answer.headers.iter().filter_map(|line| line.split_once(": "));
    let headers = headers.map(|(name, value)| Header {
        name: name.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    let head = Head { status: answer.status, headers: headers.collect(), replayed: true };
    push(job, EventKind::Head(head)).await?;
    push(job, EventKind::Part(Part { bytes: answer.body })).await?;
    push(job, EventKind::End(End::default())).await
}

async fn push(job: &Job, kind: EventKind) -> Result<(), Refusal> {
    job.answer.push(kind).await.map_err(|_| {
        job.answer.discard_unread();
        started("slow-reader", "the caller took nothing for too long")
    })
}

impl InFlightCalls {
    /// Removes a call that has ended and whose outcome is recorded.
    pub(crate) fn remove(&self, key: &Bytes) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Bytes, Arc<Answer>>> {
        self.by_key.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallKey {
    /// Returns the key of a call of `caller`.
    fn of(call: &Call, caller: &str) -> Self {
        Self {
            key: hash(&[call.service.as_bytes(), caller.as_bytes(), call.key.as_bytes()]),
            digest: hash(&[call.method.as_bytes(), call.path.as_bytes(), &call.body]),
        }
    }
}

/// Returns the SHA-256 digest of the parts, each preceded by its length, so that different lists of
/// parts never have the same input.
fn hash(parts: &[&[u8]]) -> Bytes {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hasher.update(part);
    }
    Bytes::copy_from_slice(&hasher.finalize())
}
