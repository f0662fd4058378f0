//! Calls that may not be repeated: each key runs at most once, whatever is lost or comes twice.
//!
//! The intent to run a key is appended to the target's stream before the call is dispatched, and
//! it is dispatched only if the intent is read back as the first for its key, written under our
//! claim, while the claim is still held. Whoever meets the key later finds the intent: it gets the
//! recorded answer, or is told that the outcome is unknown; it never runs the call again.

use crate::answer::{Answer, Reader, is_last};
use crate::flight::{self, Flight};
use crate::job::{Job, check_deadline};
use crate::refusal::{self, not_run, started, unknown};
use crate::shared::{CALL_TOKENS, Shared};
use bytes::Bytes;
use policy::estimate::Cost;
use sha2::{Digest, Sha256};
use state::{CallEntry, CallStatus, Held};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use wire::{Call, End, EventKind, Head, Header, Part, Refusal};

/// The calls under way at this agent, by key.
#[derive(Default)]
pub(crate) struct Flights {
    open: Mutex<HashMap<Bytes, Arc<Answer>>>,
}

/// A key and the call that it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Key {
    /// Hash of service, caller and the caller's key, so that callers cannot collide.
    pub(crate) key: Bytes,
    /// Hash of what is called, to refuse the key's reuse.
    pub(crate) digest: Bytes,
}

/// What is to be done with a call, by what is known of its key.
enum Next {
    /// Give the recorded answer.
    Replay(state::record::Answer),
    /// Wait for the call that is under way here.
    Join(Reader),
    /// Run it.
    Run(Held),
    /// Say that an intent of ours was never dispatched, then look again.
    Free(u64),
}

/// How many calls may be under way, recorded answers that wait for the log among them.
const MAX_FLIGHTS: usize = 4_096;

/// The freshest view of the log that proves a key unused by an earlier holder.
const FRESH: Duration = Duration::from_secs(5);

/// When another try is worth it while the claim or the log is missing.
const RETRY: Duration = Duration::from_secs(2);

/// Runs a call under its key, joins it, or gives its recorded answer.
pub(crate) async fn run(shared: &Arc<Shared>, job: &Job, call: Call) -> Result<(), Refusal> {
    let key = Key::of(&call, &job.request.caller);
    loop {
        match next(shared, &key)? {
            Next::Replay(answer) => return replay(job, answer).await,
            Next::Join(reader) => return follow(job, reader, true).await,
            Next::Free(intent) => flight::free(shared, intent).await?,
            Next::Run(held) => {
                check_deadline(shared, job, Cost::new(0, u64::from(CALL_TOKENS)))?;
                let (answer, reader) = Answer::new(&job.request.id, &job.request.caller, true);
                // Between the look above and here nothing waited, so the key is still free here.
                shared.flights.lock().insert(key.key.clone(), answer.clone());
                let flight = Flight::new(shared, job, key, call, held, answer);
                // A task of its own: a caller that hangs up must not leave the outcome unrecorded.
                shared.tasks.job(flight.run());
                return follow(job, reader, false).await;
            }
        }
    }
}

/// Decides by the folded log and by what is under way here.
fn next(shared: &Shared, key: &Key) -> Result<Next, Refusal> {
    let calls = shared.calls.borrow().clone();
    let known = calls.call(&key.key).filter(|call| call.status != CallStatus::NotRun);
    if known.is_some_and(|call| call.digest != key.digest) {
        return Err(not_run("key-reused", "the key stands for another call"));
    }
    if let Some(answer) = shared.flights.lock().get(&key.key) {
        return answer.attach_start().map(Next::Join).ok_or_else(|| {
            refusal::retry_after(unknown("in-progress", "the same call is under way"), RETRY)
        });
    }
    let held = (*shared.held.borrow()).filter(Held::is_valid);
    match (known.map(|call| &call.status), held) {
        (Some(CallStatus::Answered(answer)), _) => Ok(Next::Replay(answer.clone())),
        (Some(CallStatus::Pending), Some(held)) if is_ours(known, held) => {
            // The reply to our append was lost, we gave the call up, and the intent came after
            // all. Only we could have dispatched it, and it is not under way.
            Ok(Next::Free(known.map_or(0, |call| call.intent)))
        }
        (Some(CallStatus::Pending | CallStatus::Unknown | CallStatus::NotRun), _) => {
            Err(unknown("outcome-unknown", "the call was begun, and nobody recorded its outcome"))
        }
        (None, Some(_)) if shared.flights.lock().len() >= MAX_FLIGHTS => {
            Err(refusal::retry_after(not_run("queue-full", "too many calls are open"), RETRY))
        }
        (None, Some(held)) => Ok(Next::Run(held)),
        (None, None) => Err(unheld(shared)),
    }
}

fn is_ours(known: Option<&CallEntry>, held: Held) -> bool {
    known.is_some_and(|call| call.claim == held.claim)
}

/// Without the claim nothing is dispatched. Whether the key may have run elsewhere is another
/// question: if another agent holds the target and we have not read its latest records, it may.
fn unheld(shared: &Shared) -> Refusal {
    let calls = shared.calls.borrow().clone();
    let own = |holder: &state::Holder| holder.is(&shared.name, shared.incarnation);
    let fresh = shared.calls_health.borrow().is_fresh(FRESH);
    let refusal = match calls.holder() {
        Some(holder) if !own(holder) && !fresh => {
            unknown("no-claim", "another agent may hold the target, and the log cannot be read")
        }
        _ if fresh => not_run("no-claim", "the agent does not hold its target at present"),
        _ => not_run("log-unavailable", "the log is out, and without it nothing is begun"),
    };
    refusal::retry_after(refusal, RETRY)
}

/// Hands on the events of a call that is under way.
async fn follow(job: &Job, mut reader: Reader, joined: bool) -> Result<(), Refusal> {
    loop {
        let event = tokio::select! {
            event = reader.next() => event,
            () = job.answer.unread() => return Err(unknown("cancelled", "nobody waits for it")),
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

/// Gives the recorded answer.
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
        job.answer.give_up();
        started("slow-reader", "the caller took nothing for too long")
    })
}

impl Flights {
    /// Forgets a call that has ended and is recorded.
    pub(crate) fn end(&self, key: &Bytes) {
        self.lock().remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Bytes, Arc<Answer>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Key {
    /// The key of a call of `caller`.
    fn of(call: &Call, caller: &str) -> Self {
        Self {
            key: hash(&[call.service.as_bytes(), caller.as_bytes(), call.key.as_bytes()]),
            digest: hash(&[call.method.as_bytes(), call.path.as_bytes(), &call.body]),
        }
    }
}

/// SHA-256 over the parts and their lengths, so that no two lists of parts run into each other.
fn hash(parts: &[&[u8]]) -> Bytes {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update(u64::try_from(part.len()).unwrap_or(u64::MAX).to_be_bytes());
        hash.update(part);
    }
    Bytes::copy_from_slice(&hash.finalize())
}
