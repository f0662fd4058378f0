//! `ANY /services/NAME/...`: calls of plain services.

use super::fallible::Serve;
use super::intake::{self, Admitted};
use crate::attempt::Attempt;
use crate::calls::{Answer, Errand};
use crate::daemon::Shared;
use crate::gate::Pass;
use crate::outcome::Trail;
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

/// Calls plain services.
pub(super) struct Services {
    pub(super) shared: Arc<Shared>,
}

/// The largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Tells a caller that it receives the recorded answer of an earlier call.
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
        let begun = Instant::now();
        let admitted = intake::admit(&self.shared, http, depot, MAX_BODY_BYTES).await?;
        let Admitted { request, client, body, patience, mut pass } = admitted;
        let call = self.read(http, body, &request.id)?;
        let booked = pass.book(&self.shared.decisions, &client, Cost::default());
        booked.map_err(|failure| Problem::new(failure, &Trail::new(true)))?;
        let asked = format!("{} {}", call.method, call.service);
        let account = self.shared.accounts.open(&request.id, &request.caller, &asked);
        let deadline = begun + patience;
        let errand = Errand { shared: &self.shared, request, call, account, deadline };
        let answer = errand.run().await?;
        self.shared.metrics.finished(begun.elapsed());
        write(response, answer, pass);
        Ok(())
    }
}

impl Services {
    fn read(&self, http: &Request, body: Bytes, id: &str) -> Result<Call, Problem> {
        let service: String = http.param("name").unwrap_or_default();
        let view = self.shared.view.borrow().clone();
        let known = view.service(&service).ok_or_else(|| {
            Problem::not_run(Reason::UnknownService, format!("there is no service `{service}`"))
        })?;
        let key = key(http)?;
        let repeatable = known.repeatable && key.is_none();
        // A call without a key that may not be repeated gets one that nobody else can have, so
        // that it runs at most once by the same rule as those with a key.
        let implicit = || if repeatable { String::new() } else { format!("implicit-{id}") };
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
            key: key.unwrap_or_else(implicit),
        })
    }
}

/// The caller's idempotency key.
fn key(http: &Request) -> Result<Option<String>, Problem> {
    let Some(value) = http.headers().get("idempotency-key") else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("idempotency-key has 1 to {MAX_KEY_BYTES} visible ASCII characters");
        return Err(Problem::not_run(Reason::BadHeader, detail));
    }
    // Keys that callers choose and those that are made here can't meet.
    Ok(Some(format!("caller-{key}")))
}

fn write(response: &mut Response, answer: Answer, pass: Pass) {
    let status = u16::try_from(answer.head.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    response.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    let replayed = answer.head.replayed;
    headers::to_caller(answer.head.headers, response.headers_mut());
    if replayed {
        let value = salvo::http::HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED, value);
    }
    match answer.rest {
        None => {
            response.body(answer.body);
        }
        Some(attempt) => {
            let first = stream::once(async move { Ok(answer.body) });
            response.stream(first.chain(parts(attempt, pass)).boxed());
        }
    }
}

/// The body's pieces; a lost attempt breaks the connection, so that the caller sees it.
fn parts(
    attempt: Attempt,
    pass: Pass,
) -> impl futures_util::Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some((attempt, pass)), |state| async move {
        let (mut attempt, pass) = state?;
        match attempt.next().await {
            Some(EventKind::Part(part)) => Some((Ok(part.bytes), Some((attempt, pass)))),
            Some(EventKind::End(_)) => None,
            _ => Some((Err(io::Error::other("the target's answer was cut")), None)),
        }
    })
}
