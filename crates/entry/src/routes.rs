//! The routes for callers.

mod completions;
mod health;
mod models;
mod services;

use crate::attempt::Attempt;
use crate::auth;
use crate::daemon::Shared;
use crate::problem::Problem;
use crate::router;
use salvo::http::StatusCode;
use salvo::{Request, Router};
use std::sync::Arc;

/// All routes for callers.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    use completions::{Completions, Shape};
    let at = |path: &str| Router::with_path(path.to_owned());
    let chat = Completions { shared: shared.clone(), shape: Shape::Chat };
    let text = Completions { shared: shared.clone(), shape: Shape::Text };
    Router::new()
        .push(at("v1/chat/completions").post(chat))
        .push(at("v1/completions").post(text))
        .push(at("v1/models").get(models::Models { shared: shared.clone() }))
        .push(at("services/{name}/{**rest}").goal(services::Services { shared: shared.clone() }))
        .push(at("healthz").get(health::Healthz))
        .push(at("readyz").get(health::Readyz { shared }))
}

/// How long a caller waits if neither it nor its resource says.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Makes a request of the caller that `http` comes from.
fn identify(shared: &Shared, http: &Request) -> Result<wire::Request, Problem> {
    let authorization = http.header::<String>("authorization");
    let config = shared.config.borrow().clone();
    let Some((name, caller)) = auth::caller(&config, authorization.as_deref()) else {
        let detail = "no caller has this bearer token";
        return Err(Problem::not_run(StatusCode::UNAUTHORIZED, "unknown-caller", detail));
    };
    let allowed = u64::try_from(caller.deadline.as_millis()).unwrap_or(DEFAULT_DEADLINE_MS);
    let asked = http.header::<u64>("x-deadline-ms").unwrap_or(allowed);
    Ok(wire::Request {
        id: format!("{:016x}", rand::random::<u64>()),
        caller: name.to_string(),
        deadline_ms: asked,
        urgent: caller.urgent && http.header::<String>("x-urgency").as_deref() == Some("urgent"),
        traceparent: http.header("traceparent").unwrap_or_default(),
        ..wire::Request::default()
    })
}

/// Submits a request to the target that is chosen for it.
async fn submit(shared: &Shared, request: wire::Request) -> Result<Attempt, Problem> {
    let unavailable =
        |reason, detail: String| Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, detail);
    let Some(address) = router::choose(shared, &request) else {
        return Err(unavailable("no-target", "no target in service can do this".to_owned()));
    };
    let peer = shared.peers.get(&address).await;
    let peer = peer.map_err(|error| unavailable("agent-unreachable", error.to_string()))?;
    let attempt = peer.submit(request).await;
    attempt.ok_or_else(|| unavailable("agent-unreachable", "the connection was lost".to_owned()))
}
