//! One sending of a request to one target, and what can be said of it afterwards.

use crate::buffered_request::BufferedRequest;
use crate::codec::{AttemptHead, Codec, ResponseHead};
use crate::targets::pool::{self, Connection};
use crate::targets::target::{Health, Target};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString, format_compact};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use policy::signals::Closed;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How a sending ended.
#[derive(Debug)]
pub enum Outcome {
    /// The target answered, be it with a failure of its own.
    Answered(Box<Answered>),
    /// The target said that it did not and will not run the request.
    NotRun(StatusCode),
    /// Nothing reached the target.
    NotSent(CompactString),
    /// It may have run: the connection ended, or what came was no answer to it.
    Unknown(CompactString),
    /// It may have run: there was no answer in time.
    TimedOut,
    /// Nothing was sent: the target wants no request now.
    Closed(Closed),
}

impl Outcome {
    /// Its name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(answered) if answered.response.status().is_success() => "ok",
            Self::Answered(_) => "failed",
            Self::NotRun(_) => "refused",
            Self::NotSent(_) => "not-sent",
            Self::Unknown(_) => "unknown",
            Self::TimedOut => "late",
            Self::Closed(Closed::Limited) => "limited",
            Self::Closed(Closed::Leaving) => "leaving",
            Self::Closed(Closed::Paused) => "paused",
        }
    }

    /// Whether the target ran the request, or may have.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Answered(_) | Self::Unknown(_) | Self::TimedOut => true,
            Self::NotRun(_) | Self::NotSent(_) | Self::Closed(_) => false,
        }
    }
}

/// A target's answer, with its body still to come.
#[derive(Debug)]
pub struct Answered {
    /// The head, and the body as it comes.
    pub response: Response<Incoming>,
    /// What the head says.
    pub head: ResponseHead,
    /// The connection, to be kept once the body is complete.
    pub connection: Connection,
}

/// Bounds on one sending.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Connections that this process may have to the target.
    pub max_connections: u32,
    /// How long one that is being opened is waited for.
    pub connect_timeout: Duration,
    /// Until when the head of the answer is waited for.
    pub deadline: Instant,
}

/// Sends `content` to `target` and waits for the head of the answer.
pub async fn send(
    codec: &dyn Codec,
    target: &Arc<Target>,
    content: &BufferedRequest,
    sending: &AttemptHead,
    bounds: &Bounds,
) -> Outcome {
    let mut counted = false;
    // A kept connection may turn out closed before anything was sent on it; then comes the next.
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
        let now = Instant::now();
        let admitted = if counted { target.recheck(now) } else { target.take(now) };
        if let Err(closed) = admitted {
            connection.keep(None, now);
            return Outcome::Closed(closed);
        }
        counted = true;
        let request = request(codec, content, sending);
        let (reused, sent) = (connection.reused, Instant::now());
        match timeout_at(bounds.deadline, connection.sender.try_send_request(request)).await {
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
                return judge(codec, target, sending, sent, response, connection);
            }
        }
    }
}

/// Sends an internal call and reads its whole answer; only for calls that any target may get twice.
pub async fn call(
    codec: &dyn Codec,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    body: Vec<u8>,
    patience: Duration,
) -> Result<(StatusCode, HeaderMap, Bytes), CompactString> {
    exchange(codec, target, method, path, HeaderMap::new(), body, patience).await
}

