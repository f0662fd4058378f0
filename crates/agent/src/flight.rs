//! One run of a call that may not be repeated: intent, dispatch, record; written straight down.

use crate::answer::Answer;
use crate::calls::Key;
use crate::dispatcher::{Ask, Denied, Turn};
use crate::job::Job;
use crate::refusal::{self, not_run, unknown};
use crate::shared::{CALL_TOKENS, Shared};
use crate::{Backend, perform};
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use futures_util::StreamExt;
use policy::estimate::Cost;
use state::record::{self, Body};
use state::{Error, Fold, Held};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Call, End, EventKind, Part, Refusal};

/// One run of a call.
pub(crate) struct Flight {
    shared: Arc<Shared>,
    key: Key,
    call: Call,
    held: Held,
    answer: Arc<Answer>,
    caller: CompactString,
    urgent: bool,
    expires: Instant,
    traceparent: String,
}

/// The largest body that is recorded: the log carries each answer, and a transfer's confirmation
/// is far smaller. A retry of a call with a larger one learns its status only.
const MAX_RECORDED: usize = 64 * 1024;

/// How long to wait before an outcome is appended again.
const RECORD_RETRY: Duration = Duration::from_secs(1);

/// How long an appended intent may take to be read back.
const READ_BACK: Duration = Duration::from_secs(3);

impl Flight {
    /// Makes the run of `call`, which sends its events to `answer`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        job: &Job,
        key: Key,
        call: Call,
        held: Held,
        answer: Arc<Answer>,
    ) -> Self {
        Self {
            shared: shared.clone(),
            key,
            call,
            held,
            answer,
            caller: job.request.caller.to_compact_string(),
            urgent: job.request.urgent,
            expires: job.expires,
            traceparent: job.request.traceparent.clone(),
        }
    }

    /// Runs the call at most once and records what became of it.
    pub(crate) async fn run(self) {
        let (intent, outcome) = match self.intend().await {
            Ok(intent) => (Some(intent), self.dispatch(intent).await),
            Err(refusal) => (None, Err((refusal, None))),
        };
        let record = match outcome {
            Ok(record) => Some(record),
            Err((refusal, record)) => {
                // The last event never waits.
                let _ = self.answer.push(EventKind::Refusal(refusal)).await;
                record
            }
        };
        if let (Some(intent), Some(record)) = (intent, record) {
            let claim = self.held.claim;
            write(&self.shared, record::Answer { intent, claim, ..record }).await;
        }
        self.shared.flights.end(&self.key.key);
    }

    /// Appends the intent and reads it back as the one that counts.
    async fn intend(&self) -> Result<u64, Refusal> {
        let intent = Body::Intent(record::Intent {
            key: self.key.key.clone(),
            digest: self.key.digest.clone(),
            scope: self.shared.scope().to_string(),
            claim: self.held.claim,
        });
        let stream = plat::calls_stream(&self.shared.target);
        // After any error this attempt is never dispatched. If the reply was lost the intent may
        // still appear; it is then found pending, not under way here, and freed.
        let appended = self.shared.appender.append(&stream, intent).await;
        let appended = appended.map_err(|error| log_unavailable(&error))?;
        let mut calls = self.shared.calls.clone();
        let read = calls.wait_for(|calls| calls.end() > appended.offset);
        match tokio::time::timeout(READ_BACK, read).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => {
                self.free_later(appended.offset);
                return Err(not_run("log-unavailable", "the intent could not be read back"));
            }
        }
        let counts = self.shared.calls.borrow().may_dispatch(&self.key.key, appended.offset);
        if counts { Ok(appended.offset) } else { Err(self.overtaken()) }
    }

    /// The intent does not count: another came first, or the claim was lost before it.
    fn overtaken(&self) -> Refusal {
        let calls = self.shared.calls.borrow();
        let known = calls.call(&self.key.key);
        match known.filter(|call| call.status != state::CallStatus::NotRun) {
            Some(_) => unknown("in-progress", "another attempt with the key came first"),
            None => not_run("no-claim", "the agent lost its target before it began"),
        }
    }

    /// Dispatches the call. On success gives what is to be recorded; on failure the refusal, and
    /// what is to be recorded.
    async fn dispatch(
        &self,
        intent: u64,
    ) -> Result<record::Answer, (Refusal, Option<record::Answer>)> {
        let never = |refusal| (refusal, Some(record::Answer { not_run: true, ..empty() }));
        let mut share = self.shared.meter.add(0, u64::from(CALL_TOKENS));
        let _turn = self.turn().await.map_err(never)?;
        share.start();
        let Backend::Service(service) = &self.shared.backend else {
            return Err(never(not_run("wrong-target", "this target is no service")));
        };
        self.check(intent).map_err(never)?;
        let call = perform::target_call(self.call.clone(), &self.traceparent);
        let response = match service.call(call).await {
            Ok(response) => response,
            Err(error @ target::Error::NotReached { .. }) => {
                return Err(never(refusal::from_target(&error)));
            }
            Err(error) => {
                let refusal = unknown("outcome-unknown", error.to_string());
                return Err((refusal, Some(empty())));
            }
        };
        let recorded = self.hand_on(response).await;
        share.answered();
        recorded
    }

    async fn turn(&self) -> Result<Turn, Refusal> {
        let ask = Ask {
            caller: self.caller.clone(),
            weight: self.shared.weight(&self.caller),
            urgent: self.urgent,
            cost: Cost::new(0, u64::from(CALL_TOKENS)),
            expires: self.expires,
            begun: false,
            alone: false,
        };
        let turn = self.shared.dispatcher.turn(ask).await;
        turn.map_err(|denied| match denied {
            Denied::Full => not_run("queue-full", "too much waits at the target"),
            Denied::Expired => not_run("deadline-exceeded", "no slot was free in time"),
            Denied::Moved => not_run("draining", "the target is being taken out of service"),
        })
    }

    /// The last look before the call goes out: the claim must still be held. A pause between this
    /// look and the write is left uncovered, and does no harm to the key: a successor finds the
    /// intent and runs it no more.
    fn check(&self, intent: u64) -> Result<(), Refusal> {
        let held = *self.shared.held.borrow();
        let same = held.is_some_and(|held| held.is_valid() && held.claim == self.held.claim);
        let counts = self.shared.calls.borrow().may_dispatch(&self.key.key, intent);
        if same && counts {
            Ok(())
        } else {
            Err(not_run("no-claim", "the agent lost its target before it began"))
        }
    }

    /// Hands the response on and keeps what is recorded of it.
    async fn hand_on(
        &self,
        mut response: target::Response,
    ) -> Result<record::Answer, (Refusal, Option<record::Answer>)> {
        let lines = response
            .headers
            .iter()
            .map(|header| format!("{}: {}", header.name, String::from_utf8_lossy(&header.value)));
        let mut record = record::Answer {
            status: u32::from(response.status),
            headers: lines.collect(),
            ..empty()
        };
        let head = perform::head(response.status, &response.headers);
        let mut body = BytesMut::new();
        let mut reads = self.answer.push(EventKind::Head(head)).await.is_ok();
        while let Some(part) = response.body.next().await {
            let bytes = match part {
                Ok(bytes) => bytes,
                Err(error) => {
                    record.body_left_out = true;
                    let refusal = refusal::started("target-broken", error.to_string());
                    return Err((refusal, Some(record)));
                }
            };
            keep(&mut body, &mut record, &bytes);
            // Whoever takes nothing loses the rest; the call has run and is recorded as such.
            reads = reads && self.answer.push(EventKind::Part(Part { bytes })).await.is_ok();
        }
        record.body = body.freeze();
        if !reads {
            self.answer.give_up();
            let refusal = refusal::started("slow-reader", "the caller took nothing for too long");
            return Err((refusal, Some(record)));
        }
        // The last event never waits.
        let _ = self.answer.push(EventKind::End(End::default())).await;
        Ok(record)
    }

    /// Says in the log that the intent was never dispatched, once the log takes it.
    fn free_later(&self, intent: u64) {
        let (shared, claim) = (self.shared.clone(), self.held.claim);
        self.shared.tasks.job(async move {
            write(&shared, record::Answer { intent, claim, not_run: true, ..empty() }).await;
        });
    }
}

