//! One sending of a request: permit, booking, attempt, and its answer on the way back.

use crate::codec::AttemptHead;
use crate::request::context::Job;
use crate::request::permits::{self, Permit};
use crate::request::relay::{Booking, Relay, Resume, Source};
use crate::request::response::Body;
use crate::request::trace::Trace;
use crate::targets::attempt::{self, Outcome};
use crate::targets::engine::StreamGuard;
use crate::targets::target::Target;
use http::Response;
use policy::signals::Closed;
use std::sync::Arc;
use tokio::time::Instant;

/// Sends the request to a target, with a permit if it needs one.
pub async fn send(
    job: &Job,
    target: &Arc<Target>,
    sending: &AttemptHead,
    permit: Permit,
) -> Outcome {
    if permit == Permit::Wanted && permits::take(job, target).await.is_err() {
        return Outcome::Closed(Closed::Limited);
    }
    let sent = Instant::now();
    // Generations have booked the link before.
    if job.ask.prompt.is_none() {
        job.shared.book_bytes(job.content.body.len());
    }
    let bounds = attempt::Bounds {
        max_connections: job.shared.connections(&job.service),
        connect_timeout: job.shared.connect_timeout(target),
        deadline: job.last_word(),
    };
    let outcome = attempt::send(&*job.shared.codec, target, &job.content, sending, &bounds).await;
    if let Outcome::Answered(answered) = &outcome
        && let Some(took) = answered.connection.connect_time
    {
        job.shared.record_connect_time(target, took);
    }
    if matches!(outcome, Outcome::Answered(_) | Outcome::NotRun(_)) {
        permits::publish(&job.shared, target, permit, sent);
    }
    outcome
}

/// Passes a target's answer on.
pub fn pass_on(
    job: &Job,
    source: Source,
    resume: Option<Box<dyn Resume>>,
    trace: Trace,
) -> Response<Body> {
    let mut response = Response::new(());
    *response.status_mut() = source.answered.response.status();
    *response.headers_mut() = source.answered.response.headers().clone();
    job.shared.codec.strip_connection_headers(response.headers_mut());
    let relay = Relay::new(source, job.until, resume, trace);
    response.map(|()| Body::Relay(Box::new(relay)))
}

/// Books a request at a target.
pub fn book(target: &Arc<Target>, writing: Option<StreamGuard>) -> Booking {
    let entered = target.begin_request();
    Booking { target: target.clone(), entered, reading: None, writing, place: None }
}
