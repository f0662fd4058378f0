//! `POST /v1/chat/completions` and `POST /v1/completions`, in OpenAI's shapes.

use super::{identify, submit};
use crate::attempt::Attempt;
use crate::daemon::Shared;
use crate::problem::Problem;
use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde::Deserialize;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::sync::Arc;
use wire::{End, EventKind, Finish, Prompt, Work};

/// Which of the two routes it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// Generates answers.
pub(super) struct Completions {
    pub(super) shared: Arc<Shared>,
    pub(super) shape: Shape,
}

/// The largest body accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Tokens generated if the caller does not say.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Bytes of text that count as one token, for estimates.
const TOKEN_BYTES: usize = 4;

/// What we read of a body; the rest is handed to the engine as sampling parameters.
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
impl Handler for Completions {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        if let Err(problem) = self.complete(request, response).await {
            problem.render_openai(response);
        }
    }
}

impl Completions {
    async fn complete(&self, http: &mut Request, response: &mut Response) -> Result<(), Problem> {
        let mut request = identify(&self.shared, http)?;
        let bad = |error: &dyn std::fmt::Display| {
            Problem::not_run(StatusCode::BAD_REQUEST, "bad-body", error.to_string())
        };
        let bytes =
            http.payload_with_max_size(MAX_BODY_BYTES).await.map_err(|error| bad(&error))?;
        let body: Body = serde_json::from_slice(bytes).map_err(|error| bad(&error))?;
        let shape = self.shape;
        let answer = Answer {
            id: request.id.clone(),
            model: body.model.clone(),
            shape,
            include_usage: body.stream_options.include_usage,
        };
        let streamed = body.stream;
        request.work = Some(Work::Prompt(prompt(body, shape)));
        let attempt = submit(&self.shared, request).await?;
        if streamed {
            answer.stream(attempt, response).await
        } else {
            answer.whole(attempt, response).await
        }
    }
}

fn prompt(body: Body, shape: Shape) -> Prompt {
    let text = match shape {
        Shape::Text => body.prompt,
        Shape::Chat => {
            let lines = body.messages.iter().map(|m| format!("{}: {}\n", m.role, m.content));
            lines.collect::<String>() + "assistant:"
        }
    };
    let max_tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    let prompt_tokens = u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX);
    let (model, adapter) = body.model.split_once('+').unwrap_or((&body.model, ""));
    Prompt {
        model: model.to_owned(),
        adapter: adapter.to_owned(),
        text,
        prompt_tokens,
        max_tokens,
        expected_tokens: max_tokens,
        sampling: serde_json::to_vec(&body.sampling).unwrap_or_default().into(),
        ..Prompt::default()
    }
}

/// The form of one answer.
#[derive(Clone)]
struct Answer {
    id: String,
    model: String,
    shape: Shape,
    include_usage: bool,
}

impl Answer {
    async fn whole(&self, mut attempt: Attempt, response: &mut Response) -> Result<(), Problem> {
        let mut text = String::new();
        loop {
            match attempt.next().await {
                Some(EventKind::Delta(delta)) => text.push_str(&delta.text),
                Some(EventKind::End(end)) => {
                    response.render(Json(self.complete(&text, &end)));
                    return Ok(());
                }
                Some(EventKind::Refusal(refusal)) => return Err(Problem::from_refusal(refusal)),
                _ => return Err(Problem::lost()),
            }
        }
    }

    async fn stream(self, mut attempt: Attempt, response: &mut Response) -> Result<(), Problem> {
        // The status is decided by the first event, so that a refusal is not a broken stream.
        let first = match attempt.next().await {
            Some(EventKind::Refusal(refusal)) => return Err(Problem::from_refusal(refusal)),
            Some(first) => first,
            None => return Err(Problem::lost()),
        };
        let kind = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, kind);
        let events = stream::unfold((self, attempt, Some(first), false), |state| async move {
            let (answer, mut attempt, first, done) = state;
            if done {
                return None;
            }
            let event = match first {
                Some(event) => Some(event),
                None => attempt.next().await,
            };
            let (text, done) = answer.event(event);
            Some((Ok::<_, Infallible>(Bytes::from(text)), (answer, attempt, None, done)))
        });
        response.stream(events.boxed());
        Ok(())
    }

    /// The server-sent events for one event of the attempt, and whether they are the last.
    fn event(&self, event: Option<EventKind>) -> (String, bool) {
        match event {
            Some(EventKind::Delta(delta)) => {
                let id = delta.from_token + delta.tokens;
                (format!("id: {}.{id}\ndata: {}\n\n", self.id, self.chunk(&delta.text)), false)
            }
            Some(EventKind::End(end)) => (self.last(&end), true),
            Some(EventKind::Refusal(refusal)) => {
                let problem = Problem::from_refusal(refusal);
                (format!("event: error\ndata: {}\n\n", problem.openai()), true)
            }
            _ => (format!("event: error\ndata: {}\n\n", Problem::lost().openai()), true),
        }
    }

    fn chunk(&self, text: &str) -> Value {
        let choice = match self.shape {
            Shape::Chat => json!({"index": 0, "delta": {"content": text}, "finish_reason": null}),
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.envelope(".chunk", vec![choice])
    }

    fn last(&self, end: &End) -> String {
        let reason = finish(end);
        let choice = match self.shape {
            Shape::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Shape::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let mut events = format!("data: {}\n\n", self.envelope(".chunk", vec![choice]));
        if self.include_usage {
            let mut chunk = self.envelope(".chunk", Vec::new());
            chunk["usage"] = usage(end);
            events += &format!("data: {chunk}\n\n");
        }
        events + "data: [DONE]\n\n"
    }

    fn complete(&self, text: &str, end: &End) -> Value {
        let reason = finish(end);
        let choice = match self.shape {
            Shape::Chat => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        let mut whole = self.envelope("", vec![choice]);
        whole["usage"] = usage(end);
        whole
    }

    fn envelope(&self, suffix: &str, choices: Vec<Value>) -> Value {
        let object = match self.shape {
            Shape::Chat => format!("chat.completion{suffix}"),
            Shape::Text => "text_completion".to_owned(),
        };
        json!({"id": self.id, "object": object, "model": self.model, "choices": choices})
    }
}

fn finish(end: &End) -> &'static str {
    match end.finish() {
        Finish::Stop => "stop",
        Finish::Length => "length",
    }
}

fn usage(end: &End) -> Value {
    json!({
        "prompt_tokens": end.prompt_tokens, "completion_tokens": end.output_tokens,
        "total_tokens": end.prompt_tokens + end.output_tokens,
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    })
}
