//! Requests to plain services, and to engines that do all of a request by themselves.

use crate::answer::{Body, Failure, Refusal};
use crate::attempt::Outcome;
use crate::border::Sending;
use crate::relay::Source;
use crate::serve::{Job, SHORTLY, book, relay, went};
use crate::target::Target;
use crate::trace::Trace;
use http::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Targets that can't be reached, of which nothing arrives, tried for one request.
const UNREACHABLE: u32 = 3;

/// Sends the request to a target, and to another if that is safe and pays.
pub async fn run(job: Arc<Job>, mut trace: Trace) -> Response<Body> {
    let mut tried: Vec<Arc<Target>> = Vec::new();
    let (mut sent, mut unreachable) = (0, 0);
    let mut last = None;
    let mut maybe_run = false;
    while sent < job.route.attempts.max(1) && unreachable < UNREACHABLE {
        if Instant::now() >= job.until {
            break;
        }
        let Some(target) = choose(&job, &tried) else { break };
        if sent > 0 && !job.shared.may_send_extra(&job.service.name) {
            break;
        }
        tried.push(target.clone());
        let booking = book(&target, None);
        let began = Instant::now();
        let outcome = send(&job, &target).await;
        let name = went(&outcome);
        trace.tried("whole", &target.id, name, began.elapsed());
        job.shared.metrics.sending(name);
        match outcome {
            Outcome::NotSent(detail) => {
                log::info!(target: "request", id = job.id(), target_id = target.id.as_str(),
                    detail = detail.as_str(); "target not reached");
                unreachable += 1;
                continue;
            }
            Outcome::Answered(answered) => {
                let failed = answered.response.status().is_server_error();
                last = Some(Source { answered, booking });
                maybe_run = true;
                if !failed || !job.may_repeat() {
                    break;
                }
            }
            Outcome::NotRun(_) => {}
            Outcome::Unknown(_) => {
                maybe_run = true;
                job.suspect(&target);
                if !job.may_repeat() {
                    break;
                }
            }
            Outcome::Late => {
                maybe_run = true;
                break;
            }
        }
        sent += 1;
    }
    trace.sendings += sent;
    match last {
        Some(source) => relay(&job, source, None, trace),
        None if maybe_run && Instant::now() >= job.until => job.fail(&mut trace, Failure::Late),
        None if maybe_run => job.fail(&mut trace, Failure::Lost),
        None if sent > 0 => job.refuse(&mut trace, Refusal::TargetRefused, SHORTLY),
        None if unreachable > 0 => job.refuse(&mut trace, Refusal::Unreachable, SHORTLY),
        None => job.refuse(&mut trace, Refusal::NoTarget, SHORTLY),
    }
}

async fn send(job: &Job, target: &Arc<Target>) -> Outcome {
    let sending = Sending {
        target: target.id.clone(),
        deadline: job.left(),
        urgency: None,
        ..Sending::default()
    };
    job.send(target, &sending).await
}

/// The least full target that was not tried yet; one that can't be reached only if all can't.
fn choose(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let targets = job.shared.usable(&job.service.name);
    let untried = targets.iter().filter(|target| tried.iter().all(|other| other.id != target.id));
    let rank = |target: &Arc<Target>| {
        let away = target.domain != job.shared.settings.domain;
        (target.is_paused(now), target.fullness(now), away)
    };
    // Equal targets are drawn at random, so that entries don't all take the same.
    let drawn = untried.map(|target| (rank(target), job.shared.random(), target));
    let least = drawn.min_by(|a, b| {
        let ((paused, full, away), random, _) = a;
        let ((other_paused, other_full, other_away), other_random, _) = b;
        paused
            .cmp(other_paused)
            .then(full.total_cmp(other_full))
            .then(away.cmp(other_away))
            .then(random.total_cmp(other_random))
    });
    least.map(|(_, _, target)| target.clone())
}
