//! `GET /healthz`, `GET /readyz` and `GET /metrics`.

use crate::daemon::Shared;
use async_trait::async_trait;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use std::sync::Arc;

/// Responds with success while the process runs.
pub(super) struct Healthz;

#[async_trait]
impl Handler for Healthz {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.render("ok\n");
    }
}

/// Responds with success once the configuration is known and until the process is asked to stop, so
/// that load balancers send requests only in between.
pub(super) struct Readyz {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Readyz {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let unready = if self.shared.stop.is_cancelled() {
            Some("stopping\n")
        } else if self.shared.view.borrow().end == 0 {
            Some("no configuration yet\n")
        } else {
            None
        };
        if unready.is_some() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        response.render(unready.unwrap_or("ready\n"));
    }
}

/// Responds with the metrics in Prometheus' text format.
pub(super) struct Metrics {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Metrics {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        response.render(self.shared.metrics_text());
    }
}
