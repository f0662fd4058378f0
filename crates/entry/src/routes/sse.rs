//! Streams an answer to a caller, at the caller's own pace and for as long as it reads.
//!
//! What could go wrong: a caller vanishes, or reads a byte a minute, and its engine slot is lost
//! to others for as long. A task of its own therefore drives the answer: it ends at once when the
//! connection is gone and after [`READ_TIMEOUT`] when nothing is taken, and that cancels the
//! engine's work.

use super::answer::Answer;
use crate::daemon::Shared;
use crate::gate::Pass;
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
const WAITING_EVENTS: usize = 32;

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
        let mut parts = text.splitn(3, '/');
        let target = parts.next()?.to_owned();
        let request = parts.next()?.to_owned();
        let token = parts.next()?.parse().ok()?;
        Some(Self { target, request, token })
    }
}

/// What a stream needs until its end.
pub(super) struct Streaming {
    pub(super) shared: Arc<Shared>,
    pub(super) answer: Answer,
    pub(super) relay: Relay,
    /// Held until the stream ends.
    pub(super) pass: Pass,
    pub(super) begun: Instant,
}

/// A part of the stream; only the last kind ends it properly.
enum Part {
    Events(String),
    Last(String),
}

impl Streaming {
    /// The response's body, of which `first` is the first piece.
    pub(super) fn start(self, first: Piece) -> impl Stream<Item = io::Result<Bytes>> + Send {
        let (sender, parts) = mpsc::channel(WAITING_EVENTS);
        tokio::spawn(self.drive(first, sender));
        stream::unfold(Some(parts), |parts| async move {
            let mut parts = parts?;
            match parts.recv().await {
                Some(Part::Events(text)) => Some((Ok(Bytes::from(text)), Some(parts))),
                Some(Part::Last(text)) => Some((Ok(Bytes::from(text)), None)),
                // The connection is broken off, so that nobody takes the part for the whole.
                None => Some((Err(io::Error::other("the answer was given up")), None)),
            }
        })
    }

    async fn drive(mut self, first: Piece, sender: mpsc::Sender<Part>) {
        let mut piece = Ok(first);
        loop {
            if let Ok(Piece::End(end)) = &piece {
                self.pass.used(tokens_of(end));
            }
            let part = self.part(piece);
            let last = matches!(part, Part::Last(_));
            if sender.send_timeout(part, READ_TIMEOUT).await.is_err() {
                return self.vanished("slow-caller");
            }
            if last {
                return self.shared.metrics.finished(self.begun.elapsed());
            }
            piece = tokio::select! {
                biased;
                () = sender.closed() => return self.vanished("vanished-caller"),
                piece = self.relay.next() => piece,
            };
        }
    }

    fn part(&self, piece: Result<Piece, Problem>) -> Part {
        match piece {
            Ok(Piece::Text { text, id }) => Part::Events(self.answer.chunk(&id, &text)),
            Ok(Piece::End(end)) => Part::Last(self.answer.last(&end)),
            Err(problem) => {
                self.shared.metrics.refused(problem.reason, problem.run);
                Part::Last(format!("event: error\ndata: {}\n\n", problem.openai()))
            }
        }
    }

    fn vanished(&self, event: &'static str) {
        self.shared.metrics.vanished.inc();
        log::info!(request = self.answer.id.as_str(), event = event; "stream-given-up");
    }
}

/// Tokens that an answer used, prompt and output.
pub(super) fn tokens_of(end: &End) -> u64 {
    u64::from(end.prompt_tokens) + u64::from(end.output_tokens)
}
