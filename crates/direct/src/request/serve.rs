//! Serves one request: routing, authentication, quarantine, then [`plain`] or [`generate`].

use crate::buffered_request::BufferedRequest;
use crate::config::customers::Caller;
use crate::request::context::RequestContext;
use crate::request::response::{self, Body, OTHER_ENTRY_RETRY_AFTER, Refusal};
use crate::request::trace::Trace;
use crate::request::{generate, plain, quota, take_up};
use crate::shared::Shared;
use http::{Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` while this process has no configuration or no target yet: a read of the log takes
/// less.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Logged for a request that takes a stream up without naming the attempt that began it.
const UNNAMED_ATTEMPT: &str = "unnamed";

/// `Retry-After` when nobody knows where a stream began: entries that were silent may answer by then.
const ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Outcome of a request without a valid customer key.
const UNAUTHORIZED: &str = "unauthorized";

/// Serves a request whose body has been read.
pub async fn serve(
    shared: Arc<Shared>,
    buffered: BufferedRequest,
    arrived: Instant,
) -> Response<Body> {
    let Some(table) = shared.table.borrow().clone() else {
        return response::refuse(Refusal::NoConfiguration, NOT_READY_RETRY_AFTER);
    };
    let host = buffered.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let Some(route) = table.find(host.unwrap_or_default(), buffered.path.path()).cloned() else {
        log::info!(target: "request", path = buffered.path.path(), version = table.version;
            "no route");
        return response::local(StatusCode::NOT_FOUND, "no route");
    };
    let head = shared.codec.decode_request(&buffered.headers);
    let attempt_id = head.attempt_id.clone().unwrap_or_default();
    let version = table.version;
    let mut trace = Trace::new(attempt_id, route.clone(), version, arrived, shared.clone());
    trace.takes_up = head
        .take_up
        .as_ref()
        .map(|stream| stream.first_attempt.clone().unwrap_or_else(|| UNNAMED_ATTEMPT.into()));
    let Ok(caller) = table.caller(&route, head.credential) else {
        trace.end(UNAUTHORIZED);
        return response::unauthorized();
    };
    if matches!(caller, Caller::Customer(_)) && !shared.keys_are_fresh(Instant::now()) {
        trace.end(Refusal::KeysStale.name());
        return response::refuse(Refusal::KeysStale, OTHER_ENTRY_RETRY_AFTER);
    }
    let context = RequestContext::new(shared, buffered, head, caller, route, &table, arrived);
    let Some(mut request) = context else {
        trace.end(Refusal::NoTarget.name());
        return response::refuse(Refusal::NoTarget, NOT_READY_RETRY_AFTER);
    };
    trace.priority = request.priority();
    if request.outlives_process() {
        trace.end(Refusal::Stopping.name());
        return response::refuse(Refusal::Stopping, OTHER_ENTRY_RETRY_AFTER);
    }
    trace.served = Some(request.shared.begin_request(&request.service.name));
    request.shared.record_request(&request.service.name);
    if request.subject.is_refused() {
        trace.end(Refusal::Quarantined.name());
        return response::refuse(Refusal::Quarantined, request.route.timeout);
    }
    match take_up::required(&request).await {
        Ok(required) => request.required = required,
        Err(take_up::UnknownOrigin) => {
            return request.refuse(&mut trace, Refusal::OriginUnknown, ORIGIN_RETRY_AFTER);
        }
    }
    let request = match quota::charge(request, table.version, &mut trace).await {
        Ok(request) => Arc::new(request),
        Err(refused) => return refused,
    };
    match (&request.service.engine, &request.head.prompt) {
        (Some(_), Some(_)) => generate::run(request, trace).await,
        _ => plain::run(request, trace).await,
    }
}
