//! `POST /v1/chat/completions` and `POST /v1/completions`, in OpenAI's format.

use super::admission::{self, Admitted};
use super::fallible::Serve;
use super::openai::{Endpoint, ResponseFormat};
use super::sse::{EventId, ResponseStream, total_tokens};
use crate::Reason;
use crate::daemon::Shared;
use crate::outcome::AttemptHistory;
use crate::problem::Problem;
use crate::relay::{Deadline, Piece, Relay};
use async_trait::async_trait;
use futures_util::StreamExt;
use policy::estimate::Cost;
use salvo::http::{HeaderMap, HeaderValue, header};
use salvo::writing::Json;
use salvo::{Depot, Request, Response};
use serde::Deserialize;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use wire::{Attach, Prompt};

/// Handles completion requests.
pub(super) struct Completions {
    pub(super) shared: Arc<Shared>,
    pub(super) endpoint: Endpoint,
}

/// Maximum size of a body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Maximum output tokens if the caller sets no limit.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Bytes of text per token, for estimates.
const TOKEN_BYTES: usize = 4;

/// Bytes at the start of a prompt that identify its prefix, so that it is sent to an engine with
/// that prefix in its cache.
const PREFIX_BYTES: usize = 256;

/// Time that a caller that resumes a response waits for a connection to the agent.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(1);

/// The fields of a body that the entry reads; the others are passed to the engine as sampling
/// parameters.
#[derive(Debug, Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    stream_options: StreamOptions,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(flatten)]
    sampling: serde_json::Map<String, Value>,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: String,
}

#[async_trait]
impl Serve for Completions {
    fn render(&self, problem: Problem, response: &mut Response) {
        problem.render_openai(response);
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
        let body: Body = serde_json::from_slice(&admitted.body)
            .map_err(|error| Problem::not_run(Reason::BadBody, error.to_string()))?;
        let last_event = last_event(http.headers())?;
        let Admitted { mut request, caller, time_limit, mut guard, .. } = admitted;
        if let Some(event) = &last_event {
            request.id.clone_from(&event.request);
        }
        let format = ResponseFormat {
            id: request.id.clone(),
            model: body.model.clone(),
            endpoint: self.endpoint,
            include_usage: body.stream_options.include_usage,
        };
        let is_stream = body.stream;
        let (requested_model, deadline) = (body.model.clone(), started_at + time_limit);
        let deadline = match is_stream {
            true => Deadline::FirstToken(deadline),
            false => Deadline::Complete(deadline),
        };
        let prompt = self.prompt(body, &request.caller)?;
        let cost = Cost::new(u64::from(prompt.prompt_tokens), u64::from(prompt.expected_tokens));
        let reserved = guard.reserve(&self.shared.decisions, &caller, cost);
        reserved.map_err(|failure| Problem::new(failure, &AttemptHistory::new(true)))?;
        let recorder =
            self.shared.explanations.start(&request.id, &request.caller, &requested_model);
        let caller_name = request.caller.clone();
        let mut relay = Relay::new(self.shared.clone(), request, prompt, recorder, deadline);
        if let Some(event) = last_event {
            relay = self.attach(relay, event, caller_name).await?;
        }
        if is_stream {
            let first = relay.next().await?;
            let shared = self.shared.clone();
            let stream = ResponseStream { shared, format, relay, guard, started_at };
            let content_type = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            response.stream(stream.start(first).boxed());
        } else {
            let mut text = String::new();
            let end = loop {
                match relay.next().await? {
                    Piece::Text { text: more, .. } => text.push_str(&more),
                    Piece::End(end) => break end,
                }
            };
            guard.set_used_tokens(total_tokens(&end));
            self.shared.metrics.record_duration(started_at.elapsed());
            response.render(Json(format.complete(&text, &end)));
        }
        Ok(())
    }
}

impl Completions {
    /// Resumes a response of this caller that another entry began.
    ///
    /// An unknown response and one of another caller are indistinguishable to the caller.
    async fn attach(&self, relay: Relay, event: EventId, caller: String) -> Result<Relay, Problem> {
        let unknown = || Problem::not_run(Reason::UnknownAnswer, "you have no answer of this id");
        let view = self.shared.view.borrow().clone();
        let target = view.target(&event.target).ok_or_else(unknown)?;
        let session = target.peer.session(ATTACH_TIMEOUT).await.ok_or_else(unknown)?;
        let attach =
            Attach { request: event.request, caller, from_token: event.token, ..Attach::default() };
        let context = self.shared.peers.context();
        let attempt = session.attach(context, target.name.clone(), attach).await;
        Ok(relay.attached(attempt.ok_or_else(unknown)?, event.token))
    }

    fn prompt(&self, body: Body, caller: &str) -> Result<Prompt, Problem> {
        let text = match self.endpoint {
            Endpoint::Text => body.prompt,
            Endpoint::Chat => {
                let messages = body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
                messages.collect::<String>() + "assistant:"
            }
        };
        let max_tokens =
            body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err(Problem::not_run(Reason::BadBody, "max_tokens is at least 1"));
        }
        let prompt_tokens = u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX);
        let (name, adapter) = body.model.split_once('+').unwrap_or((&body.model, ""));
        let (name, version) = name.split_once('@').unwrap_or((name, ""));
        let view = self.shared.view.borrow().clone();
        let model = view.model(name).ok_or_else(|| {
            Problem::not_run(Reason::UnknownModel, format!("there is no model `{name}`"))
        })?;
        let decisions = &self.shared.decisions;
        let cost = decisions.cost(caller, name, prompt_tokens, max_tokens);
        let version = match version {
            "" => decisions.versions.choose(&decisions.targets, name, &model.version, adapter),
            named => named.into(),
        };
        Ok(Prompt {
            model: name.to_owned(),
            version: version.to_string(),
            adapter: adapter.to_owned(),
            prefix: prefix_hash(&text),
            text,
            prompt_tokens,
            max_tokens,
            expected_tokens: u32::try_from(cost.decode).unwrap_or(max_tokens),
            sampling: serde_json::to_vec(&body.sampling).unwrap_or_default().into(),
            ..Prompt::default()
        })
    }
}

/// Returns a hash of a prompt's prefix.
fn prefix_hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    xxhash_rust::xxh3::xxh3_64(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Returns the id of the last event that the caller received of the response to be resumed.
fn last_event(headers: &HeaderMap) -> Result<Option<EventId>, Problem> {
    let header = headers.get("last-event-id").or_else(|| headers.get("x-last-event-id"));
    let Some(header) = header else { return Ok(None) };
    let event = header.to_str().ok().and_then(EventId::parse);
    let unknown = || Problem::not_run(Reason::UnknownAnswer, "you have no answer of this id");
    event.ok_or_else(unknown).map(Some)
}
