//! One request from its arrival to the end of its answer, written straight down.

use crate::answer::Answer;
use crate::dispatcher::{Ask, Denied, Turn};
use crate::refusal::{self, not_run};
use crate::shared::Shared;
use crate::{Backend, calls, perform, prompt};
use compact_str::ToCompactString;
use policy::admission::{self, Admission, TargetState};
use policy::estimate::Cost;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::{Call, EventKind, Offer, Refusal, Request, Work};

/// A request on its way through the agent.
pub(crate) struct Job {
    /// The request.
    pub(crate) request: Request,
    /// Where its events go.
    pub(crate) answer: Arc<Answer>,
    /// Fired when the entry begins an offered request; none if it need not be offered.
    pub(crate) begin: Option<oneshot::Receiver<()>>,
    /// Identifies the job at the engine, together with the request's id.
    pub(crate) attempt: u64,
    /// When the caller stops waiting for it to start.
    pub(crate) expires: Instant,
}

/// How long an offered slot is kept for the entry's answer: some round trips between sites. A
/// slot kept longer for an entry that is gone would idle, shorter would break slow links.
const OFFER_TIME: Duration = Duration::from_millis(250);

/// Runs a job to its end; the answer's last event is its end or a refusal.
pub(crate) async fn run(shared: Arc<Shared>, mut job: Job) {
    let done = match admit(&shared, &job) {
        Ok(()) => dispatch(&shared, &mut job).await,
        Err(refusal) => Err(refusal),
    };
    if let Err(refusal) = done {
        shared.metrics.refused(&refusal.reason);
        log::info!(
            request = job.request.id.as_str(), reason = refusal.reason.as_str(),
            progress:? = refusal.progress(), detail = refusal.detail.as_str();
            "request-refused"
        );
        // The last event never waits, so it cannot stall.
        let _ = job.answer.push(EventKind::Refusal(refusal)).await;
    }
}

/// Refuses what would not start here anyway.
fn admit(shared: &Shared, job: &Job) -> Result<(), Refusal> {
    let able = matches!(
        (&shared.backend, &job.request.work),
        (Backend::Engine(_), Some(Work::Prompt(_))) | (Backend::Service(_), Some(Work::Call(_)))
    );
    if !able {
        return Err(not_run("wrong-target", "this target does other work"));
    }
    shared.accepting().map_err(|why| refusal::retry_after(not_run("draining", why), MOVING_RETRY))
}

/// When another try here is worth it after a planned change began: its usual length.
const MOVING_RETRY: Duration = Duration::from_secs(5);

async fn dispatch(shared: &Arc<Shared>, job: &mut Job) -> Result<(), Refusal> {
    match job.request.work.clone() {
        Some(Work::Prompt(work)) => prompt::run(shared, job, work).await?,
        Some(Work::Call(work)) if is_repeatable(shared, &work) => {
            perform::run(shared, job, work).await?;
        }
        Some(Work::Call(work)) if work.key.is_empty() => {
            perform::run_once(shared, job, work).await?
        }
        Some(Work::Call(work)) => calls::run(shared, job, work).await?,
        None => return Err(not_run("wrong-target", "the request is empty")),
    }
    shared.metrics.completed.inc();
    Ok(())
}

/// Whether running the call twice does no harm.
fn is_repeatable(shared: &Shared, call: &Call) -> bool {
    call.repeatable || shared.resource().is_some_and(|target| target.repeatable)
}

/// Waits for a slot, and for the entry's consent if the request waits elsewhere too.
pub(crate) async fn take_turn(
    shared: &Arc<Shared>,
    job: &mut Job,
    cost: Cost,
    alone: bool,
) -> Result<Turn, Refusal> {
    let ask = ask(shared, job, cost, alone);
    let turn = tokio::select! {
        turn = shared.dispatcher.turn(ask) => turn.map_err(|denied| deny(shared, denied))?,
        () = job.answer.unread() => return Err(not_run("cancelled", "nobody waits for it")),
    };
    let Some(begin) = job.begin.take() else { return Ok(turn) };
    // A stalled reader has not seen the offer, and then nobody begins it in time.
    let _ = job.answer.push(EventKind::Offer(Offer {})).await;
    tokio::select! {
        begun = tokio::time::timeout(OFFER_TIME, begin) => match begun {
            Ok(Ok(())) => Ok(turn),
            Ok(Err(_)) | Err(_) => Err(not_run("offer-expired", "it was not begun in time")),
        },
        () = job.answer.unread() => Err(not_run("cancelled", "nobody waits for it")),
    }
}

fn ask(shared: &Shared, job: &Job, cost: Cost, alone: bool) -> Ask {
    let caller = job.request.caller.to_compact_string();
    let weight = shared.weight(&caller);
    let begun = match &job.request.work {
        Some(Work::Prompt(prompt)) => prompt.resume_tokens > 0,
        Some(Work::Call(_)) | None => false,
    };
    Ask { caller, weight, urgent: job.request.urgent, cost, expires: job.expires, begun, alone }
}

/// Refuses at once what could not start in time: its caller can still go elsewhere now.
pub(crate) fn check_deadline(shared: &Shared, job: &Job, cost: Cost) -> Result<(), Refusal> {
    // A guess at the speed would refuse what fits; late work is dropped from the queue anyway.
    if !shared.is_measured() {
        return Ok(());
    }
    let ahead = shared.ahead(&job.request.caller, job.request.urgent);
    let view = TargetState { ahead, rates: shared.rates(), accepting: true };
    let left = job.expires.saturating_duration_since(Instant::now());
    let asked = admission::Request { cost, deadline: Some(left) };
    let decided = Admission::default().decide(&asked, &view, Duration::ZERO);
    decided.map(drop).map_err(|refused| {
        let refusal = not_run("overloaded", "the work ahead takes longer than that");
        refusal::retry_after(refusal, refused.retry_after)
    })
}

fn deny(shared: &Shared, denied: Denied) -> Refusal {
    let wait = shared.wait().max(MIN_RETRY);
    match denied {
        Denied::Full => {
            refusal::retry_after(not_run("queue-full", "too much waits at the target"), wait)
        }
        Denied::Expired => {
            refusal::retry_after(not_run("deadline-exceeded", "no slot was free in time"), wait)
        }
        Denied::Moved => {
            refusal::retry_after(not_run("draining", "a planned change is under way"), MOVING_RETRY)
        }
    }
}

/// Sooner than this no backlog changes much.
const MIN_RETRY: Duration = Duration::from_millis(100);
