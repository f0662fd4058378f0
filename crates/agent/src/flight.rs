//! One execution of a call that may not be repeated: append the intent, dispatch, record the
//! outcome.

use crate::answer::Answer;
use crate::dispatcher::{Denied, SlotGuard, SlotRequest};
use crate::job::Job;
use crate::keyed_calls::CallKey;
use crate::refusal::{self, not_run, unknown};
use crate::shared::{CALL_TOKENS, Shared};
use crate::{Backend, service_call};
use body::Holding;
use bytes::{Bytes, BytesMut};
use compact_str::{CompactString, ToCompactString};
use futures_util::StreamExt;
use policy::estimate::Cost;
use state::record::{self, Body};
use state::{Error, Fold, HeldClaim};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Call, End, EventKind, Part, Refusal};

/// A call that is being executed under its key.
pub(crate) struct InFlightCall {
    shared: Arc<Shared>,
    key: CallKey,
    call: Call,
    held: HeldClaim,
    answer: Arc<Answer>,
    caller: CompactString,
    urgent: bool,
    deadline: Instant,
    traceparent: String,
    /// The memory of the call, which may outlive its job.
    _memory: Arc<Holding>,
}

/// Largest body that is recorded. The log stores every recorded answer, and the confirmation of a
/// transfer is far smaller. For a larger body a retry is only given the status.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Delay before a failed append of an outcome is retried.
const RECORD_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long to wait until an appended record is read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);

impl InFlightCall {
    /// Creates the execution of `call`, which sends its events to `answer`.
    pub(crate) fn new(
        shared: &Arc<Shared>,
        job: &Job,
        key: CallKey,
        call: Call,
        held: HeldClaim,
        answer: Arc<Answer>,
    ) -> Self {
        Self {
            shared: shared.clone(),
            _memory: job.memory.clone(),
            key,
            call,
            held,
            answer,
            caller: job.request.caller.to_compact_string(),
            urgent: job.request.urgent,
            deadline: job.deadline,
            traceparent: job.request.traceparent.clone(),
        }
    }

    /// Executes the call at most once and records the outcome.
    pub(crate) async fn run(self) {
        let (intent, outcome) = match self.append_intent().await {
            Ok(intent) => (Some(intent), self.dispatch(intent).await),
            Err(refusal) => (None, Err((refusal, None))),
        };
        let record = match outcome {
            Ok(record) => Some(record),
            Err((refusal, record)) => {
                // Cannot fail: the last event is never held back by slow readers.
                let _ = self.answer.push(EventKind::Refusal(refusal)).await;
                record
            }
        };
        if let (Some(intent), Some(record)) = (intent, record) {
            let claim = self.held.claim;
            record_outcome(&self.shared, record::Answer { intent, claim, ..record }).await;
        }
        self.shared.in_flight.remove(&self.key.key);
    }

