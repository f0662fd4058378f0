//! One request from its arrival to the end of its answer.

use crate::answer::Answer;
use crate::dispatcher::{Denied, SlotGuard, SlotRequest};
use crate::refusal::{self, not_run};
use crate::shared::Shared;
use crate::{Backend, keyed_calls, prompt, service_call};
use body::Holding;
use compact_str::ToCompactString;
use policy::admission::{self, Admission, TargetState};
use policy::estimate::Cost;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::{Call, EventKind, Offer, Refusal, Request, Work};

/// A request that the agent handles.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Receives the events of the request.
    pub(crate) answer: Arc<Answer>,
    /// Whether part of the output was already generated at another target.
    pub(crate) resumed: bool,
    /// The memory that the request holds.
    pub(crate) memory: Arc<Holding>,
    /// Receives the entry's consent to an offered request; `None` if no offer is needed.
    pub(crate) begin: Option<oneshot::Receiver<()>>,
    /// Identifies the job at the engine, together with the request's id.
    pub(crate) attempt: u64,
    /// When the caller stops waiting for the request to start.
    pub(crate) deadline: Instant,
}

/// How long an offered slot is reserved for the entry's reply: some round trips between sites. With
/// a longer timeout slots idle for entries that are gone; with a shorter one slow links fail.
const OFFER_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs a job to completion. The last event of the answer is its end or a refusal.
pub(crate) async fn run(shared: Arc<Shared>, mut job: Job) {
    let result = match admit(&shared, &job) {
        Ok(()) => dispatch(&shared, &mut job).await,
        Err(refusal) => Err(refusal),
    };
    if let Err(refusal) = result {
        shared.metrics.count_refusal(&refusal.reason);
        log::info!(
            request = job.request.id.as_str(), reason = refusal.reason.as_str(),
            progress:? = refusal.progress(), detail = refusal.detail.as_str();
            "request-refused"
        );
        // Cannot fail: the last event is never held back by slow readers.
        let _ = job.answer.push(EventKind::Refusal(refusal)).await;
    }
}

/// Refuses work that this target does not do or does not accept at present.
fn admit(shared: &Shared, job: &Job) -> Result<(), Refusal> {
    let supported = matches!(
        (&shared.backend, &job.request.work),
        (Backend::Engine(_), Some(Work::Prompt(_))) | (Backend::Service(_), Some(Work::Call(_)))
    );
    if !supported {
        return Err(not_run("wrong-target", "this target does other work"));
    }
    shared
        .accepting()
        .map_err(|detail| refusal::retry_after(not_run("draining", detail), DRAIN_RETRY))
}

/// When to retry a request that was refused during a planned change: the usual length of one.
const DRAIN_RETRY: Duration = Duration::from_secs(5);

async fn dispatch(shared: &Arc<Shared>, job: &mut Job) -> Result<(), Refusal> {
    match job.request.work.take() {
        Some(Work::Prompt(work)) => prompt::run(shared, job, work).await?,
        Some(Work::Call(work)) if is_repeatable(shared, &work) => {
            service_call::run(shared, job, work).await?;
        }
        Some(Work::Call(work)) if work.key.is_empty() => {
            service_call::run_once(shared, job, work).await?
        }
        Some(Work::Call(work)) => keyed_calls::run(shared, job, work).await?,
        None => return Err(not_run("wrong-target", "the request is empty")),
    }
    shared.metrics.completed.inc();
    Ok(())
}

/// Returns whether the call is idempotent.
fn is_repeatable(shared: &Shared, call: &Call) -> bool {
    call.repeatable || shared.resource().is_some_and(|target| target.repeatable)
}

/// Waits for a slot, and for the entry's consent if the request also waits at other targets.
pub(crate) async fn acquire_slot(
    shared: &Arc<Shared>,
    job: &mut Job,
    cost: Cost,
    alone: bool,
) -> Result<SlotGuard, Refusal> {
    let request = slot_request(shared, job, cost, alone);
    let slot = tokio::select! {
        slot = shared.dispatcher.acquire(request) =>
            slot.map_err(|denied| slot_refusal(shared, denied))?,
        () = job.answer.detached() => return Err(not_run("cancelled", "nobody waits for it")),
    };
    let Some(begin) = job.begin.take() else { return Ok(slot) };
    // If the reader has stalled, the entry does not see the offer, and the offer expires below.
    let _ = job.answer.push(EventKind::Offer(Offer {})).await;
    tokio::select! {
        begin = tokio::time::timeout(OFFER_TIMEOUT, begin) => match begin {
            Ok(Ok(())) => Ok(slot),
            Ok(Err(_)) | Err(_) => Err(not_run("offer-expired", "it was not begun in time")),
        },
        () = job.answer.detached() => Err(not_run("cancelled", "nobody waits for it")),
    }
}

fn slot_request(shared: &Shared, job: &Job, cost: Cost, alone: bool) -> SlotRequest {
    let caller = job.request.caller.to_compact_string();
    let weight = shared.weight(&caller);
    SlotRequest {
        caller,
        weight,
        urgent: job.request.urgent,
        cost,
        deadline: job.deadline,
        resumed: job.resumed,
        alone,
    }
}

/// Refuses a request that cannot start before its deadline, while another target still can.
pub(crate) fn check_deadline(shared: &Shared, job: &Job, cost: Cost) -> Result<(), Refusal> {
    // An assumed speed would refuse requests that fit; late ones are dropped from the queue anyway.
    if !shared.is_measured() {
        return Ok(());
    }
    let ahead = shared.work_ahead(&job.request.caller, job.request.urgent);
    let state = TargetState { ahead, rates: shared.rates(), accepting: true };
    let time_left = job.deadline.saturating_duration_since(Instant::now());
    let request = admission::Request { cost, deadline: Some(time_left) };
    let decision = Admission::default().decide(&request, &state, Duration::ZERO);
    decision.map(drop).map_err(|refused| {
        let refusal = not_run("overloaded", "the work ahead takes longer than that");
        refusal::retry_after(refusal, refused.retry_after)
    })
}

fn slot_refusal(shared: &Shared, denied: Denied) -> Refusal {
    let wait = shared.expected_wait().max(MIN_RETRY_AFTER);
    match denied {
        Denied::QueueFull => {
            refusal::retry_after(not_run("queue-full", "too much waits at the target"), wait)
        }
        Denied::Expired => {
            refusal::retry_after(not_run("deadline-exceeded", "no slot was free in time"), wait)
        }
        Denied::Draining => {
            refusal::retry_after(not_run("draining", "a planned change is under way"), DRAIN_RETRY)
        }
    }
}

/// Lower bound of `retry_after`: no backlog changes much in less time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
