//! HTTP routes of a plain service.

use super::break_off;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::ToCompactString;
use http::{HeaderName, HeaderValue};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;
use target::{Call, Header, Service};

/// Forwards requests of all paths and methods to the service.
pub fn service_router(service: Arc<dyn Service>) -> Router {
    Router::with_path("{**rest}").goal(Forward { service })
}

struct Forward {
    service: Arc<dyn Service>,
}

/// The largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

#[async_trait]
impl Handler for Forward {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned();
        let body = body.unwrap_or_default();
        let answer = self.service.call(call(request, body)).await;
        let Ok(answer) = answer else {
            // Any status would be a complete response, from which an agent concludes that the call
            // ended; a service killed in mid-call closes the connection and leaves the outcome
            // unknown.
            return break_off(flow).await;
        };
        response.status_code(StatusCode::from_u16(answer.status).unwrap_or_default());
        for header in &answer.headers {
            let name = HeaderName::try_from(header.name.as_str());
            let value = HeaderValue::from_bytes(&header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        response.stream(answer.body);
    }
}

fn call(request: &Request, body: Bytes) -> Call {
    let path = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
    let headers = request.headers().iter().map(|(name, value)| Header {
        name: name.as_str().to_compact_string(),
        value: Bytes::copy_from_slice(value.as_bytes()),
    });
    let method = request.method().as_str().to_compact_string();
    Call { method, path, headers: headers.collect(), body }
}
