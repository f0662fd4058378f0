//! Requests to plain services, and to engines that do all of a request by themselves.

use crate::config::route::RetryPolicy;
use crate::request::attempts::Attempts;
use crate::request::context::RequestContext;
use crate::request::permits::Permit;
use crate::request::relay::Source;
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::request::{dispatch, take_up};
use crate::targets::attempt::Outcome;
use crate::targets::target::Target;
use http::Response;
use policy::reuse::{self, Candidate};
use std::sync::Arc;
use tokio::time::Instant;

/// Sends the request to a target, and retries at others where that is safe and may help.
pub async fn run(request: Arc<RequestContext>, mut trace: Trace) -> Response<Body> {
    if let Some(retry_after) = take_up::time_until_possible(&request, |_| true) {
        return request.refuse(&mut trace, request.required.refusal(), retry_after);
    }
    let mut attempts = Attempts::default();
    let mut last = None;
    while let Some(target) = attempts.next_target(&request, |tried| choose_target(&request, tried))
    {
        let attempt = dispatch::begin(&target, None);
        let began = Instant::now();
        let outcome =
            dispatch::send(&request, &target, &request.attempt_head(&target), Permit::Required)
                .await;
        trace.record_attempt("whole", &target.id, outcome.name(), began.elapsed());
        let retry = attempts.record(&request, &target, began, &outcome).await;
        if outcome.may_have_run() {
            request.count_usage(began);
        }
        if let Outcome::Responded(responded) = outcome {
            last = Some(Source { responded, attempt });
        }
        if !retry {
            break;
        }
    }
    match last {
        Some(source) => {
            trace.attempts += attempts.sent;
            let resumable = request.route.retry_policy == RetryPolicy::Resumable;
            if resumable && source.responded.response.status().is_success() {
                take_up::record_origin(&request, &source.attempt.target);
            }
            dispatch::forward(&request, source, None, trace)
        }
        None => attempts.give_up(&request, &mut trace),
    }
}

/// The best target that was not tried yet, see [`policy::reuse`].
fn choose_target(request: &RequestContext, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let max_connections = request.shared.connections(&request.service);
    let targets = request.shared.usable(&request.service.name);
    let untried = targets.iter().filter(|target| tried.iter().all(|other| other.id != target.id));
    let untried = untried.filter(|target| request.required.allows(target));
    let untried: Vec<_> = untried.filter(|target| target.closed_for(now).is_none()).collect();
    let connected = untried.iter().filter(|target| target.pool.has_idle(now)).count();
    let ranked = untried.into_iter().map(|target| {
        let candidate = Candidate {
            unavailable: target.is_unavailable(request.unresponsive_after(), now)
                || !target.pool.has_room(max_connections, now),
            utilization: target.utilization(now),
            is_connected: target.pool.has_idle(now),
        };
        // Equal targets are drawn at random, so that entries don't all choose the same.
        (reuse::rank(&candidate, connected), request.shared.random(), target)
    });
    let best = ranked.min_by(|a, b| a.0.compare(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, target)| target.clone())
}
