//! Streams a response to its caller.
//!
//! A caller that disconnects, or reads very slowly, must not occupy an engine slot. Each response
//! is therefore driven by its own task, which ends as soon as the connection is closed, or after
//! [`READ_TIMEOUT`] without a read; that cancels the engine's work.

use super::openai::ResponseFormat;
use crate::capacity::CapacityGuard;
use crate::daemon::Shared;
use crate::problem::Problem;
use crate::relay::{Piece, Relay};
use bytes::Bytes;
use futures_util::{Stream, stream};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::End;

/// Time without a read by the caller after which its response is abandoned.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Events buffered in the entry for a slow caller; further ones are buffered by the agent.
const EVENT_BUFFER: usize = 32;

/// The event id that a caller sends to resume a response: `target/request/token`.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventId {
    pub(super) target: String,
    pub(super) request: String,
    pub(super) token: u32,
}

impl EventId {
    /// Parses an event id.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut chunks = text.splitn(3, '/');
        let target = chunks.next()?.to_owned();
        let request = chunks.next()?.to_owned();
        let token = chunks.next()?.parse().ok()?;
        Some(Self { target, request, token })
    }
}

/// A response that is streamed to its caller.
pub(super) struct ResponseStream {
    pub(super) shared: Arc<Shared>,
    pub(super) format: ResponseFormat,
    pub(super) relay: Relay,
    /// Held until the stream ends.
    pub(super) guard: CapacityGuard,
    pub(super) started_at: Instant,
}

/// A part of the stream. Only `Last` ends it properly.
enum Chunk {
    Events(String),
    Last(String),
}

impl ResponseStream {
    /// Returns the response body, which begins with the piece `first`.
    pub(super) fn start(self, first: Piece) -> impl Stream<Item = io::Result<Bytes>> + Send {
        let (sender, chunks) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.drive(first, sender));
        stream::unfold(Some(chunks), |chunks| async move {
            let mut chunks = chunks?;
            match chunks.recv().await {
                Some(Chunk::Events(text)) => Some((Ok(Bytes::from(text)), Some(chunks))),
                Some(Chunk::Last(text)) => Some((Ok(Bytes::from(text)), None)),
                // The connection is aborted, so that the caller does not take the part for a
                // complete response.
                None => Some((Err(io::Error::other("the answer was given up")), None)),
            }
        })
    }

    async fn drive(mut self, first: Piece, sender: mpsc::Sender<Chunk>) {
        let mut piece = Ok(first);
        loop {
            if let Ok(Piece::End(end)) = &piece {
                self.guard.set_used_tokens(total_tokens(end));
            }
            let chunk = self.encode(piece);
            let is_last = matches!(chunk, Chunk::Last(_));
            if sender.send_timeout(chunk, READ_TIMEOUT).await.is_err() {
                return self.abandon("slow-caller");
            }
            if is_last {
                return self.shared.metrics.record_duration(self.started_at.elapsed());
            }
            piece = tokio::select! {
                biased;
                () = sender.closed() => return self.abandon("vanished-caller"),
                piece = self.relay.next() => piece,
            };
        }
    }

    fn encode(&self, piece: Result<Piece, Problem>) -> Chunk {
        match piece {
            Ok(Piece::Text { text, id }) => Chunk::Events(self.format.chunk(&id, &text)),
            Ok(Piece::End(end)) => Chunk::Last(self.format.last(&end)),
            Err(problem) => {
                self.shared.metrics.request_refused(problem.reason, problem.execution);
                Chunk::Last(format!("event: error\ndata: {}\n\n", problem.openai()))
            }
        }
    }

    fn abandon(&self, event: &'static str) {
        self.shared.metrics.vanished_callers.inc();
        log::info!(request = self.format.id.as_str(), event = event; "stream-given-up");
    }
}

/// Returns the number of tokens used, prompt and output.
pub(super) fn total_tokens(end: &End) -> u64 {
    u64::from(end.prompt_tokens) + u64::from(end.output_tokens)
}
