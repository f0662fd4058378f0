//! OpenAI's response formats, as one body and as chunks of a stream.

use serde_json::{Value, json};
use wire::{End, Finish};

/// The endpoint that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Endpoint {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

/// The format of one response.
#[derive(Clone)]
pub(super) struct ResponseFormat {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) endpoint: Endpoint,
    pub(super) include_usage: bool,
}

impl ResponseFormat {
    /// Encodes a piece of text as a server-sent event.
    pub(super) fn chunk(&self, id: &str, text: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        format!("id: {id}\ndata: {}\n\n", self.envelope(".chunk", vec![choice]))
    }

    /// Encodes the server-sent events that end a stream.
    pub(super) fn last(&self, end: &End) -> String {
        let reason = finish(end);
        let choice = match self.endpoint {
            Endpoint::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Endpoint::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        let mut events = format!("data: {}\n\n", self.envelope(".chunk", vec![choice]));
        if self.include_usage {
            let mut chunk = self.envelope(".chunk", Vec::new());
            chunk["usage"] = usage(end);
            events += &format!("data: {chunk}\n\n");
        }
        events + "data: [DONE]\n\n"
    }

    /// Encodes a response as one body.
    pub(super) fn complete(&self, text: &str, end: &End) -> Value {
        let reason = finish(end);
        let choice = match self.endpoint {
            Endpoint::Chat => json!({
                "index": 0, "message": {"role": "assistant", "content": text},
                "finish_reason": reason,
            }),
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": reason}),
        };
        let mut response = self.envelope("", vec![choice]);
        response["usage"] = usage(end);
        response
    }

    fn envelope(&self, suffix: &str, choices: Vec<Value>) -> Value {
        let object = match self.endpoint {
            Endpoint::Chat => format!("chat.completion{suffix}"),
            Endpoint::Text => "text_completion".to_owned(),
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
        "total_tokens": end.prompt_tokens.saturating_add(end.output_tokens),
        "prompt_tokens_details": {"cached_tokens": end.cached_tokens},
    })
}
