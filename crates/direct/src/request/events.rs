//! Follows the events of a stream that is forwarded, and holds back the part of an event that is not
//! yet whole where the stream can be resumed.
//!
//! A target may stop in the middle of an event. If the stream is then resumed at another target,
//! the partial event must not precede the complete one.

use body::{EventScanner, Position};
use bytes::{Bytes, BytesMut};

/// The events of a stream so far.
#[derive(Debug)]
pub struct EventBuffer {
    scanner: EventScanner,
    mode: Mode,
    partial: BytesMut,
    /// Whether any bytes were forwarded.
    has_forwarded: bool,
    last_id: Option<u64>,
    /// The bytes since the last event ended.
    event_bytes: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Only whole events are forwarded.
    Holding,
    /// All is forwarded as it arrives.
    Passing,
}

/// The largest part of an event that is held back, in bytes. A larger event is forwarded as it
/// arrives, and its stream can't be resumed any more.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// The largest event, in bytes. What is longer is no event, and may never end.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// The field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

impl EventBuffer {
    /// Creates the buffer of a stream that can be resumed.
    pub fn holding() -> Self {
        Self::new(Mode::Holding)
    }

    /// Creates the buffer of a stream that can't be resumed.
    pub fn passing() -> Self {
        Self::new(Mode::Passing)
    }

    fn new(mode: Mode) -> Self {
        let (scanner, partial) = (EventScanner::default(), BytesMut::new());
        Self { scanner, mode, partial, has_forwarded: false, last_id: None, event_bytes: 0 }
    }

    /// Adds received bytes and returns those to forward.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        let boundary = self.scanner.scan(bytes);
        let before = if boundary == 0 { self.event_bytes } else { 0 };
        self.event_bytes = before + bytes.len() - boundary;
        let forwarded = match self.mode {
            Mode::Holding => self.hold_back(bytes, boundary),
            Mode::Passing => bytes.clone(),
        };
        self.has_forwarded |= !forwarded.is_empty();
        forwarded
    }

    fn hold_back(&mut self, bytes: &Bytes, boundary: usize) -> Bytes {
        // Bytes mostly arrive as whole events; then nothing is copied.
        if self.partial.is_empty() && boundary == bytes.len() {
            self.record_id(bytes);
            return bytes.clone();
        }
        let (whole, rest) = bytes.split_at(boundary);
        let complete = if whole.is_empty() {
            Bytes::new()
        } else {
            self.partial.extend_from_slice(whole);
            self.partial.split().freeze()
        };
        self.record_id(&complete);
        self.partial.extend_from_slice(rest);
        if self.partial.len() <= MAX_HELD_BYTES {
            return complete;
        }
        self.mode = Mode::Passing;
        let mut all = BytesMut::from(complete);
        all.unsplit(self.partial.split());
        all.freeze()
    }

    /// Returns where the stream has arrived.
    pub fn position(&self) -> Position {
        self.scanner.position()
    }

    /// Returns whether the bytes since the last event are more than an event can have.
    pub fn is_oversized(&self) -> bool {
        self.event_bytes > MAX_EVENT_BYTES
    }

    /// Returns whether the stream can be resumed: only whole events have been forwarded, and the last
    /// id is known if there were any.
    pub fn can_resume(&self) -> bool {
        self.mode == Mode::Holding && (self.last_id.is_some() || !self.has_forwarded)
    }

    /// Takes what is held back, once the stream has ended regularly.
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
        self.scanner = EventScanner::default();
        self.event_bytes = 0;
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_id(&mut self, complete: &[u8]) {
        let lines = complete.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
        let id = lines
            .filter_map(|line| line.strip_prefix(ID_FIELD))
            .find_map(|id| std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok()));
        self.last_id = id.or(self.last_id);
    }
}
