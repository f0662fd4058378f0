//! Parses a streamed completion: its text, its event ids, and how it ended.

use compact_str::{CompactString, ToCompactString};
use eventsource_stream::{Event, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;
use tokio::time::Instant;

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// With `[DONE]`.
    Done,
    /// With an error event.
    Error { reason: CompactString, run: CompactString },
    /// Without an end marker: the connection broke or an event was invalid.
    Broken,
}

/// The part of an answer received so far, over all streams that carried it.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) text: String,
    pub(crate) last_id: String,
    /// Arrival time of each piece; a piece is one token.
    pub(crate) times: Vec<Instant>,
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// An error object as in OpenAI's API, with the field `run` added by entries.
#[derive(Deserialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorDetail,
}

#[derive(Deserialize)]
pub(crate) struct ErrorDetail {
    pub(crate) code: CompactString,
    #[serde(default)]
    pub(crate) run: CompactString,
}

impl Answer {
    /// Reads a stream to its end and appends its content.
    pub(crate) async fn read(&mut self, body: Incoming) -> Ending {
        let mut events = std::pin::pin!(BodyDataStream::new(body).eventsource());
        loop {
            match next(&mut events).await {
                Some(event) if event.event == "error" => return error(&event.data),
                Some(event) if event.data == "[DONE]" => return Ending::Done,
                Some(event) => self.add_event(event),
                None => return Ending::Broken,
            }
        }
    }

    fn add_event(&mut self, event: Event) {
        let Ok(chunk) = serde_json::from_str::<Chunk>(&event.data) else { return };
        let Some(choice) = chunk.choices.into_iter().next() else { return };
        if choice.text.is_empty() {
            return;
        }
        self.text.push_str(&choice.text);
        self.times.push(Instant::now());
        if !event.id.is_empty() {
            self.last_id = event.id;
        }
    }
}

async fn next<E>(events: &mut (impl Stream<Item = Result<Event, E>> + Unpin)) -> Option<Event> {
    events.next().await?.ok()
}

fn error(data: &str) -> Ending {
    match serde_json::from_str::<ErrorBody>(data) {
        Ok(body) => Ending::Error { reason: body.error.code, run: body.error.run },
        Err(error) => Ending::Error {
            reason: error.to_compact_string(),
            run: CompactString::const_new("unknown"),
        },
    }
}
