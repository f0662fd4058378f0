//! Late binding: a prompt is queued at two targets and starts at the first that has a free slot.
//!
//! Output lengths are unknown, so the queue that is shorter when the request arrives is often not
//! the one that is free first. If one of the two agents fails while the request is queued, the
//! other serves it without an error for the caller.

use crate::Reason;
use crate::attempt::Attempt;
use crate::daemon::Shared;
use crate::outcome::Failure;
use crate::target_table::SelectedTarget;
use compact_str::format_compact;
use conf::resource::Role;
use std::time::Duration;
use wire::{EventKind, Progress, Request, Work};

/// Time to wait for a connection to an agent before another target is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt that may start, with the event that was already received from it, if any.
pub(crate) struct Started {
    pub(crate) attempt: Attempt,
    pub(crate) first: Option<EventKind>,
    /// Whether the target only prefills the prompt.
    pub(crate) prefilling: bool,
}

/// An attempt that was submitted to one target.
struct SubmittedAttempt {
    attempt: Attempt,
    prefilling: bool,
}

/// Starts a prompt at the first of `targets` that has a free slot.
pub(crate) async fn start(
    shared: &Shared,
    request: &Request,
    mut targets: Vec<SelectedTarget>,
) -> Result<Started, Failure> {
    let second = (targets.len() > 1).then(|| targets.remove(1));
    let Some(first) = targets.pop() else {
        return Err(Failure::not_run(Reason::NoTarget, "no target in service can do this"));
    };
    match second {
        Some(second) if !first.idle && !second.idle && second.configured.peer.is_connected() => {
            start_at_first_free(shared, request, &first, &second).await
        }
        // An idle target starts at once; waiting for its offer would only add a round trip.
        Some(_) | None => {
            let SubmittedAttempt { attempt, prefilling } =
                submit(shared, request, &first, false).await?;
            Ok(Started { attempt, first: None, prefilling })
        }
    }
}

/// Queues the prompt at both targets and begins it at the one that offers a slot first.
async fn start_at_first_free(
    shared: &Shared,
    request: &Request,
    first: &SelectedTarget,
    second: &SelectedTarget,
) -> Result<Started, Failure> {
    let first_attempt = submit(shared, request, first, true).await;
    let second_attempt = submit(shared, request, second, true).await;
    let (mut first_attempt, mut second_attempt) = match (first_attempt, second_attempt) {
        (Ok(first_attempt), Ok(second_attempt)) => (first_attempt, second_attempt),
        (Ok(only), Err(_)) | (Err(_), Ok(only)) => return wait_for_offer(only).await,
        (Err(failure), Err(_)) => return Err(failure),
    };
    let (kind, mut winner, loser) = tokio::select! {
        kind = first_attempt.attempt.next() => (kind, first_attempt, second_attempt),
        kind = second_attempt.attempt.next() => (kind, second_attempt, first_attempt),
    };
    match begin_if_offered(&mut winner, kind).await {
        // Dropping the loser cancels it before `Attempt::begin`, so it can't start as well.
        Ok(first) => {
            let SubmittedAttempt { attempt, prefilling } = winner;
            Ok(Started { attempt, first, prefilling })
        }
        Err(failure) if failure.progress == Progress::NotRun => wait_for_offer(loser).await,
        Err(failure) => Err(failure),
    }
}

/// Waits for the offer of the only remaining attempt.
async fn wait_for_offer(mut submitted: SubmittedAttempt) -> Result<Started, Failure> {
    let kind = submitted.attempt.next().await;
    let first = begin_if_offered(&mut submitted, kind).await?;
    let SubmittedAttempt { attempt, prefilling } = submitted;
    Ok(Started { attempt, first, prefilling })
}

/// Begins a held attempt that was offered; returns the event that arrived instead of an offer.
async fn begin_if_offered(
    submitted: &mut SubmittedAttempt,
    kind: Option<EventKind>,
) -> Result<Option<EventKind>, Failure> {
    match kind {
        Some(EventKind::Offer(_)) => {
            if submitted.attempt.begin().await {
                Ok(None)
            } else {
                Err(Failure::connection_lost(Progress::NotRun))
            }
        }
        Some(EventKind::Refusal(refusal)) => Err(Failure::from_refusal(refusal)),
        Some(
            kind @ (EventKind::Delta(_)
            | EventKind::Head(_)
            | EventKind::Part(_)
            | EventKind::End(_)),
        ) => Ok(Some(kind)),
        None => Err(Failure::connection_lost(submitted.attempt.progress())),
    }
}

async fn submit(
    shared: &Shared,
    request: &Request,
    target: &SelectedTarget,
    hold: bool,
) -> Result<SubmittedAttempt, Failure> {
    let configured = &target.configured;
    let unreachable = |detail: &str| {
        Failure::not_run(Reason::AgentUnreachable, format!("{}: {detail}", configured.name))
    };
    let session = configured.peer.session(CONNECT_TIMEOUT).await;
    let session = session.ok_or_else(|| unreachable("its agent can't be reached"))?;
    let mut request = request.clone();
    let prefilling = set_prefill_only(&mut request, target);
    let context = shared.peers.context();
    let attempt = session.submit(context, configured.name.clone(), request, hold).await;
    let attempt = attempt.ok_or_else(|| unreachable("the connection to its agent was lost"))?;
    shared.metrics.attempts.inc();
    Ok(SubmittedAttempt { attempt, prefilling })
}

/// Limits the request to prefill if the target is a prefill engine; returns whether it did.
fn set_prefill_only(request: &mut Request, target: &SelectedTarget) -> bool {
    let Some(Work::Prompt(prompt)) = &mut request.work else { return false };
    let prefilling = target.role == Role::Prefill && prompt.resume_tokens == 0;
    prompt.prefill_only = prefilling;
    prefilling
}

/// Describes the chosen targets for an explanation.
pub(crate) fn describe(targets: &[SelectedTarget]) -> compact_str::CompactString {
    let mut text = compact_str::CompactString::const_new("candidates");
    for target in targets {
        let (name, wait) = (&target.configured.name, target.ahead.time(&target.rates).as_millis());
        text += &format_compact!(" {name} (wait {wait} ms, idle {})", target.idle);
    }
    text
}
