//! `GET /v1/models`.

use crate::daemon::Shared;
use async_trait::async_trait;
use conf::Kind;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde_json::json;
use std::sync::Arc;

/// Lists the models.
pub(super) struct Models {
    pub(super) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Models {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let config = self.shared.config.borrow().clone();
        let models = config.list(Kind::Model).map(
            |entry| json!({"id": entry.resource.name, "object": "model", "owned_by": "lapismast"}),
        );
        let models: Vec<_> = models.collect();
        response.render(Json(json!({"object": "list", "data": models})));
    }
}
