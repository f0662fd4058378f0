//! One attempt to send a request to one target, and its outcome.

use crate::buffered_request::BufferedRequest;
use crate::codec::{AttemptHead, Codec, ResponseHead, Step};
use crate::costs;
use crate::targets::pool::{self, Connection};
use crate::targets::target::{Health, Target};
use body::{Buffered, Collected, End, Taken};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use policy::signals::Closed;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The target responded, possibly with an error of its own.
    Responded(Box<Responded>),
    /// The target reported that it did not and will not run the request.
    NotRun(StatusCode),
    /// Nothing reached the target.
    NotSent(CompactString),
    /// The request may have run: the connection ended, or the response belonged to another request.
    Unknown(CompactString),
    /// The request may have run: there was no response in time.
    TimedOut,
    /// Nothing was sent: the target accepts no requests now.
    Closed(Closed),
    /// Nothing was sent: the request is refused at all targets by now.
    Blocked,
}

impl Outcome {
    /// The name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Responded(responded) if responded.response.status().is_success() => "ok",
            Self::Responded(_) => "failed",
            Self::NotRun(_) => "refused",
            Self::NotSent(_) => "not-sent",
            Self::Unknown(_) => "unknown",
            Self::TimedOut => "late",
            Self::Closed(Closed::Limited) => "limited",
            Self::Closed(Closed::Leaving) => "leaving",
            Self::Closed(Closed::Paused) => "paused",
            Self::Blocked => "blocked",
        }
    }

    /// Whether the target ran the request, or may have.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Responded(_) | Self::Unknown(_) | Self::TimedOut => true,
            Self::NotRun(_) | Self::NotSent(_) | Self::Closed(_) | Self::Blocked => false,
        }
    }
}

/// A target's response, whose body is still to be read.
#[derive(Debug)]
pub struct Responded {
    /// The head, and the body as a stream.
    pub response: Response<Incoming>,
    /// The decoded head.
    pub head: ResponseHead,
    /// The connection, to be returned to the pool once the body is complete.
    pub connection: Connection,
    /// Whether all of the request was sent.
    pub upload: Taken,
}

/// Bounds on one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Number of connections that this process may have to the target.
    pub max_connections: u32,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Deadline for the head of the response.
    pub deadline: Instant,
}

/// Sends `buffered` to `target` and waits for the head of the response. `may_send` is asked directly
/// before the request is written.
pub async fn send(
    codec: &dyn Codec,
    target: &Arc<Target>,
    buffered: &BufferedRequest,
    head: &AttemptHead,
    bounds: &Bounds,
    may_send: &(dyn Fn() -> bool + Sync),
) -> Outcome {
    let mut counted = false;
    // An idle connection may turn out to be closed before anything was sent on it. The next one is
    // tried then.
    loop {
        let now = Instant::now();
        let mut connection =
            match target.pool.take(bounds.max_connections, bounds.connect_timeout, now).await {
                Ok(connection) => connection,
                Err(error) => {
                    if matches!(error, pool::Error::Connect { .. }) {
                        target.record_health(Health::Unreachable, Instant::now());
                    }
                    return Outcome::NotSent(error.to_compact_string());
                }
            };
        if connection.connect_time.is_some() {
            costs::connection(&target.service, head.step.name());
        }
        let now = Instant::now();
        if !may_send() {
            connection.keep(None, now);
            return Outcome::Blocked;
        }
        let admitted = if counted { target.recheck(now) } else { target.acquire(now) };
        if let Err(closed) = admitted {
            connection.keep(None, now);
            return Outcome::Closed(closed);
        }
        counted = true;
        let (request, upload) = request(codec, buffered, head);
        let (reused, sent) = (connection.reused, Instant::now());
        match timeout_at(bounds.deadline, connection.send(request)).await {
            Err(_) => {
                return Outcome::TimedOut;
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    target.record_health(Health::Failing, Instant::now());
                    return Outcome::Unknown(error.error().to_compact_string());
                }
                if !reused {
                    return Outcome::NotSent(error.error().to_compact_string());
                }
            }
            Ok(Ok(response)) => {
                return classify(codec, target, head, sent, response, connection, upload);
            }
        }
    }
}

