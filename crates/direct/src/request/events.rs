//! Splits a stream of server-sent events so that only whole events are passed on.
//!
//! A target may stop in the middle of an event. If the stream then goes on at another target, the
//! half event must not stand before the whole one.

use bytes::{Bytes, BytesMut};

/// Bytes of an event that has not ended yet, and the id of the last that has.
#[derive(Debug, Default)]
pub struct Events {
    rest: BytesMut,
    last: Option<u64>,
}

/// The end of an event.
const END: &[u8] = b"\n\n";

/// The field that holds an event's id.
const ID: &[u8] = b"id:";

impl Events {
    /// Takes in bytes and returns those up to the end of the last whole event.
    pub fn take(&mut self, bytes: &Bytes) -> Bytes {
        // Mostly bytes come as whole events: then nothing is copied.
        if self.rest.is_empty() && bytes.ends_with(END) {
            self.note(bytes);
            return bytes.clone();
        }
        self.rest.extend_from_slice(bytes);
        let Some(end) = self.rest.windows(END.len()).rposition(|window| window == END) else {
            return Bytes::new();
        };
        let whole = self.rest.split_to(end + END.len()).freeze();
        self.note(&whole);
        whole
    }

    /// What is left when the stream has ended by itself.
    pub fn rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Forgets the half event of a stream that broke off.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    fn note(&mut self, whole: &[u8]) {
        let ids = whole.split(|byte| *byte == b'\n').rev();
        let id = ids
            .filter_map(|line| line.strip_prefix(ID))
            .find_map(|id| std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok()));
        self.last = id.or(self.last);
    }
}