    /// Appends the intent and checks, once it is read back, that it permits the dispatch. Returns
    /// its offset.
    async fn append_intent(&self) -> Result<u64, Refusal> {
        let intent = Body::Intent(record::Intent {
            key: self.key.key.clone(),
            digest: self.key.digest.clone(),
            scope: self.shared.scope().to_string(),
            claim: self.held.claim,
        });
        let stream = plat::calls_stream(&self.shared.target);
        // After an error this attempt is never dispatched. If the reply was lost, the intent may
        // still appear in the log. The next attempt with the key finds it pending, but not in
        // flight here, and releases the key.
        let appended = self.shared.appender.append(&stream, intent).await;
        let appended = appended.map_err(|error| log_unavailable(&error))?;
        let mut calls = self.shared.calls.clone();
        let read = calls.wait_for(|calls| calls.end() > appended.offset);
        match tokio::time::timeout(READ_BACK_TIMEOUT, read).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) | Err(_) => {
                self.release_later(appended.offset);
                return Err(not_run("log-unavailable", "the intent could not be read back"));
            }
        }
        let may_dispatch = self.shared.calls.borrow().may_dispatch(&self.key.key, appended.offset);
        if may_dispatch { Ok(appended.offset) } else { Err(self.intent_refusal()) }
    }

    /// Returns the refusal for an intent that does not permit the dispatch: another attempt came
    /// first, or the claim was lost.
    fn intent_refusal(&self) -> Refusal {
        let calls = self.shared.calls.borrow();
        let recorded = calls.call(&self.key.key);
        match recorded.filter(|call| call.status != state::CallStatus::NotRun) {
            Some(_) => unknown("in-progress", "another attempt with the key came first"),
            None => not_run("no-claim", "the agent lost its target before it began"),
        }
    }

    /// Dispatches the call. Returns the outcome to record; on failure the refusal and the outcome
    /// to record, if any.
    async fn dispatch(
        &self,
        intent: u64,
    ) -> Result<record::Answer, (Refusal, Option<record::Answer>)> {
        let not_dispatched =
            |refusal| (refusal, Some(record::Answer { not_run: true, ..unknown_outcome() }));
        let mut work = self.shared.meter.add(0, u64::from(CALL_TOKENS));
        let _slot = self.acquire_slot().await.map_err(not_dispatched)?;
        work.start();
        let Backend::Service(service) = &self.shared.backend else {
            return Err(not_dispatched(not_run("wrong-target", "this target is no service")));
        };
        self.check_claim(intent).map_err(not_dispatched)?;
        let call = service_call::target_call(self.call.clone(), &self.traceparent);
        let response = match service.call(call).await {
            Ok(response) => response,
            Err(error @ target::Error::NotReached { .. }) => {
                return Err(not_dispatched(refusal::from_target(&error)));
            }
            Err(error) => {
                let refusal = unknown("outcome-unknown", error.to_string());
                return Err((refusal, Some(unknown_outcome())));
            }
        };
        let result = self.forward(response).await;
        work.answered();
        result
    }

    async fn acquire_slot(&self) -> Result<SlotGuard, Refusal> {
        let request = SlotRequest {
            caller: self.caller.clone(),
            weight: self.shared.weight(&self.caller),
            urgent: self.urgent,
            cost: Cost::new(0, u64::from(CALL_TOKENS)),
            deadline: self.deadline,
            resumed: false,
            alone: false,
        };
        let slot = self.shared.dispatcher.acquire(request).await;
        slot.map_err(|denied| match denied {
            Denied::QueueFull => not_run("queue-full", "too much waits at the target"),
            Denied::Expired => not_run("deadline-exceeded", "no slot was free in time"),
            Denied::Draining => not_run("draining", "the target is being taken out of service"),
        })
    }

    /// Checks directly before the dispatch that the claim is still held and the intent still
    /// permits it. A pause of the process between this check and the dispatch is not covered, but
    /// cannot cause a second execution: a successor finds the intent and never executes the key.
    fn check_claim(&self, intent: u64) -> Result<(), Refusal> {
        let held = *self.shared.held.borrow();
        let claim_held = held.is_some_and(|held| held.is_valid() && held.claim == self.held.claim);
        let may_dispatch = self.shared.calls.borrow().may_dispatch(&self.key.key, intent);
        if claim_held && may_dispatch {
            Ok(())
        } else {
            Err(not_run("no-claim", "the agent lost its target before it began"))
        }
    }

    /// Forwards the response and returns the outcome to record.
    async fn forward(
        &self,
        mut response: target::Response,
    ) -> Result<record::Answer, (Refusal, Option<record::Answer>)> {
        let headers = response
            .headers
            .iter()
            .map(|header| format!("{}: {}", header.name, String::from_utf8_lossy(&header.value)));
        let mut record = record::Answer {
            status: u32::from(response.status),
            headers: headers.collect(),
            ..unknown_outcome()
        };
        let head = service_call::head(response.status, &response.headers);
        let mut body = BytesMut::new();
        let mut reader_active = self.answer.push(EventKind::Head(head)).await.is_ok();
        while let Some(part) = response.body.next().await {
            let bytes = match part {
                Ok(bytes) => bytes,
                Err(error) => {
                    record.body_left_out = true;
                    let refusal = refusal::started("target-broken", error.to_string());
                    return Err((refusal, Some(record)));
                }
            };
            record_body(&mut body, &mut record, &bytes);
            // A stalled reader loses the rest. The call was executed and is recorded as such.
            reader_active =
                reader_active && self.answer.push(EventKind::Part(Part { bytes })).await.is_ok();
        }
        record.body = body.freeze();
        if !reader_active {
            self.answer.discard_unread();
            let refusal = refusal::started("slow-reader", "the caller took nothing for too long");
            return Err((refusal, Some(record)));
        }
        // Cannot fail: the last event is never held back by slow readers.
        let _ = self.answer.push(EventKind::End(End::default())).await;
        Ok(record)
    }

    /// Records in the background that the intent was never dispatched, which releases the key.
    fn release_later(&self, intent: u64) {
        let (shared, claim) = (self.shared.clone(), self.held.claim);
        self.shared.tasks.spawn_job(async move {
            record_outcome(
                &shared,
                record::Answer { intent, claim, not_run: true, ..unknown_outcome() },
            )
            .await;
        });
    }
}

/// Records that an intent of this agent was never dispatched, which releases its key, and waits
/// until the record is read back.
pub(crate) async fn release_key(shared: &Shared, intent: u64) -> Result<(), Refusal> {
    let claim = (*shared.held.borrow()).map_or(0, |held| held.claim);
    let answer = record::Answer { intent, claim, not_run: true, ..unknown_outcome() };
    let stream = plat::calls_stream(&shared.target);
    let appended = shared.appender.append(&stream, Body::Answer(answer)).await;
    let appended = appended.map_err(|error| log_unavailable(&error))?;
    let mut calls = shared.calls.clone();
    let read = calls.wait_for(|calls| calls.end() > appended.offset);
    match tokio::time::timeout(READ_BACK_TIMEOUT, read).await {
        Ok(Ok(_)) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(not_run("log-unavailable", "the log cannot be read")),
    }
}

/// Retries the append of an outcome until it succeeds, however long the log is unavailable.
///
/// Until then the key counts as in flight. If the append were given up, the intent would look as if
/// it had never been dispatched, and a retry would release its key and execute the call again.
async fn record_outcome(shared: &Shared, answer: record::Answer) {
    let stream = plat::calls_stream(&shared.target);
    // A duplicate is harmless, since the first outcome is the one that counts.
    while let Err(error) = shared.appender.append(&stream, Body::Answer(answer.clone())).await {
        log::warn!(intent = answer.intent, error:% = error; "outcome-not-recorded");
        tokio::time::sleep(RECORD_RETRY_INTERVAL).await;
    }
}

/// Adds a part of the body to the record, or drops the body if it becomes longer than
/// [`MAX_RECORDED_BYTES`].
fn record_body(body: &mut BytesMut, record: &mut record::Answer, bytes: &Bytes) {
    if record.body_left_out || body.len() + bytes.len() > MAX_RECORDED_BYTES {
        record.body_left_out = true;
        body.clear();
    } else {
        body.extend_from_slice(bytes);
    }
}

/// Returns an answer with an unknown outcome.
fn unknown_outcome() -> record::Answer {
    record::Answer::default()
}

fn log_unavailable(error: &Error) -> Refusal {
    refusal::retry_after(not_run("log-unavailable", error.to_string()), RECORD_RETRY_INTERVAL)
}
