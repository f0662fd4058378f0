//! HTTP routes of the log.

use super::render;
use async_trait::async_trait;
use plat::http::{AppendBody, Appended, ReadBody};
use plat::{Error, Log};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;
use std::time::Duration;

/// Serves `POST /streams/NAME` (append) and `GET /streams/NAME?from=&limit=&wait_ms=` (read).
pub fn log_router(log: Arc<dyn Log>) -> Router {
    let read = Read { log: log.clone() };
    Router::with_path("streams/{name}").post(Append { log }).get(read)
}

struct Append {
    log: Arc<dyn Log>,
}

struct Read {
    log: Arc<dyn Log>,
}

/// The largest append accepted, in bytes.
const MAX_APPEND_BYTES: usize = 8 * 1024 * 1024;

#[async_trait]
impl Handler for Append {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let name = request.param::<String>("name").unwrap_or_default();
        let body = request.parse_json_with_max_size::<AppendBody>(MAX_APPEND_BYTES).await;
        let body = match body {
            Ok(body) => body,
            Err(error) => return render(response, StatusCode::BAD_REQUEST, error.to_string()),
        };
        let records = body.records.into_iter().map(Into::into).collect();
        match self.log.append(&name, records).await {
            Ok(offset) => render(response, StatusCode::OK, Appended { offset }),
            Err(error) => fail(response, &error),
        }
    }
}

#[async_trait]
impl Handler for Read {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let name = request.param::<String>("name").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let limit = request.query("limit").unwrap_or(1_000);
        let wait = Duration::from_millis(request.query("wait_ms").unwrap_or_default());
        match self.log.read(&name, from, limit, wait).await {
            Ok(batch) => {
                let first = batch.entries.first().map_or(batch.end, |entry| entry.offset);
                let records = batch.entries.iter().map(|entry| entry.bytes.to_vec()).collect();
                let (oldest, end) = (batch.oldest, batch.end);
                render(response, StatusCode::OK, ReadBody { first, records, oldest, end });
            }
            Err(Error::Gone { oldest, .. }) => {
                let body = ReadBody { first: oldest, records: Vec::new(), oldest, end: oldest };
                render(response, StatusCode::GONE, body);
            }
            Err(error) => fail(response, &error),
        }
    }
}

fn fail(response: &mut Response, error: &Error) {
    let status = match error {
        Error::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Error::Unsettled { .. } => StatusCode::GATEWAY_TIMEOUT,
        Error::Gone { .. } => StatusCode::GONE,
        Error::Conflict { .. } => StatusCode::PRECONDITION_FAILED,
        Error::Refused { .. } => StatusCode::BAD_REQUEST,
    };
    render(response, status, error.to_string());
}
