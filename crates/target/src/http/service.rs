//! Client of a plain service over HTTP.

use super::exchange::Exchange;
use crate::{Call, Header, Response, Result, Service};
use async_trait::async_trait;
use body::{End, EventScanner, Framing, Outcome, framing};
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures_util::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// The client of one service.
#[derive(Debug, Clone)]
pub struct HttpService {
    exchange: Exchange,
}

impl HttpService {
    /// Creates a client of the service at `address` (`host:port`).
    pub fn new(address: CompactString) -> Self {
        Self { exchange: Exchange::new(address) }
    }
}

#[async_trait]
impl Service for HttpService {
    async fn call(&self, call: Call) -> Result<Response> {
        let headers = call.headers.into_iter().map(|header| (header.name, header.value));
        let sent = self.exchange.send("call", &call.method, &call.path, headers, call.body);
        let response = sent.await?;
        let (head, body) = response.into_parts();
        let headers = head.headers.iter().map(|(name, value)| Header {
            name: name.as_str().to_compact_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        });
        let is_event_stream = head.status.is_success() && framing::is_event_stream(&head.headers);
        let parts = BodyParts {
            exchange: self.exchange.clone(),
            framing: Framing::of(&body, &head.headers),
            events: is_event_stream.then(EventScanner::default),
            body: Some(body),
        };
        Ok(Response {
            status: head.status.as_u16(),
            headers: headers.collect(),
            body: stream::unfold(parts, BodyParts::next).boxed(),
        })
    }

    async fn probe(&self) -> Result<()> {
        let no_headers = std::iter::empty::<(CompactString, Bytes)>();
        self.exchange.send("probe", "GET", "/healthz", no_headers, Bytes::new()).await.map(drop)
    }
}

/// The rest of a body that has not been read yet.
struct BodyParts {
    exchange: Exchange,
    framing: Framing,
    /// Where its events end, if it is a stream of events.
    events: Option<EventScanner>,
    /// None once it has ended.
    body: Option<Incoming>,
}

const STEP: &str = "read body";

impl BodyParts {
    /// Reads the next part; a body that was broken off ends with an error.
    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        let body = self.body.as_mut()?;
        loop {
            let error = match body.frame().await {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if let Some(events) = &mut self.events {
                        events.scan(&bytes);
                    }
                    return Some((Ok(bytes), self));
                }
                Some(Err(error)) => self.exchange.broken(STEP, &error),
                None => {
                    let position = self.events.as_ref().map(EventScanner::position);
                    let end = End::judge(self.framing, Outcome::Ended, position);
                    if !end.is_broken_off() {
                        return None;
                    }
                    self.exchange.broken(STEP, &"the stream ended within an event")
                }
            };
            self.body = None;
            return Some((Err(error), self));
        }
    }
}
