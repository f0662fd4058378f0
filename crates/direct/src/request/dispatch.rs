//! One attempt of a request: acquires its permit, counts it at the target, sends it, and forwards
//! the response.

use crate::codec::AttemptHead;
use crate::exchange::crashes;
use crate::request::context::RequestContext;
use crate::request::permits::{self, Permit};
use crate::request::relay::{ActiveAttempt, Relay, Resume, Source};
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::targets::attempt::{self, Outcome};
use crate::targets::engine::StreamGuard;
use crate::targets::target::Target;
use body::content;
use http::{Response, StatusCode, header};
use policy::signals::Closed;
use std::sync::Arc;
use tokio::time::Instant;

/// Sends the request to a target, with a permit if the target requires one.
pub async fn send(
    request: &RequestContext,
    target: &Arc<Target>,
    head: &AttemptHead,
    permit: Permit,
) -> Outcome {
    if permit == Permit::Required && permits::acquire(request, target).await.is_err() {
        return Outcome::Closed(Closed::Limited);
    }
    let sent_at = Instant::now();
    // Generations have reserved the link before.
    if request.head.prompt.is_none() {
        request.shared.record_bytes_sent(request.buffered.body.len());
    }
    let bounds = attempt::Bounds {
        max_connections: request.shared.connections(&request.service),
        connect_timeout: request.shared.connect_timeout(target),
        deadline: request.response_deadline(),
    };
    if let Some(charge) = &request.charge {
        charge.begin_attempt();
    }
    let (codec, may_send) = (&*request.shared.codec, || request.subject.may_send());
    let outcome = attempt::send(codec, target, &request.buffered, head, &bounds, &may_send).await;
    if let Outcome::NotRun(StatusCode::MISDIRECTED_REQUEST) = outcome {
        crashes::confirm(&request.shared, target.key);
    }
    if let Some(charge) = &request.charge {
        charge.end_attempt(outcome.may_have_run());
    }
    if let Outcome::Responded(responded) = &outcome
        && let Some(duration) = responded.connection.connect_time
    {
        request.shared.record_connect_time(target, duration);
    }
    if matches!(outcome, Outcome::Responded(_) | Outcome::NotRun(_)) {
        permits::publish_limit(&request.shared, target, permit, sent_at);
    }
    outcome
}

/// Forwards a target's response to the caller. One that can be resumed is sent without headers that
/// hold only for the body of its first target.
pub fn forward(
    request: &RequestContext,
    source: Source,
    resume: Option<Box<dyn Resume>>,
    trace: Trace,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = source.responded.response.status();
    *response.headers_mut() = source.responded.response.headers().clone();
    request.shared.codec.strip_connection_headers(response.headers_mut());
    if response.status() == StatusCode::NO_CONTENT {
        // Some targets send a length of zero, which this status does not allow.
        response.headers_mut().remove(header::CONTENT_LENGTH);
    }
    if resume.is_some() {
        content::remove_body_specific(response.headers_mut());
    }
    let relay = Relay::new(source, request.deadline, request.subject.clone(), resume, trace);
    response.map(|()| Body::Relay(Box::new(relay)))
}

/// Counts an attempt at a target until the returned value is dropped.
pub fn begin(target: &Arc<Target>, stream: Option<StreamGuard>) -> ActiveAttempt {
    let in_flight = target.begin_request();
    let (target, began) = (target.clone(), Instant::now());
    ActiveAttempt { target, began, in_flight, prefill: None, stream, reservation: None }
}
