//! HTTP route of the weight store.

use super::render;
use async_trait::async_trait;
use plat::WeightStore;
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;

/// Serves `GET /artifacts/NAME`.
pub fn weights_router(weights: Arc<dyn WeightStore>) -> Router {
    Router::with_path("artifacts/{name}").get(Stat { weights })
}

struct Stat {
    weights: Arc<dyn WeightStore>,
}

#[async_trait]
impl Handler for Stat {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let name = request.param::<String>("name").unwrap_or_default();
        match self.weights.stat(&name).await {
            Ok(artifact) => render(response, StatusCode::OK, artifact),
            Err(error @ plat::Error::Refused { .. }) => {
                render(response, StatusCode::NOT_FOUND, error.to_string());
            }
            Err(error) => render(response, StatusCode::TOO_MANY_REQUESTS, error.to_string()),
        }
    }
}
