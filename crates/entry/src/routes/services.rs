//! `ANY /services/NAME/...`: calls of plain services.

use super::admission::{self, Admitted};
use super::fallible::Serve;
use crate::attempt::Attempt;
use crate::calls::{ServiceCall, ServiceResponse};
use crate::capacity::CapacityGuard;
use crate::daemon::Shared;
use crate::outcome::AttemptHistory;
use crate::problem::Problem;
use crate::{Reason, headers};
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use policy::estimate::Cost;
use salvo::http::StatusCode;
use salvo::{Depot, Request, Response};
use std::io;
use std::sync::Arc;
use tokio::time::Instant;
use wire::{Call, EventKind};

/// Handles calls of plain services.
pub(super) struct Services {
    pub(super) shared: Arc<Shared>,
}

/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Response header that marks the recorded response of an earlier call.
const REPLAYED: &str = "idempotency-replayed";

#[async_trait]
impl Serve for Services {
    fn render(&self, problem: Problem, response: &mut Response) {
        problem.render(response);
    }

    fn shared(&self) -> &Shared {
        &self.shared
    }

    async fn serve(
        &self,
        http: &mut Request,
        depot: &Depot,
        response: &mut Response,
    ) -> Result<(), Problem> {
        let started_at = Instant::now();
        let admitted = admission::admit(&self.shared, http, depot, MAX_BODY_BYTES).await?;
        let Admitted { request, caller, body, time_limit, mut guard } = admitted;
        let call = self.parse_call(http, body, &request.id)?;
        let reserved = guard.reserve(&self.shared.decisions, &caller, Cost::default());
        reserved.map_err(|failure| Problem::new(failure, &AttemptHistory::new(true)))?;
        let requested = format!("{} {}", call.method, call.service);
        let recorder = self.shared.explanations.start(&request.id, &request.caller, &requested);
        let deadline = started_at + time_limit;
        let service_call = ServiceCall { shared: &self.shared, request, call, recorder, deadline };
        let service_response = service_call.run().await?;
        self.shared.metrics.record_duration(started_at.elapsed());
        write_response(response, service_response, guard);
        Ok(())
    }
}

impl Services {
    fn parse_call(&self, http: &Request, body: Bytes, id: &str) -> Result<Call, Problem> {
        let service: String = http.param("name").unwrap_or_default();
        let view = self.shared.view.borrow().clone();
        let definition = view.service(&service).ok_or_else(|| {
            Problem::not_run(Reason::UnknownService, format!("there is no service `{service}`"))
        })?;
        let key = idempotency_key(http)?;
        let repeatable = definition.repeatable && key.is_none();
        // A call that may not be repeated and has no key gets a unique one, so that the same rule
        // as for calls with a key limits it to one execution.
        let generated_key = || if repeatable { String::new() } else { format!("implicit-{id}") };
        let path = http.uri().path();
        let rest = path.strip_prefix("/services/").and_then(|path| path.split_once('/'));
        let rest = rest.map(|(_, rest)| rest).unwrap_or_default();
        let query = http.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
        Ok(Call {
            service,
            method: http.method().to_string(),
            path: format!("/{rest}{query}"),
            headers: headers::to_service(http.headers()),
            body,
            repeatable,
            key: key.unwrap_or_else(generated_key),
        })
    }
}

/// Returns the caller's idempotency key.
fn idempotency_key(http: &Request) -> Result<Option<String>, Problem> {
    let Some(value) = http.headers().get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("idempotency-key has 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(Problem::not_run(Reason::BadHeader, detail));
    }
    // The prefix separates the keys of callers from generated ones.
    Ok(Some(format!("caller-{key}")))
}

fn write_response(
    response: &mut Response,
    service_response: ServiceResponse,
    guard: CapacityGuard,
) {
    let status = u16::try_from(service_response.head.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    let replayed = service_response.head.replayed;
    headers::to_caller(service_response.head.headers, response.headers_mut());
    if replayed {
        let value = salvo::http::HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED, value);
    }
    match service_response.rest {
        None => {
            response.body(service_response.body);
        }
        Some(attempt) => {
            let first = stream::once(async move { Ok(service_response.body) });
            response.stream(first.chain(body_stream(attempt, guard)).boxed());
        }
    }
}

/// Streams the rest of the body. If the attempt is lost, the connection is aborted, so that the
/// caller detects the truncation.
fn body_stream(
    attempt: Attempt,
    guard: CapacityGuard,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some((attempt, guard)), |state| async move {
        let (mut attempt, guard) = state?;
        match attempt.next().await {
            Some(EventKind::Part(part)) => Some((Ok(part.bytes), Some((attempt, guard)))),
            Some(EventKind::End(_)) => None,
            _ => Some((Err(io::Error::other("the target's answer was cut")), None)),
        }
    })
}