async fn exchange(
    codec: &dyn Codec,
    target: &Arc<Target>,
    method: Method,
    path: &str,
    headers: HeaderMap,
    body: Vec<u8>,
    patience: Duration,
) -> Result<(StatusCode, HeaderMap, Bytes), CompactString> {
    use http_body_util::BodyExt;
    let exchange = async {
        let connection = target.pool.take(u32::MAX, pool::CONNECT, Instant::now()).await;
        let mut connection = connection.map_err(|error| error.to_compact_string())?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| error.to_compact_string())?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&target.address.to_string());
        let host = host.map_err(|error| error.to_compact_string())?;
        request.headers_mut().insert(http::header::HOST, host);
        if let Err(closed) = target.take(Instant::now()) {
            connection.keep(None, Instant::now());
            return Err(format_compact!("not sent: {closed:?}"));
        }
        let sent = Instant::now();
        let response = connection.sender.send_request(request).await;
        let (head, body) = response.map_err(|error| error.to_compact_string())?.into_parts();
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            let reply = codec.decode_response(head.status, &head.headers);
            target.observe_signals(&reply.signals, sent, Instant::now());
        }
        let body = body.collect().await.map_err(|error| error.to_compact_string())?;
        connection.keep(None, Instant::now());
        Ok((head.status, head.headers, body.to_bytes()))
    };
    let ended = tokio::time::timeout(patience, exchange).await;
    ended.unwrap_or_else(|_| Err("no answer in time".into()))
}

/// Gives an order to an engine; one that was replaced at its address refuses.
pub async fn order(
    codec: &dyn Codec,
    engine: &Arc<Target>,
    path: &str,
    body: Vec<u8>,
    patience: Duration,
) -> Result<StatusCode, CompactString> {
    let sending =
        AttemptHead { target: engine.id.clone(), deadline: patience, ..AttemptHead::default() };
    let mut headers = codec.attempt_headers(&HeaderMap::new(), &sending);
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let answer = exchange(codec, engine, Method::POST, path, headers, body, patience).await?;
    Ok(answer.0)
}

fn request(
    codec: &dyn Codec,
    content: &BufferedRequest,
    sending: &AttemptHead,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(content.body.clone()));
    *request.method_mut() = content.method.clone();
    *request.uri_mut() = content.path.clone();
    *request.headers_mut() = codec.attempt_headers(&content.headers, sending);
    request
}

fn judge(
    codec: &dyn Codec,
    target: &Arc<Target>,
    sending: &AttemptHead,
    sent: Instant,
    response: Response<Incoming>,
    connection: Connection,
) -> Outcome {
    let now = Instant::now();
    let status = response.status();
    let reply = codec.decode_response(status, response.headers());
    let refused = reply.not_run || status == StatusCode::MISDIRECTED_REQUEST;
    let other = reply.attempt_id.is_some() && reply.attempt_id != sending.attempt_id;
    if other {
        // A doubled or late answer stood where this one was due. The connection is dropped, and
        // with it the right answer: whose it would be can't be told any more.
        target.record_health(Health::Failing, now);
        return Outcome::Unknown("the answer belongs to another request".into());
    }
    // One that says so is another target.
    if status != StatusCode::MISDIRECTED_REQUEST {
        target.observe_signals(&reply.signals, sent, now);
        if let Some(busy) = reply.load {
            target.observe_load(busy, now);
        }
    }
    if refused {
        if status == StatusCode::MISDIRECTED_REQUEST {
            log::info!(target: "fleet", target_id = target.id.as_str(); "another answers in its place");
            target.mark_misdirected(now);
        }
        drain(response, connection, reply);
        return Outcome::NotRun(status);
    }
    let health = if status.is_server_error() { Health::Failing } else { Health::Sound };
    target.record_health(health, now);
    Outcome::Answered(Box::new(Answered { response, head: reply, connection }))
}

/// The largest body of a refusal that is read so that its connection can be kept, in bytes.
const MAX_REFUSAL: u64 = 4_096;

/// How long the rest of a refusal may take.
const REFUSAL: Duration = Duration::from_millis(500);

/// Reads the rest of a refusal aside, so that its connection can be kept.
fn drain(response: Response<Incoming>, connection: Connection, reply: ResponseHead) {
    use http_body_util::BodyExt;
    use hyper::body::Body;
    if response.body().size_hint().upper().is_none_or(|size| size > MAX_REFUSAL) {
        return;
    }
    if response.body().is_end_stream() {
        connection.keep(reply.keep_alive, Instant::now());
        return;
    }
    tokio::spawn(async move {
        let read = tokio::time::timeout(REFUSAL, response.into_body().collect()).await;
        if let Ok(Ok(_)) = read {
            connection.keep(reply.keep_alive, Instant::now());
        }
    });
}
