//! Splits a stream of server-sent events so that only complete events are forwarded.
//!
//! A target may stop in the middle of an event. If the stream is then resumed at another target,
//! the partial event must not precede the complete one.

use bytes::{Bytes, BytesMut};

/// The bytes of an event that is not yet complete, and the id of the last complete one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// The end of an event.
const EVENT_END: &[u8] = b"\n\n";

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

impl EventBuffer {
    /// Adds received bytes and returns those up to the end of the last complete event.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        // Bytes mostly arrive as complete events; then nothing is copied.
        if self.partial.is_empty() && bytes.ends_with(EVENT_END) {
            self.record_id(bytes);
            return bytes.clone();
        }
        self.partial.extend_from_slice(bytes);
        let Some(end) =
            self.partial.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)
        else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end + EVENT_END.len()).freeze();
        self.record_id(&complete);
        complete
    }

    /// Takes what is left once the stream has ended regularly.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// The number of bytes that are held back.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Discards the partial event of a stream that broke off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_id(&mut self, complete: &[u8]) {
        let ids = complete.split(|byte| *byte == b'\n').rev();
        let id = ids
            .filter_map(|line| line.strip_prefix(ID_FIELD))
            .find_map(|id| std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok()));
        self.last_id = id.or(self.last_id);
    }
}
