//! Assigns an id to each request, returns it with the response and logs the response.

use crate::daemon::Shared;
use async_trait::async_trait;
use compact_str::{CompactString, format_compact};
use salvo::http::HeaderValue;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use std::sync::Arc;
use tokio::time::Instant;

/// Header that carries the request id.
const REQUEST_ID: &str = "x-request-id";

/// Middleware of all routes.
pub(super) struct Trace {
    pub(super) shared: Arc<Shared>,
}

/// A request's id, stored in the depot for its handler.
#[derive(Clone)]
pub(super) struct RequestId(pub(super) CompactString);

/// Returns the id assigned to a request.
pub(super) fn request_id(depot: &Depot) -> CompactString {
    depot.get_typed::<RequestId>().map(|id| id.0.clone()).unwrap_or_default()
}

#[async_trait]
impl Handler for Trace {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let started_at = Instant::now();
        let id = format_compact!("{:016x}", self.shared.random.number());
        depot.insert_typed(RequestId(id.clone()));
        ctrl.call_next(request, depot, response).await;
        if let Ok(value) = HeaderValue::try_from(id.as_str()) {
            response.headers_mut().insert(REQUEST_ID, value);
        }
        let status = response.status_code.map_or(200, |status| status.as_u16());
        let elapsed_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let path = request.uri().path();
        log::debug!(request = id.as_str(), path = path, status = status, ms = elapsed_ms; "answered");
    }
}
