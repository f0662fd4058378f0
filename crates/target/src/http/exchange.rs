//! HTTP exchanges with a target, with errors that distinguish whether it was reached.

use crate::{Error, Result};
use body::{Collected, End};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;

/// The HTTP client of one target.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    client: Client<HttpConnector, Full<Bytes>>,
    peer: CompactString,
}

/// The maximum number of bytes of a refusal's body that are copied into an error.
const MAX_REASON_BYTES: usize = 512;

/// The most bytes of a body that is read whole: reports and lists, of some hundred kilobytes at most.
const MAX_BODY_BYTES: usize = 8 << 20;

impl Exchange {
    /// Creates a client of the target at `peer` (`host:port`).
    pub(super) fn new(peer: CompactString) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A reused connection may be closed just as a call is written to it. With its default
        // settings the client would then retry the call, and a call that is not idempotent could
        // be executed twice.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build::<_, Full<Bytes>>(connector);
        Self { client, peer }
    }

    /// Sends a request and returns the response, with any status, once its head was received.
    pub(super) async fn send(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        headers: impl Iterator<Item = (CompactString, Bytes)>,
        body: Bytes,
    ) -> Result<Response<Incoming>> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.peer));
        for (name, value) in headers {
            request = request.header(name.as_str(), value.as_ref());
        }
        let request =
            request.body(Full::new(body)).map_err(|error| self.not_reached(step, &error))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                self.not_reached(step, &error)
            } else {
                self.broken(step, &error)
            }
        })?;
        body::head::check(response.status(), response.headers())
            .map_err(|error| self.broken(step, &error))?;
        Ok(response)
    }

    /// Reads a whole body, [`MAX_BODY_BYTES`] at most.
    pub(super) async fn collect(
        &self,
        step: &'static str,
        response: Response<Incoming>,
    ) -> Result<Collected> {
        body::collect(response, MAX_BODY_BYTES).await.map_err(|error| self.broken(step, &error))
    }

    /// Sends a request with a JSON body and returns the body of the response; a status other than
    /// success is a refusal.
    pub(super) async fn json(
        &self,
        step: &'static str,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Collected> {
        let content_type = (CompactString::const_new("content-type"), Bytes::from_static(JSON));
        let response = self.send(step, method, path, std::iter::once(content_type), body).await?;
        let status = response.status();
        let body = self.collect(step, response).await?;
        if !status.is_success() {
            return Err(self.refused(step, status, &body.bytes));
        }
        Ok(body)
    }

    /// Returns the bytes of a body that can be checked by its framing alone.
    pub(super) fn complete(&self, step: &'static str, body: Collected) -> Result<Bytes> {
        match body.end {
            End::Complete => Ok(body.bytes),
            End::Unmarked | End::BrokenOff => {
                Err(self.broken(step, &"nothing marks the end of the body"))
            }
        }
    }

    pub(super) fn not_reached(&self, step: &'static str, detail: &dyn std::fmt::Display) -> Error {
        Error::NotReached { step, peer: self.peer.clone(), detail: detail.to_compact_string() }
    }

    pub(super) fn broken(&self, step: &'static str, detail: &dyn std::fmt::Display) -> Error {
        Error::Broken { step, peer: self.peer.clone(), detail: detail.to_compact_string() }
    }

    pub(super) fn refused(
        &self,
        step: &'static str,
        status: hyper::StatusCode,
        body: &[u8],
    ) -> Error {
        let reason = &body[..body.len().min(MAX_REASON_BYTES)];
        let detail = String::from_utf8_lossy(reason).to_compact_string();
        Error::Refused { step, peer: self.peer.clone(), status: status.as_u16(), detail }
    }

    pub(super) fn peer(&self) -> &CompactString {
        &self.peer
    }
}

/// The media type of JSON.
pub(super) const JSON: &[u8] = b"application/json";