/// Says in the log that an intent of ours was never dispatched, and waits until that is read back.
pub(crate) async fn free(shared: &Shared, intent: u64) -> Result<(), Refusal> {
    let claim = (*shared.held.borrow()).map_or(0, |held| held.claim);
    let answer = record::Answer { intent, claim, not_run: true, ..empty() };
    let stream = plat::calls_stream(&shared.target);
    let appended = shared.appender.append(&stream, Body::Answer(answer)).await;
    let appended = appended.map_err(|error| log_unavailable(&error))?;
    let mut calls = shared.calls.clone();
    let read = calls.wait_for(|calls| calls.end() > appended.offset);
    match tokio::time::timeout(READ_BACK, read).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(not_run("log-unavailable", "the log cannot be read")),
    }
}

/// Appends an outcome until it stands in the log, however long the log is out.
///
/// Until then the key counts as under way here. Given up, the intent would look as if it had never
/// been dispatched, and a retry would free its key and run the call again.
async fn write(shared: &Shared, answer: record::Answer) {
    let stream = plat::calls_stream(&shared.target);
    // Appending it twice does no harm: the first one counts.
    while let Err(error) = shared.appender.append(&stream, Body::Answer(answer.clone())).await {
        log::warn!(intent = answer.intent, error:% = error; "outcome-not-recorded");
        tokio::time::sleep(RECORD_RETRY).await;
    }
}

/// Keeps a piece of the body for the record, unless it becomes too long.
fn keep(body: &mut BytesMut, record: &mut record::Answer, bytes: &Bytes) {
    if record.body_left_out || body.len() + bytes.len() > MAX_RECORDED {
        record.body_left_out = true;
        body.clear();
    } else {
        body.extend_from_slice(bytes);
    }
}

/// An answer that says that the outcome is unknown.
fn empty() -> record::Answer {
    record::Answer::default()
}

fn log_unavailable(error: &Error) -> Refusal {
    refusal::retry_after(not_run("log-unavailable", error.to_string()), RECORD_RETRY)
}
