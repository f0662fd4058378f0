//! Checks that apply to all requests before they are handled: headers, authentication, the entry's
//! capacity, and the size and time limits of the body.

use super::trace;
use crate::capacity::{self, CapacityGuard};
use crate::daemon::Shared;
use crate::outcome::Failure;
use crate::problem::Problem;
use crate::view::ConfiguredCaller;
use crate::{Reason, auth, headers};
use body::{Budget, Buffered, Holding, buffered};
use bytes::Bytes;
use salvo::http::{HeaderMap, header};
use salvo::{Depot, Request};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for a body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum size of a body without a declared length, in bytes.
const UNSIZED_BODY_BYTES: usize = 1024 * 1024;

/// Maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that was admitted.
pub(super) struct Admitted {
    /// The request, without its work.
    pub(super) request: wire::Request,
    pub(super) caller: Arc<ConfiguredCaller>,
    pub(super) body: Bytes,
    /// Time from the request's arrival to its deadline.
    pub(super) time_limit: Duration,
    /// Held until the response is complete.
    pub(super) guard: CapacityGuard,
}

/// Admits a request with a body of up to `max_bytes`, or returns the problem.
pub(super) async fn admit(
    shared: &Shared,
    http: &mut Request,
    depot: &Depot,
    max_bytes: usize,
) -> Result<Admitted, Problem> {
    let bad_header = |detail: &str| Problem::not_run(Reason::BadHeader, detail);
    if let Some(violation) = headers::violation(http.headers()) {
        return Err(bad_header(violation));
    }
    let caller = authenticate(shared, http.headers())?;
    let time_limit = time_limit(http.headers(), &caller).ok_or_else(|| {
        bad_header("x-deadline-ms is a number of milliseconds, from 1 to 3600000")
    })?;
    let max_bytes = max_body_bytes(http.headers(), max_bytes)?;
    let mut guard = shared.capacity.acquire().map_err(refused)?;
    let (body, holding) = read_body(http, max_bytes, shared.capacity.bodies()).await?;
    guard.hold_body(holding);
    let header = |name: &str| http.headers().get(name).and_then(|value| value.to_str().ok());
    let request = wire::Request {
        id: trace::request_id(depot).into(),
        caller: caller.name.to_string(),
        urgent: caller.spec.urgent && header("x-urgency") == Some("urgent"),
        fingerprint: fingerprint(&caller, http.uri().path(), &body),
        traceparent: header("traceparent").filter(|text| is_traceparent(text)).unwrap_or("").into(),
        ..wire::Request::default()
    };
    Ok(Admitted { request, caller, body, time_limit, guard })
}

/// Returns the caller that the bearer token belongs to.
pub(super) fn authenticate(
    shared: &Shared,
    headers: &HeaderMap,
) -> Result<Arc<ConfiguredCaller>, Problem> {
    let view = shared.view.borrow().clone();
    if view.end == 0 {
        let failure = Failure::not_run(Reason::NotReady, "the configuration is not known yet");
        let failure = failure.with_retry_after(Duration::from_secs(1));
        return Err(Problem::new(failure, &crate::outcome::AttemptHistory::new(true)));
    }
    let authorization = headers.get(header::AUTHORIZATION).map(|value| value.as_bytes());
    let caller = auth::caller(&view, authorization);
    let unknown = || Problem::not_run(Reason::UnknownCaller, "no caller has this bearer token");
    caller.ok_or_else(unknown)
}

fn time_limit(headers: &HeaderMap, caller: &ConfiguredCaller) -> Option<Duration> {
    let Some(value) = headers.get("x-deadline-ms") else { return Some(caller.spec.deadline) };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    let requested = Duration::from_millis(millis);
    (millis > 0 && requested <= MAX_DEADLINE).then_some(requested)
}

fn refused(failure: Failure) -> Problem {
    Problem::new(failure, &crate::outcome::AttemptHistory::new(true))
}

/// Returns the number of bytes that the body may have, by its framing.
fn max_body_bytes(headers: &HeaderMap, max_bytes: usize) -> Result<usize, Problem> {
    let Some(length) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(max_bytes.min(UNSIZED_BODY_BYTES));
    };
    let length = length.to_str().ok().and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) if length <= max_bytes => Ok(length),
        Some(_) => Err(too_large(max_bytes)),
        None => Err(Problem::not_run(Reason::BadHeader, "content-length is no number")),
    }
}

async fn read_body(
    http: &mut Request,
    max_bytes: usize,
    budget: &Arc<Budget>,
) -> Result<(Bytes, Option<Arc<Holding>>), Problem> {
    // Without a timeout, a caller that sends its body one byte at a time would hold memory for
    // hours.
    let body = Buffered::read(http.take_body(), max_bytes, budget);
    let body = tokio::time::timeout(BODY_TIMEOUT, body).await;
    let timed_out = || Problem::not_run(Reason::BodyTimeout, "the body took too long to arrive");
    match body.map_err(|_| timed_out())? {
        Ok(body) => Ok(body.into_parts()),
        Err(buffered::Error::TooLong { .. }) => Err(too_large(max_bytes)),
        Err(buffered::Error::NoRoom(_)) => Err(refused(capacity::full())),
        Err(buffered::Error::BrokenOff(error)) => {
            Err(Problem::not_run(Reason::BadBody, error.to_string()))
        }
    }
}

fn too_large(most: usize) -> Problem {
    Problem::not_run(Reason::BodyTooLarge, format!("the body may have {most} bytes"))
}

/// Returns a hash of caller, path and body, which is the same for each repetition of a request.
fn fingerprint(caller: &ConfiguredCaller, path: &str, body: &[u8]) -> u64 {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(caller.name.as_bytes()));
    xxh3_64_with_seed(body, seed)
}

/// Returns whether a text has the form of the W3C `traceparent` header: version, trace id, parent
/// id, flags.
fn is_traceparent(text: &str) -> bool {
    let parts: Vec<_> = text.split('-').collect();
    let hex = |part: &str, length: usize| {
        part.len() == length && part.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    parts.len() == 4
        && hex(parts[0], 2)
        && hex(parts[1], 32)
        && hex(parts[2], 16)
        && hex(parts[3], 2)
}
