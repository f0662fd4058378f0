//! `GET /healthz` and `GET /readyz`.

use crate::daemon::Shared;
use async_trait::async_trait;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use std::sync::Arc;

/// Answers while the process runs.
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

/// Answers with success once the configuration is known, so that the balancer sends callers.
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
        if self.shared.config.borrow().end() > 0 {
            response.render("ready\n");
        } else {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            response.render("no configuration yet\n");
        }
    }
}
