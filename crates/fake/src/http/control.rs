//! HTTP route that sets a stand-in's faults and returns its report.

use super::render;
use crate::Control;
use async_trait::async_trait;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use serde_json::Value;
use std::sync::Arc;

/// Serves `POST /faults` (set) and `GET /faults` (report) beside the stand-in's own routes.
pub fn control_router(control: Arc<dyn Control>, routes: Router) -> Router {
    let set = Set { control: control.clone() };
    let faults = Router::with_path("faults").post(set).get(Report { control });
    Router::new().push(faults).push(routes)
}

struct Set {
    control: Arc<dyn Control>,
}

struct Report {
    control: Arc<dyn Control>,
}

#[async_trait]
impl Handler for Set {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        // The body is JSON whatever its media type: `curl -d` does not send `application/json`.
        let body = request.payload().await.cloned().unwrap_or_default();
        let faults = serde_json::from_slice::<Value>(&body);
        match faults.and_then(|faults| self.control.set(faults)) {
            Ok(()) => render(response, StatusCode::OK, self.control.report()),
            Err(error) => render(response, StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

#[async_trait]
impl Handler for Report {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        render(response, StatusCode::OK, self.control.report());
    }
}
