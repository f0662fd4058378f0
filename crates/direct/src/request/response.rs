//! The responses that this process makes itself: refusals, which guarantee that the request has not
//! run, and failures, which guarantee nothing.

use crate::callers::ActiveRequest;
use crate::request::relay::{Error, Relay, Result};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Why a request was not run. Each variant guarantees that it will not run later either.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This process has no configuration yet.
    NoConfiguration,
    /// The configuration is too old to decide whether the customer's key is still valid.
    KeysStale,
    /// The service has no target that could be tried.
    NoTarget,
    /// Prefill queues are full: no engine can prefill the prompt in time.
    PrefillFull,
    /// No engine that decodes can be reached.
    NoDecodeEngine,
    /// This process's own link has too much queued.
    LinkFull,
    /// This process has no memory for the body.
    MemoryFull,
    /// A target was tried and refused.
    TargetRefused,
    /// All targets that could be tried have a rate limit and accept no more now.
    RateLimited,
    /// The customer is beyond its limit.
    QuotaExceeded,
    /// No entry could decide whether the customer is within its limit.
    QuotaUnavailable,
    /// No target could be reached.
    Unreachable,
    /// Nobody knows at which software version the stream began that the request takes up.
    OriginUnknown,
    /// No target of the version that began the stream can go on with it.
    VersionGone,
    /// All targets have a version that has just become known.
    VersionNew,
    /// The request crashed several targets.
    Quarantined,
    /// This process stops before the request could end.
    Stopping,
}

/// Why there is no response, though the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection to the target ended, or the target sent no response to this request.
    Lost,
    /// The route's timeout or the caller's deadline has passed.
    TimedOut,
}

impl Refusal {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::KeysStale => "keys-unsure",
            Self::NoTarget => "no-target",
            Self::PrefillFull => "prompts-full",
            Self::NoDecodeEngine => "no-writer",
            Self::LinkFull => "link-full",
            Self::MemoryFull => "memory-full",
            Self::TargetRefused => "target-refused",
            Self::RateLimited => "limited",
            Self::QuotaExceeded => "quota-exceeded",
            Self::QuotaUnavailable => "quota-unavailable",
            Self::Unreachable => "unreachable",
            Self::OriginUnknown => "origin-unknown",
            Self::VersionGone => "version-gone",
            Self::VersionNew => "version-new",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
        }
    }

    /// The status of the response: only what the caller itself can change is its own fault.
    fn status(self) -> StatusCode {
        match self {
            Self::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::KeysStale
            | Self::NoTarget
            | Self::PrefillFull
            | Self::NoDecodeEngine
            | Self::LinkFull
            | Self::MemoryFull
            | Self::TargetRefused
            | Self::RateLimited
            | Self::QuotaUnavailable
            | Self::Unreachable
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::VersionNew
            | Self::Quarantined
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl Failure {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::TimedOut => "late",
        }
    }
}

/// The body of a response: made by this process, or forwarded from a target.
#[derive(Debug)]
pub enum Body {
    /// Made by this process and known in full.
    Local(Full<Bytes>),
    /// Forwarded as it arrives.
    Relay(Box<Relay>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>>>> {
        match self.get_mut() {
            Self::Local(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(body) => body.is_end_stream(),
            Self::Relay(relay) => relay.is_complete(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Local(body) => body.size_hint(),
            Self::Relay(relay) => relay.size_hint(),
        }
    }
}

/// The body of a response, with the request that it ends.
#[derive(Debug)]
pub struct TrackedBody {
    body: Body,
    _request: ActiveRequest,
}

impl TrackedBody {
    /// Ends the request together with its response.
    pub fn new(body: Body, request: ActiveRequest) -> Self {
        Self { body, _request: request }
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        self.body.size_hint()
    }
}

/// `Retry-After` when another entry can serve the request.
pub const OTHER_ENTRY_RETRY_AFTER: Duration = Duration::from_millis(10);

/// A refusal with the time after which the caller should retry.
pub fn refuse(refusal: Refusal, retry_after: Duration) -> Response<Body> {
    let mut response = local(refusal.status(), refusal.name());
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The response to a request without a valid customer key. It is the same whatever is wrong with
/// the key: any detail would help whoever guesses keys.
pub fn unauthorized() -> Response<Body> {
    let mut response = local(StatusCode::UNAUTHORIZED, "a customer's key is needed");
    let challenge = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
    response
}

/// A failure after which the caller can't know whether the request ran.
pub fn fail(failure: Failure) -> Response<Body> {
    match failure {
        Failure::Lost => local(StatusCode::BAD_GATEWAY, failure.name()),
        Failure::TimedOut => local(StatusCode::GATEWAY_TIMEOUT, failure.name()),
    }
}

/// A response made here, with a status and a short plain text.
pub fn local(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::Local(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
