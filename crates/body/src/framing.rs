//! What marks the end of a body.

use crate::Form;
use http::HeaderMap;
use http::header::TRANSFER_ENCODING;
use hyper::body::Body;

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Framing {
    /// Its length, which the head of the response declares or implies.
    Length,
    /// Its last chunk.
    Chunks,
    /// The end of its connection, which looks the same whether the sender has finished or crashed.
    Connection,
}

impl Framing {
    /// Returns the framing of a body that was received with these headers.
    pub fn of(body: &impl Body, headers: &HeaderMap) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        let encodings = headers.get_all(TRANSFER_ENCODING).iter();
        let last = encodings.filter_map(|value| value.to_str().ok()).next_back();
        let last = last.and_then(|value| value.rsplit(',').next()).unwrap_or_default();
        if last.trim().eq_ignore_ascii_case("chunked") { Self::Chunks } else { Self::Connection }
    }

    /// Returns its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// Returns whether a response with these headers is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    Form::of(headers).is_event_stream()
}
