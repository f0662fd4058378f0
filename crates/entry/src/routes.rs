//! HTTP routes for callers.

mod admission;
mod completions;
mod fallible;
mod health;
mod models;
mod openai;
mod services;
mod sse;
mod trace;

use crate::Reason;
use crate::daemon::Shared;
use crate::problem::Problem;
use async_trait::async_trait;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;

/// Returns the router with all routes for callers.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    use completions::Completions;
    use fallible::Fallible;
    use openai::Endpoint;
    let at = |path: &str| Router::with_path(path.to_owned());
    let chat = Completions { shared: shared.clone(), endpoint: Endpoint::Chat };
    let text = Completions { shared: shared.clone(), endpoint: Endpoint::Text };
    let services = services::Services { shared: shared.clone() };
    Router::new()
        .hoop(trace::Trace { shared: shared.clone() })
        .push(at("v1/chat/completions").post(Fallible(chat)))
        .push(at("v1/completions").post(Fallible(text)))
        .push(at("v1/models").get(models::Models { shared: shared.clone() }))
        .push(at("services/{name}/{**rest}").goal(Fallible(services)))
        .push(at("healthz").get(health::Healthz))
        .push(at("readyz").get(health::Readyz { shared: shared.clone() }))
        .push(at("metrics").get(health::Metrics { shared }))
        .push(at("{**rest}").goal(NotFound))
}

/// Responds to requests for any other path.
struct NotFound;

#[async_trait]
impl Handler for NotFound {
    async fn handle(
        &self,
        _: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        Problem::not_run(Reason::UnknownPath, "this path leads nowhere").render(response);
    }
}
