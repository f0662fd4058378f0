//! `GET /v1/models`.

use super::admission;
use crate::daemon::Shared;
use async_trait::async_trait;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde_json::json;
use std::sync::Arc;

/// Lists the configured models.
pub(super) struct Models {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Models {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        if let Err(problem) = admission::authenticate(&self.shared, request.headers()) {
            return problem.render_openai(response);
        }
        let view = self.shared.view.borrow().clone();
        let model = |name| json!({"id": name, "object": "model", "owned_by": "lapismast"});
        let models: Vec<_> = view.models().into_iter().map(model).collect();
        response.render(Json(json!({"object": "list", "data": models})));
    }
}
