//! Requests to plain services, and to engines that do all of a request by themselves.

use crate::request::attempts::Attempts;
use crate::request::context::RequestContext;
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

/// Sends the request to a target, and retries at others where that is safe and may help.
pub async fn run(request: Arc<RequestContext>, mut trace: Trace) -> Response<Body> {
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
        let retry = attempts.record(&request, &target, &outcome);
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
            dispatch::forward(&request, source, None, trace)
        }
        None => attempts.give_up(&request, &mut trace),
    }
}

/// The least utilized target that was not tried yet; an unavailable one only if all are.
fn choose_target(request: &RequestContext, tried: &[Arc<Target>]) -> Option<Arc<Target>> {
    let now = Instant::now();
    let targets = request.shared.usable(&request.service.name);
    let untried = targets.iter().filter(|target| tried.iter().all(|other| other.id != target.id));
    let untried = untried.filter(|target| target.closed_for(now).is_none());
    let preference = |target: &Arc<Target>| {
        let other_domain = target.domain != request.shared.settings.domain;
        (
            target.is_unavailable(request.unresponsive_after(), now),
            target.utilization(now),
            other_domain,
        )
    };
    // Equal targets are drawn at random, so that entries don't all choose the same.
    let drawn = untried.map(|target| (preference(target), request.shared.random(), target));
    let best = drawn.min_by(|a, b| {
        let ((unavailable, utilization, other_domain), random, _) = a;
        let ((unavailable_b, utilization_b, other_domain_b), random_b, _) = b;
        unavailable
            .cmp(unavailable_b)
            .then(utilization.total_cmp(utilization_b))
            .then(other_domain.cmp(other_domain_b))
            .then(random.total_cmp(random_b))
    });
    best.map(|(_, _, target)| target.clone())
}
