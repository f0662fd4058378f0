//! HTTP routes of an engine.

use super::{break_off, render};
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{StreamExt, stream};
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;
use target::http::bodies::{Choice, Chunk, CompletionBody, FencedBody, OrderBody};
use target::{Engine, Error, Finish, Job, Output, Outputs};

/// Serves an engine over the OpenAI-compatible protocol, with the routes for orders, status and KV
/// caches.
pub fn engine_router(engine: Arc<dyn Engine>) -> Router {
    let route = |path: &str| Router::with_path(path.to_owned());
    let at = |action| Route { engine: engine.clone(), action };
    Router::new()
        .push(route("v1/completions").post(at(Action::Complete)))
        .push(route("v1/requests/{id}").delete(at(Action::Cancel)))
        .push(route("orders").post(at(Action::Order)))
        .push(route("status").get(at(Action::Status)))
        .push(route("kv/{id}").get(at(Action::Export)).put(at(Action::Import)))
}

#[derive(Clone, Copy)]
enum Action {
    Complete,
    Cancel,
    Order,
    Status,
    Export,
    Import,
}

struct Route {
    engine: Arc<dyn Engine>,
    action: Action,
}

/// The largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

#[async_trait]
impl Handler for Route {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let id = request.param::<String>("id").unwrap_or_default();
        let body = request.payload_with_max_size(MAX_BODY_BYTES).await.cloned();
        let body = body.unwrap_or_default();
        match self.action {
            Action::Complete => self.complete(&body, response, flow).await,
            Action::Cancel => done(response, flow, self.engine.cancel(&id).await).await,
            Action::Order => self.order(&body, response, flow).await,
            Action::Status => match self.engine.status().await {
                Ok(status) => render(response, StatusCode::OK, status),
                Err(error) => fail(response, flow, &error).await,
            },
            Action::Export => match self.engine.export_kv(&id).await {
                Ok(cache) => {
                    response.write_body(cache).ok();
                }
                Err(error) => fail(response, flow, &error).await,
            },
            Action::Import => {
                done(response, flow, self.engine.import_kv(&id, body).await).await;
            }
        }
    }
}

impl Route {
    async fn complete(&self, body: &[u8], response: &mut Response, flow: &FlowCtrl) {
        let body: CompletionBody = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(error) => return render(response, StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.engine.generate(job(body)).await {
            Ok(outputs) => {
                let kind = HeaderValue::from_static("text/event-stream");
                response.headers_mut().insert(header::CONTENT_TYPE, kind);
                response.stream(events(outputs));
            }
            Err(error) => fail(response, flow, &error).await,
        }
    }

    async fn order(&self, body: &[u8], response: &mut Response, flow: &FlowCtrl) {
        match serde_json::from_slice::<OrderBody>(body) {
            Ok(body) => {
                let outcome = self.engine.order(body.fence, &body.order).await;
                done(response, flow, outcome).await;
            }
            Err(error) => render(response, StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Priorities above this one are urgent.
const ORDINARY_PRIORITY: u32 = 1;

fn job(body: CompletionBody) -> Job {
    Job {
        id: body.request_id,
        serve: body.model,
        prompt: body.prompt,
        resume_text: body.resume_text,
        resume_tokens: body.resume_tokens,
        max_tokens: body.max_tokens,
        urgent: body.priority > ORDINARY_PRIORITY,
        sampling: serde_json::to_vec(&body.sampling).unwrap_or_default().into(),
        traceparent: CompactString::default(),
    }
}

/// The stream of server-sent events; an error breaks it off, as a crash of the engine does.
fn events(outputs: Outputs) -> impl futures_util::Stream<Item = Result<Bytes, Error>> + Send {
    outputs.flat_map(|output| {
        let pieces = match output {
            Ok(Output::Text { text, tokens }) => {
                vec![Ok(event(Some(Choice { text, tokens, finish_reason: None }), None))]
            }
            Ok(Output::End { finish, usage }) => {
                let reason = match finish {
                    Finish::Stop => CompactString::const_new("stop"),
                    Finish::Length => CompactString::const_new("length"),
                };
                let last = Choice { text: String::new(), tokens: 0, finish_reason: Some(reason) };
                vec![
                    Ok(event(Some(last), Some(usage))),
                    Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                ]
            }
            Err(error) => vec![Err(error)],
        };
        stream::iter(pieces)
    })
}

fn event(choice: Option<Choice>, usage: Option<target::Usage>) -> Bytes {
    let chunk = Chunk { choices: choice.into_iter().collect(), usage };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    Bytes::from(format!("data: {json}\n\n"))
}

async fn done(response: &mut Response, flow: &FlowCtrl, result: target::Result<()>) {
    match result {
        Ok(()) => render(response, StatusCode::OK, serde_json::json!({})),
        Err(error) => fail(response, flow, &error).await,
    }
}

async fn fail(response: &mut Response, flow: &FlowCtrl, error: &Error) {
    match error {
        Error::Fenced { newest, .. } => {
            render(response, StatusCode::CONFLICT, FencedBody { newest: *newest });
        }
        Error::Refused { .. } | Error::NotReached { .. } => {
            render(response, StatusCode::SERVICE_UNAVAILABLE, error.to_string());
        }
        Error::Broken { .. } => break_off(flow).await,
    }
}
