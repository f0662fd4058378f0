//! What happens to every request before its own work: checked headers, its caller, leave to be
//! held here, and its body, within limits of size and time.

use super::trace;
use crate::daemon::Shared;
use crate::gate::Pass;
use crate::outcome::Failure;
use crate::problem::Problem;
use crate::view::Client;
use crate::{Reason, auth, headers};
use bytes::Bytes;
use salvo::http::{HeaderMap, ParseError, header};
use salvo::{Depot, Request};
use std::sync::Arc;
use std::time::Duration;

/// How long a body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes set aside for a body whose size is not announced; it may not be larger.
const UNSIZED_BODY_BYTES: usize = 1024 * 1024;

/// The longest deadline that a caller may ask for.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that was let in.
pub(super) struct Admitted {
    /// The request, without its work.
    pub(super) request: wire::Request,
    pub(super) client: Arc<Client>,
    pub(super) body: Bytes,
    /// How long the caller waits.
    pub(super) patience: Duration,
    /// Held until the answer is complete.
    pub(super) pass: Pass,
}

/// Lets a request in with a body of up to `most` bytes, or says why not.
pub(super) async fn admit(
    shared: &Shared,
    http: &mut Request,
    depot: &Depot,
    most: usize,
) -> Result<Admitted, Problem> {
    let bad_header = |detail: &str| Problem::not_run(Reason::BadHeader, detail);
    if let Some(fault) = headers::fault(http.headers()) {
        return Err(bad_header(fault));
    }
    let client = identify(shared, http.headers())?;
    let patience = patience(http.headers(), &client).ok_or_else(|| {
        bad_header("x-deadline-ms is a number of milliseconds, from 1 to 3600000")
    })?;
    let size = announced(http.headers(), most)?;
    let pass = shared.gate.enter(size);
    let pass = pass.map_err(|failure| Problem::new(failure, &crate::outcome::Trail::new(true)))?;
    let body = read(http, size).await?;
    let header = |name: &str| http.headers().get(name).and_then(|value| value.to_str().ok());
    let request = wire::Request {
        id: trace::id(depot).into(),
        caller: client.name.to_string(),
        urgent: client.spec.urgent && header("x-urgency") == Some("urgent"),
        fingerprint: fingerprint(&client, http.uri().path(), &body),
        traceparent: header("traceparent").filter(|text| is_traceparent(text)).unwrap_or("").into(),
        ..wire::Request::default()
    };
    Ok(Admitted { request, client, body, patience, pass })
}

/// Finds the caller by the bearer token.
pub(super) fn identify(shared: &Shared, headers: &HeaderMap) -> Result<Arc<Client>, Problem> {
    let view = shared.view.borrow().clone();
    if view.end == 0 {
        let failure = Failure::not_run(Reason::NotReady, "the configuration is not known yet");
        let failure = failure.retry_after(Duration::from_secs(1));
        return Err(Problem::new(failure, &crate::outcome::Trail::new(true)));
    }
    let authorization = headers.get(header::AUTHORIZATION).map(|value| value.as_bytes());
    let client = auth::caller(&view, authorization);
    let unknown = || Problem::not_run(Reason::UnknownCaller, "no caller has this bearer token");
    client.ok_or_else(unknown)
}

fn patience(headers: &HeaderMap, client: &Client) -> Option<Duration> {
    let Some(value) = headers.get("x-deadline-ms") else { return Some(client.spec.deadline) };
    let millis: u64 = value.to_str().ok()?.parse().ok()?;
    let asked = Duration::from_millis(millis);
    (millis > 0 && asked <= MAX_DEADLINE).then_some(asked)
}

/// Bytes to set aside for the body.
fn announced(headers: &HeaderMap, most: usize) -> Result<usize, Problem> {
    let Some(length) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(most.min(UNSIZED_BODY_BYTES));
    };
    let length = length.to_str().ok().and_then(|text| text.parse::<usize>().ok());
    match length {
        Some(length) if length <= most => Ok(length),
        Some(_) => Err(too_large(most)),
        None => Err(Problem::not_run(Reason::BadHeader, "content-length is no number")),
    }
}

async fn read(http: &mut Request, most: usize) -> Result<Bytes, Problem> {
    // A caller that sends its body a byte at a time would hold memory for hours.
    let body = tokio::time::timeout(BODY_TIMEOUT, http.payload_with_max_size(most)).await;
    let late = || Problem::not_run(Reason::BodyTimeout, "the body took too long to arrive");
    match body.map_err(|_| late())? {
        Ok(body) => Ok(body.clone()),
        Err(ParseError::PayloadTooLarge) => Err(too_large(most)),
        Err(error) => Err(Problem::not_run(Reason::BadBody, error.to_string())),
    }
}

fn too_large(most: usize) -> Problem {
    Problem::not_run(Reason::BodyTooLarge, format!("the body may have {most} bytes"))
}

/// A hash of caller, path and content: the same each time the caller sends the same request.
fn fingerprint(client: &Client, path: &str, body: &[u8]) -> u64 {
    use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(client.name.as_bytes()));
    xxh3_64_with_seed(body, seed)
}

/// Whether a text has the form of the W3C header: version, trace, parent and flags.
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
