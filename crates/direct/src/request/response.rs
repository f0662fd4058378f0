//! The answers of this process itself: refusals that promise the request has not run, and failures
//! that promise nothing.

use crate::request::relay::{Error, Relay, Result};
use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Why a request was not run. All of these are true promises: it will not run later either.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This process knows no configuration yet.
    NoConfiguration,
    /// It is not known whether the customer's key still holds.
    KeysUnsure,
    /// The service has no target that could be tried.
    NoTarget,
    /// All engines have more to read than they can in time.
    PromptsFull,
    /// No engine that writes can be reached.
    NoWriter,
    /// This process's own link has too much on its way.
    LinkFull,
    /// A target was tried and refused.
    TargetRefused,
    /// All targets that could be tried named a limit and take in no more now.
    Limited,
    /// No target could be reached.
    Unreachable,
    /// The request crashed several targets.
    Quarantined,
    /// This process stops before the request could end.
    Stopping,
}

/// Why there is no answer, though the request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection to the target ended, or it sent no answer to this request.
    Lost,
    /// The route's timeout or the caller's deadline passed.
    Late,
}

impl Refusal {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::KeysUnsure => "keys-unsure",
            Self::NoTarget => "no-target",
            Self::PromptsFull => "prompts-full",
            Self::NoWriter => "no-writer",
            Self::LinkFull => "link-full",
            Self::TargetRefused => "target-refused",
            Self::Limited => "limited",
            Self::Unreachable => "unreachable",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
        }
    }
}

impl Failure {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }
}

/// The body of an answer: this process's own, or what a target sends.
#[derive(Debug)]
pub enum Body {
    /// Known in full.
    Own(Full<Bytes>),
    /// Passed on as it comes.
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
            Self::Own(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            Self::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Relay(relay) => relay.is_complete(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Relay(relay) => relay.size_hint(),
        }
    }
}

/// A refusal that names when the caller should come back.
pub fn refuse(refusal: Refusal, come_back: Duration) -> Response<Body> {
    let mut response = own(StatusCode::SERVICE_UNAVAILABLE, refusal.name());
    let seconds = format!("{:.3}", come_back.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// The answer to a request that carries no key of a customer, the same whatever is wrong with it: what
/// it said would help whoever guesses.
pub fn unauthorized() -> Response<Body> {
    let mut response = own(StatusCode::UNAUTHORIZED, "a customer's key is needed");
    let challenge = HeaderValue::from_static("Bearer");
    response.headers_mut().insert(header::WWW_AUTHENTICATE, challenge);
    response
}

/// A failure after which the caller can't know whether the request ran.
pub fn fail(failure: Failure) -> Response<Body> {
    match failure {
        Failure::Lost => own(StatusCode::BAD_GATEWAY, failure.name()),
        Failure::Late => own(StatusCode::GATEWAY_TIMEOUT, failure.name()),
    }
}

/// An answer with a status and a word about it.
pub fn own(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::Own(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
