//! HTTP route of the list of VMs.

use super::render;
use async_trait::async_trait;
use plat::VmList;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;

/// Serves `GET /vms`.
pub fn vms_router(vms: Arc<dyn VmList>) -> Router {
    Router::with_path("vms").get(List { vms })
}

struct List {
    vms: Arc<dyn VmList>,
}

#[async_trait]
impl Handler for List {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        match self.vms.list().await {
            Ok(vms) => render(response, StatusCode::OK, vms),
            Err(error) => render(response, StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }
}
