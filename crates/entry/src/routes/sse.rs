//! Streams an answer to a caller, at the caller's own pace and for as long as it reads.
//!
//! What could go wrong: a caller vanishes, or reads a byte a minute, and its engine slot is lost
//! to others for as long. A task of its own therefore drives the answer: it ends at once when the
//! connection is gone and after [`READ_TIMEOUT`] when nothing is taken, and that cancels the
//! engine's work.

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

/// How long a caller may take nothing of what waits for it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Events that wait for a slow caller in the entry; more wait at the agent.
const EVENT_BUFFER: usize = 32;

/// The event id that a caller sends back to go on: `target/request/token`.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventId {
    pub(super) target: String,
    pub(super) request: String,
    pub(super) token: u32,
}

impl EventId {
    /// Reads an event id.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let mut chunks = text.splitn(3, '/');
        let target = chunks.next()?.to_owned();
        let request = chunks.next()?.to_owned();
        let token = chunks.next()?.parse().ok()?;
        Some(Self { target, request, token })
    }
}

/// What a stream needs until its end.
pub(super) struct ResponseStream {
    pub(super) shared: Arc<Shared>,
    pub(super) format: ResponseFormat,
    pub(super) relay: Relay,
    /// Held until the stream ends.
    pub(super) guard: CapacityGuard,
    pub(super) started_at: Instant,
}

/// A part of the stream; only the last kind ends it properly.
enum Chunk {
    Events(String),
    Last(String),
}

impl ResponseStream {
    /// The response's body, of which `first` is the first piece.
    pub(super) fn start(self, first: Piece) -> impl Stream<Item = io::Result<Bytes>> + Send {
        let (sender, chunks) = mpsc::channel(EVENT_BUFFER);
        tokio::spawn(self.drive(first, sender));
        stream::unfold(Some(chunks), |chunks| async move {
            let mut chunks = chunks?;
            match chunks.recv().await {
                Some(Chunk::Events(text)) => Some((Ok(Bytes::from(text)), Some(chunks))),
                Some(Chunk::Last(text)) => Some((Ok(Bytes::from(text)), None)),
                // The connection is broken off, so that nobody takes the part for the whole.
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

/// Tokens that an answer used, prompt and output.
pub(super) fn total_tokens(end: &End) -> u64 {
    u64::from(end.prompt_tokens) + u64::from(end.output_tokens)
}
