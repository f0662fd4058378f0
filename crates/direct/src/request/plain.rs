//! Requests to plain services, and to engines that do all of a request by themselves.

use crate::request::attempts::Tries;
use crate::request::context::Job;
use crate::request::dispatch;
use crate::request::permits::Permit;
use crate::request::relay::Source;
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use http::Response;
use std::sync::Arc;
use tokio::time::Instant;

/// Sends the request to a target, and to another if that is safe and pays.
pub async fn run(job: Arc<Job>, mut trace: Trace) -> Response<Body> {
    let mut tries = Tries::default();
    let mut last = None;
    while let Some(target) = tries.next(&job, |tried| choose(&job, tried)) {
        let booking = dispatch::book(&target, None);
        let began = Instant::now();
        let outcome = dispatch::send(&job, &target, &job.sending(&target), Permit::Wanted).await;
        trace.tried("whole", &target.id, outcome.name(), began.elapsed());
        let another = tries.note(&job, &target, &outcome);
        if outcome.may_have_run() {
            job.count_run(began);
        }
        if let Outcome::Answered(answered) = outcome {
            last = Some(Source { answered, booking });
        }
        if !another {
            break;
        }
    }
    match last {
        Some(source) => {
            trace.sendings += tries.sent;
            dispatch::pass_on(&job, source, None, trace)
        }
        None => tries.give_up(&job, &mut trace),
    }
}

/// The least full target that was not tried yet; one that can't be reached only if all can't.
fn choose(job: &Job, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let targets = job.shared.usable(&job.service.name);
    let untried = targets.iter().filter(|target| tried.iter().all(|other| other.id != target.id));
    let untried = untried.filter(|target| target.closed_for(now).is_none());
    let rank = |target: &Arc<Target>| {
        let away = target.domain != job.shared.settings.domain;
        (target.is_unavailable(job.patience(), now), target.utilization(now), away)
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
