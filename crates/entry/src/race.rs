//! Late binding: a prompt waits at two targets and starts at the first that is free.
//!
//! Output lengths are unknown, so the queue that looked shorter when the request came is often
//! not the one that is free first. And if one of the two agents dies while the request waits, the
//! other covers it without the caller noticing.

use crate::Reason;
use crate::attempt::Attempt;
use crate::board::Pick;
use crate::daemon::Shared;
use crate::outcome::Failure;
use compact_str::format_compact;
use conf::resource::Role;
use std::time::Duration;
use wire::{EventKind, Progress, Request, Work};

/// How long a request waits for a connection to an agent before another target is tried.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);

/// An attempt that may start, with the event that was read from it already, if any.
pub(crate) struct Started {
    pub(crate) attempt: Attempt,
    pub(crate) first: Option<EventKind>,
    /// Whether the target reads the prompt only.
    pub(crate) prefilling: bool,
}

/// One of the places where the request waits.
struct Runner {
    attempt: Attempt,
    prefilling: bool,
}

/// Starts a prompt at the first of `picks` that is free.
pub(crate) async fn start(
    shared: &Shared,
    request: &Request,
    mut picks: Vec<Pick>,
) -> Result<Started, Failure> {
    let second = (picks.len() > 1).then(|| picks.remove(1));
    let Some(first) = picks.pop() else {
        return Err(Failure::not_run(Reason::NoTarget, "no target in service can do this"));
    };
    match second {
        Some(second) if !first.idle && !second.idle && second.site.peer.is_up() => {
            race(shared, request, &first, &second).await
        }
        // A target with room starts at once; waiting for its offer would only cost a round trip.
        Some(_) | None => {
            let Runner { attempt, prefilling } = submit(shared, request, &first, false).await?;
            Ok(Started { attempt, first: None, prefilling })
        }
    }
}

async fn race(
    shared: &Shared,
    request: &Request,
    first: &Pick,
    second: &Pick,
) -> Result<Started, Failure> {
    let left = submit(shared, request, first, true).await;
    let right = submit(shared, request, second, true).await;
    let (mut left, mut right) = match (left, right) {
        (Ok(left), Ok(right)) => (left, right),
        (Ok(one), Err(_)) | (Err(_), Ok(one)) => return alone(one).await,
        (Err(failure), Err(_)) => return Err(failure),
    };
    let (kind, mut winner, loser) = tokio::select! {
        kind = left.attempt.next() => (kind, left, right),
        kind = right.attempt.next() => (kind, right, left),
    };
    match settle(&mut winner, kind).await {
        // Dropping the loser cancels it before it was begun, so it can't start as well.
        Ok(first) => {
            let Runner { attempt, prefilling } = winner;
            Ok(Started { attempt, first, prefilling })
        }
        Err(failure) if failure.progress == Progress::NotRun => alone(loser).await,
        Err(failure) => Err(failure),
    }
}

/// Waits for the offer of the only target left.
async fn alone(mut runner: Runner) -> Result<Started, Failure> {
    let kind = runner.attempt.next().await;
    let first = settle(&mut runner, kind).await?;
    let Runner { attempt, prefilling } = runner;
    Ok(Started { attempt, first, prefilling })
}

/// Begins a held attempt that was offered; returns an event that came instead of the offer.
async fn settle(
    runner: &mut Runner,
    kind: Option<EventKind>,
) -> Result<Option<EventKind>, Failure> {
    match kind {
        Some(EventKind::Offer(_)) => {
            if runner.attempt.begin().await {
                Ok(None)
            } else {
                Err(Failure::lost(Progress::NotRun))
            }
        }
        Some(EventKind::Refusal(refusal)) => Err(Failure::refused(refusal)),
        Some(
            kind @ (EventKind::Delta(_)
            | EventKind::Head(_)
            | EventKind::Part(_)
            | EventKind::End(_)),
        ) => Ok(Some(kind)),
        None => Err(Failure::lost(runner.attempt.progress())),
    }
}

async fn submit(
    shared: &Shared,
    request: &Request,
    pick: &Pick,
    hold: bool,
) -> Result<Runner, Failure> {
    let site = &pick.site;
    let unreachable = |detail: &str| {
        Failure::not_run(Reason::AgentUnreachable, format!("{}: {detail}", site.name))
    };
    let session = site.peer.session(CONNECT_PATIENCE).await;
    let session = session.ok_or_else(|| unreachable("its agent can't be reached"))?;
    let mut request = request.clone();
    let prefilling = mark_prefill(&mut request, pick);
    let link = shared.peers.link();
    let attempt = session.submit(link, site.name.clone(), request, hold).await;
    let attempt = attempt.ok_or_else(|| unreachable("the connection to its agent was lost"))?;
    shared.metrics.attempts.inc();
    Ok(Runner { attempt, prefilling })
}

/// Asks a prefill engine for the prompt's part only; returns whether it did.
fn mark_prefill(request: &mut Request, pick: &Pick) -> bool {
    let Some(Work::Prompt(prompt)) = &mut request.work else { return false };
    let prefilling = pick.role == Role::Prefill && prompt.resume_tokens == 0;
    prompt.prefill_only = prefilling;
    prefilling
}

/// Says for an explanation where a prompt goes.
pub(crate) fn describe(picks: &[Pick]) -> compact_str::CompactString {
    let mut text = compact_str::CompactString::const_new("candidates");
    for pick in picks {
        let (name, wait) = (&pick.site.name, pick.ahead.time(&pick.rates).as_millis());
        text += &format_compact!(" {name} (wait {wait} ms, idle {})", pick.idle);
    }
    text
}
