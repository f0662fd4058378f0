//! The way of one request: route, quarantine, then the plain or the engines' way.

use crate::buffered_request::BufferedRequest;
use crate::config::customers::Caller;
use crate::request::context::Job;
use crate::request::response::{self, Body, Refusal};
use crate::request::trace::Trace;
use crate::request::{generate, plain};
use crate::shared::Shared;
use http::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When to come back to a process that knows no configuration or target yet: a read of the log
/// takes less.
const SOON: Duration = Duration::from_millis(300);

/// When to come back to another entry, which can serve the request.
const AT_ONCE: Duration = Duration::from_millis(10);

/// The outcome of a request without a key of a customer.
const UNAUTHORIZED: &str = "unauthorized";

/// Serves a request whose body has been read.
pub async fn serve(
    shared: Arc<Shared>,
    content: BufferedRequest,
    arrived: Instant,
) -> Response<Body> {
    let Some(table) = shared.table.borrow().clone() else {
        return response::refuse(Refusal::NoConfiguration, SOON);
    };
    let host = content.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let Some(route) = table.find(host.unwrap_or_default(), content.path.path()).cloned() else {
        log::info!(target: "request", path = content.path.path(), version = table.version;
            "no route");
        return response::own(StatusCode::NOT_FOUND, "no route");
    };
    let ask = shared.codec.decode_request(&content.headers);
    let attempt = ask.attempt_id.clone().unwrap_or_default();
    let version = table.version;
    let mut trace = Trace::new(attempt, route.name.clone(), version, arrived, shared.clone());
    let Ok(caller) = table.caller(&route, ask.credential) else {
        trace.end(UNAUTHORIZED);
        return response::unauthorized();
    };
    if matches!(caller, Caller::Customer(_)) && !shared.keys_are_fresh(Instant::now()) {
        trace.end(Refusal::KeysUnsure.name());
        return response::refuse(Refusal::KeysUnsure, AT_ONCE);
    }
    let Some(job) = Job::new(shared, content, ask, caller, route, &table, arrived) else {
        trace.end(Refusal::NoTarget.name());
        return response::refuse(Refusal::NoTarget, SOON);
    };
    if job.ends_too_late() {
        trace.end(Refusal::Stopping.name());
        return response::refuse(Refusal::Stopping, AT_ONCE);
    }
    job.shared.book_request(&job.service.name);
    if job.shared.suspects.is_blocked(job.fingerprint) {
        trace.end(Refusal::Quarantined.name());
        return response::refuse(Refusal::Quarantined, job.route.timeout);
    }
    let job = Arc::new(job);
    match (&job.service.engine, &job.ask.prompt) {
        (Some(_), Some(_)) => generate::run(job, trace).await,
        _ => plain::run(job, trace).await,
    }
}