/// Sends an internal call and reads the whole response. Only for idempotent calls.
pub async fn call(
    codec: &dyn Codec,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(StatusCode, HeaderMap, Bytes), CompactString> {
    exchange(codec, target, method, path, HeaderMap::new(), body, timeout).await
}

async fn exchange(
    codec: &dyn Codec,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(StatusCode, HeaderMap, Bytes), CompactString> {
    let exchange = async {
        let connection = target.pool.take(u32::MAX, pool::CONNECT_TIMEOUT, Instant::now()).await;
        let mut connection = connection.map_err(|error| error.to_compact_string())?;
        if connection.connect_time.is_some() {
            costs::connection(&target.service, "own");
        }
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .body(Buffered::from(body))
            .map_err(|error| error.to_compact_string())?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&target.address.to_string());
        let host = host.map_err(|error| error.to_compact_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        if let Err(closed) = target.acquire(Instant::now()) {
            connection.keep(None, Instant::now());
            return Err(format_compact!("not sent: {closed:?}"));
        }
        let sent = Instant::now();
        let response = connection.send(request).await;
        let response = response.map_err(|error| error.error().to_compact_string())?;
        let (status, headers) = (response.status(), response.headers().clone());
        if let Err(error) = body::head::check(status, &headers) {
            target.record_health(Health::Failing, Instant::now());
            return Err(error.to_compact_string());
        }
        let response_head = codec.decode_response(status, &headers);
        if response_head.attempt_id.is_some() {
            // Internal calls have no id, nor have their responses.
            target.record_health(Health::Failing, Instant::now());
            return Err("the response belongs to another request".into());
        }
        if status != StatusCode::MISDIRECTED_REQUEST {
            target.observe_signals(&response_head.signals, sent, Instant::now());
        }
        let body = body::collect(response, MAX_INTERNAL_BYTES).await;
        let body = body.map_err(|error| {
            target.record_health(Health::Failing, Instant::now());
            log::warn!(target: "request", target_id = target.id.as_str(), step = path, error:% = error;
                "body of an internal call not read");
            error.to_compact_string()
        })?;
        if body.end == End::Complete && !is_refusal(status, &response_head) {
            connection.keep(None, Instant::now());
        }
        Ok((status, headers, body.bytes))
    };
    let ended = tokio::time::timeout(timeout, exchange).await;
    ended.unwrap_or_else(|_| Err("no response in time".into()))
}

/// Sends an order to an engine. If another one has replaced it at its address, that one refuses.
pub async fn order(
    codec: &dyn Codec,
    engine: &Arc<Target>,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<StatusCode, CompactString> {
    let head =
        AttemptHead { target: engine.id.clone(), deadline: timeout, ..AttemptHead::default() };
    let mut headers = codec.attempt_headers(&HeaderMap::new(), &head);
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let response = exchange(codec, engine, Method::POST, path, headers, body, timeout).await?;
    Ok(response.0)
}

fn request(
    codec: &dyn Codec,
    buffered: &BufferedRequest,
    head: &AttemptHead,
) -> (Request<Buffered>, Taken) {
    let (body, upload) = buffered.body.followed();
    let mut request = Request::new(body);
    *request.method_mut() = buffered.method.clone();
    *request.uri_mut() = buffered.path.clone();
    *request.headers_mut() = codec.attempt_headers(&buffered.headers, head);
    (request, upload)
}

fn classify(
    codec: &dyn Codec,
    target: &Arc<Target>,
    head: &AttemptHead,
    sent: Instant,
    response: Response<Incoming>,
    mut connection: Connection,
    upload: Taken,
) -> Outcome {
    let now = Instant::now();
    let status = response.status();
    if let Err(error) = body::head::check(status, response.headers()) {
        return reject_head(target, &error, now);
    }
    if response.body().is_end_stream() && connection.has_surplus() {
        return reject_head(target, &"more bytes than the length", now);
    }
    let response_head = codec.decode_response(status, response.headers());
    let refused = is_refusal(status, &response_head);
    let is_identified = response_head.attempt_id.is_some();
    let is_for_other_request = is_identified && response_head.attempt_id != head.attempt_id;
    // Neither refusals nor prefilled prompts bear an id.
    let lacks_id = !is_identified && head.attempt_id.is_some() && head.step != Step::Prefill;
    if is_for_other_request || (lacks_id && !refused) {
        // A duplicate or late response arrived in place of this one. The connection is dropped, and
        // the right response with it, since the responses on it can no longer be matched to
        // requests.
        target.record_health(Health::Failing, now);
        return Outcome::Unknown("the response belongs to another request".into());
    }
    // A response with this status comes from another target.
    if status != StatusCode::MISDIRECTED_REQUEST {
        target.observe_signals(&response_head.signals, sent, now);
        if let Some(load) = response_head.load {
            target.observe_load(load, now);
        }
    }
    if refused {
        if status == StatusCode::MISDIRECTED_REQUEST {
            log::info!(target: "fleet", target_id = target.id.as_str();
                "another answers in its place");
            target.mark_misdirected(now);
        }
        // A second copy of a refusal without an id could not be told from a refusal of the next
        // request, so that the connection carries no other one.
        if is_identified {
            drain(response, connection, response_head);
        }
        return Outcome::NotRun(status);
    }
    let health = if status.is_server_error() { Health::Failing } else { Health::Healthy };
    target.record_health(health, now);
    Outcome::Responded(Box::new(Responded { response, head: response_head, connection, upload }))
}

/// The outcome of a response whose head can't be relied on, nor what it states. The connection is
/// dropped with the rest of it.
fn reject_head(target: &Arc<Target>, error: &dyn std::fmt::Display, now: Instant) -> Outcome {
    log::warn!(target: "request", target_id = target.id.as_str(), error:% = error;
        "head of a response not usable");
    target.record_health(Health::Failing, now);
    Outcome::Unknown(error.to_compact_string())
}

/// Whether the target states that it did not run the request.
fn is_refusal(status: StatusCode, head: &ResponseHead) -> bool {
    head.not_run || status == StatusCode::MISDIRECTED_REQUEST
}

/// The largest body of a refusal, in bytes, that is read so that its connection can be reused.
const MAX_REFUSAL_BYTES: usize = 4_096;

/// The largest body of the response to an internal call, in bytes: the list of an engine's cached parts
/// has some ten bytes for each of a few thousand.
const MAX_INTERNAL_BYTES: usize = 1 << 20;

/// Timeout for reading the rest of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the rest of a refusal in the background, so that its connection can be reused.
fn drain(response: Response<Incoming>, connection: Connection, response_head: ResponseHead) {
    let max_bytes = u64::try_from(MAX_REFUSAL_BYTES).unwrap_or(u64::MAX);
    if response.body().size_hint().upper().is_none_or(|size| size > max_bytes) {
        return;
    }
    if response.body().is_end_stream() {
        connection.keep(response_head.keep_alive, Instant::now());
        return;
    }
    tokio::spawn(async move {
        let read =
            tokio::time::timeout(REFUSAL_TIMEOUT, body::collect(response, MAX_REFUSAL_BYTES)).await;
        if let Ok(Ok(Collected { end: End::Complete, .. })) = read {
            connection.keep(response_head.keep_alive, Instant::now());
        }
    });
}
