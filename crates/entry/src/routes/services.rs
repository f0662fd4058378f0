//! `ANY /services/NAME/...`: calls of plain services.

use super::{identify, submit};
use crate::attempt::Attempt;
use crate::daemon::Shared;
use crate::problem::Problem;
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream;
use salvo::http::{HeaderName, HeaderValue, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use std::io;
use std::sync::Arc;
use wire::{Call, EventKind, Head, Header, Work};

/// Calls plain services.
pub(super) struct Services {
    pub(super) shared: Arc<Shared>,
}

/// The largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Headers that belong to one connection or to us and are not passed on.
const KEPT_BACK: [&str; 8] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "te",
    "transfer-encoding",
    "upgrade",
];

#[async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        if let Err(problem) = self.call(request, response).await {
            problem.render(response);
        }
    }
}

impl Services {
    async fn call(&self, http: &mut Request, response: &mut Response) -> Result<(), Problem> {
        let mut request = identify(&self.shared, http)?;
        let body = http.payload_with_max_size(MAX_BODY_BYTES).await.cloned();
        let body = body.map_err(|error| {
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-body", error.to_string())
        })?;
        request.work = Some(Work::Call(call(http, body)));
        let mut attempt = submit(&self.shared, request).await?;
        match attempt.next().await {
            Some(EventKind::Head(head)) => {
                write_head(response, head);
                response.stream(parts(attempt));
                Ok(())
            }
            Some(EventKind::Refusal(refusal)) => Err(Problem::from_refusal(refusal)),
            _ => Err(Problem::lost()),
        }
    }
}

fn call(http: &Request, body: Bytes) -> Call {
    let rest = http.param::<String>("rest").unwrap_or_default();
    let query = http.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let headers = http.headers().iter();
    let headers = headers.filter(|(name, _)| !KEPT_BACK.contains(&name.as_str()));
    let headers = headers.map(|(name, value)| Header {
        name: name.to_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    Call {
        service: http.param("name").unwrap_or_default(),
        method: http.method().to_string(),
        path: format!("/{rest}{query}"),
        headers: headers.collect(),
        body,
        repeatable: http.method().is_safe(),
        key: http.header("idempotency-key").unwrap_or_default(),
    }
}

fn write_head(response: &mut Response, head: Head) {
    let status = u16::try_from(head.status).ok().and_then(|s| StatusCode::from_u16(s).ok());
    response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    for header in head.headers {
        if KEPT_BACK.contains(&header.name.as_str()) {
            continue;
        }
        let name = HeaderName::try_from(header.name);
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
}

/// The body's pieces; a lost attempt breaks the connection, so that the caller sees it.
fn parts(attempt: Attempt) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some(attempt), |attempt| async move {
        let mut attempt = attempt?;
        match attempt.next().await {
            Some(EventKind::Part(part)) => Some((Ok(part.bytes), Some(attempt))),
            Some(EventKind::End(_)) => None,
            _ => Some((Err(io::Error::other("the target's answer was cut")), None)),
        }
    })
}
