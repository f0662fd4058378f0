//! Client of an engine with the OpenAI-compatible protocol and the order routes.

use super::bodies::{Choice, Chunk, CompletionBody, FencedBody, OrderBody};
use super::exchange::{Exchange, JSON};
use crate::{
    Engine, Error, FencingToken, Finish, Job, Order, Output, Outputs, Result, Status, Usage,
};
use async_trait::async_trait;
use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;

/// The client of one engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    exchange: Exchange,
}

impl HttpEngine {
    /// Creates a client of the engine at `address` (`host:port`).
    pub fn new(address: CompactString) -> Self {
        Self { exchange: Exchange::new(address) }
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, step: &'static str, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| self.exchange.broken(step, &error))
    }
}

/// Values of `priority` in the engine's protocol; a higher one is scheduled first.
const URGENT_PRIORITY: u32 = 10;
const ORDINARY_PRIORITY: u32 = 1;

#[async_trait]
impl Engine for HttpEngine {
    async fn generate(&self, job: Job) -> Result<Outputs> {
        const STEP: &str = "generate";
        let body = completion_body(&job);
        let body = serde_json::to_vec(&body).map_err(|e| self.exchange.not_reached(STEP, &e))?;
        let content_type = (CompactString::const_new("content-type"), Bytes::from_static(JSON));
        let trace = Bytes::copy_from_slice(job.traceparent.as_bytes());
        let trace = (CompactString::const_new("traceparent"), trace);
        let headers = std::iter::once(content_type).chain((!trace.1.is_empty()).then_some(trace));
        let sent = self.exchange.send(STEP, "POST", "/v1/completions", headers, body.into());
        let response = sent.await?;
        let status = response.status();
        if status != StatusCode::OK {
            let reason = self.exchange.collect(STEP, response).await?;
            return Err(self.exchange.refused(STEP, status, &reason.bytes));
        }
        Ok(outputs(self.exchange.clone(), response.into_body()))
    }

    async fn cancel(&self, id: &str) -> Result<()> {
        let path = format!("/v1/requests/{}", uri::encode(id));
        self.exchange.json("cancel", "DELETE", &path, Bytes::new()).await.map(drop)
    }

    async fn order(&self, fence: FencingToken, order: &Order) -> Result<()> {
        const STEP: &str = "order";
        let body = OrderBody { fence, order: order.clone() };
        let body = serde_json::to_vec(&body).map_err(|e| self.exchange.not_reached(STEP, &e))?;
        let content_type = (CompactString::const_new("content-type"), Bytes::from_static(JSON));
        let headers = std::iter::once(content_type);
        let sent = self.exchange.send(STEP, "POST", "/orders", headers, body.into());
        let response = sent.await?;
        let status = response.status();
        let body = self.exchange.collect(STEP, response).await?.bytes;
        match status {
            StatusCode::CONFLICT => {
                let newest = self.parse::<FencedBody>(STEP, &body)?.newest;
                Err(Error::Fenced { step: STEP, peer: self.exchange.peer().clone(), newest })
            }
            _ if status.is_success() => Ok(()),
            _ => Err(self.exchange.refused(STEP, status, &body)),
        }
    }

    async fn status(&self) -> Result<Status> {
        const STEP: &str = "status";
        let body = self.exchange.json(STEP, "GET", "/status", Bytes::new()).await?;
        self.parse(STEP, &body.bytes)
    }

    async fn export_kv(&self, id: &str) -> Result<Bytes> {
        const STEP: &str = "export KV";
        let cache = self.exchange.json(STEP, "GET", &kv_path(id), Bytes::new()).await?;
        self.exchange.complete(STEP, cache)
    }

    async fn import_kv(&self, id: &str, cache: Bytes) -> Result<()> {
        self.exchange.json("import KV", "PUT", &kv_path(id), cache).await.map(drop)
    }
}

fn kv_path(id: &str) -> String {
    format!("/kv/{}", uri::encode(id))
}

fn completion_body(job: &Job) -> CompletionBody {
    CompletionBody {
        model: job.serve.clone(),
        prompt: job.prompt.clone(),
        max_tokens: job.max_tokens,
        stream: true,
        request_id: job.id.clone(),
        priority: if job.urgent { URGENT_PRIORITY } else { ORDINARY_PRIORITY },
        resume_text: job.resume_text.clone(),
        resume_tokens: job.resume_tokens,
        sampling: serde_json::from_slice(&job.sampling).unwrap_or_default(),
    }
}

/// The rest of a streamed completion that has not been read yet.
struct CompletionStream {
    exchange: Exchange,
    body: Incoming,
    buffer: BytesMut,
    finish: Option<Finish>,
    usage: Option<Usage>,
    done: bool,
}

fn outputs(exchange: Exchange, body: Incoming) -> Outputs {
    let buffer = BytesMut::new();
    let rest = CompletionStream { exchange, body, buffer, finish: None, usage: None, done: false };
    Box::pin(stream::unfold(rest, |mut rest| async move {
        if rest.done {
            return None;
        }
        let output = rest.next().await;
        rest.done = !matches!(output, Ok(Output::Text { .. }));
        Some((output, rest))
    }))
}

const STEP: &str = "read stream";

/// The longest event accepted, in bytes, so that a faulty engine cannot exhaust the memory.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

impl CompletionStream {
    /// Reads until there is text or the generation ends.
    async fn next(&mut self) -> Result<Output> {
        loop {
            while let Some(data) = take_event(&mut self.buffer) {
                if let Some(output) = self.event(&data)? {
                    return Ok(output);
                }
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(self.exchange.broken(STEP, &"an event is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(error)) => return Err(self.exchange.broken(STEP, &error)),
                None => return Err(self.exchange.broken(STEP, &"the stream ended early")),
            }
        }
    }

    /// Applies the data of one event; none if it carries neither text nor the end.
    fn event(&mut self, data: &[u8]) -> Result<Option<Output>> {
        if data == b"[DONE]" {
            let (Some(finish), Some(usage)) = (self.finish, self.usage) else {
                return Err(self.exchange.broken(STEP, &"done without a reason or usage"));
            };
            return Ok(Some(Output::End { finish, usage }));
        }
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|error| self.exchange.broken(STEP, &error))?;
        self.usage = chunk.usage.or(self.usage);
        let Some(choice) = chunk.choices.into_iter().next() else { return Ok(None) };
        self.finish = finish(&choice).or(self.finish);
        let Choice { text, tokens, .. } = choice;
        Ok((!text.is_empty()).then_some(Output::Text { text, tokens }))
    }
}

fn finish(choice: &Choice) -> Option<Finish> {
    match choice.finish_reason.as_deref()? {
        "length" => Some(Finish::Length),
        _ => Some(Finish::Stop),
    }
}

/// Removes the next complete event from the buffer and returns its data; skips comments.
fn take_event(buffer: &mut BytesMut) -> Option<Bytes> {
    loop {
        let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
        let event = buffer.split_to(end).freeze();
        buffer.advance(2);
        if let Some(data) = event.strip_prefix(b"data: ") {
            return Some(event.slice_ref(data));
        }
    }
}
