//! Buffers the answer to one request between the job that produces it and the entries that read it.
//!
//! A job writes events to the buffer instead of an entry's connection, and each attempt reads at
//! its own pace. So a slow caller pauses only its own stream, and if the connection to an entry is
//! lost, another entry can continue to read the answer.

use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::EventKind;

/// Unread bytes from which the job waits. One second of the fastest stream is far below this.
const MAX_UNREAD_BYTES: u64 = 256 * 1024;

/// Maximum bytes of one answer that are retained for [`Answer::attach`] after they were read: eight
/// times the longest answer in a context of 32,768 tokens at 4 bytes per token.
const MAX_RETAINED_BYTES: u64 = 1024 * 1024;

/// How long a job waits for a stalled reader before it gives up its slot.
const STALL_TIMEOUT: Duration = Duration::from_secs(60);

/// How long an answer is still generated after the connection to its entry was lost, so that
/// another entry can continue to read it. Callers reconnect within seconds.
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(10);

/// The answer to one request.
pub(crate) struct Answer {
    /// The request's id.
    pub(crate) request: CompactString,
    /// The only caller that may read the answer.
    pub(crate) caller: CompactString,
    /// Whether events are retained after they were read.
    retains: bool,
    state: Mutex<State>,
    /// Notified when an event was written.
    event_written: Notify,
    /// Notified when an event was read, or a reader was attached or detached.
    readers_changed: Notify,
    /// Cancelled when the unread events were discarded because the readers stalled.
    discarded: CancellationToken,
}

#[derive(Default)]
struct State {
    events: VecDeque<BufferedEvent>,
    /// Index of the first buffered event.
    first_index: u64,
    /// Total size of all events ever written.
    written_bytes: u64,
    /// Total size of the buffered events.
    buffered_bytes: u64,
    readers: HashMap<u64, Cursor>,
    next_reader: u64,
    /// Position of the reader that was detached last.
    last_cursor: Cursor,
    /// When the last reader lost its connection; `None` if it cancelled.
    lost_at: Option<Instant>,
    ended: bool,
}

struct BufferedEvent {
    kind: EventKind,
    bytes: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    index: u64,
    bytes: u64,
}

/// Reads an answer. Dropping it counts as a lost connection.
pub(crate) struct Reader {
    answer: Arc<Answer>,
    id: u64,
}

/// The slowest reader has stalled for [`STALL_TIMEOUT`], so the job must give up its slot.
#[derive(Debug)]
pub(crate) struct Stalled;

/// The requested position of the answer is not in the buffer.
#[derive(Debug)]
pub(crate) struct NotBuffered;

impl Answer {
    /// Creates an empty answer and its first reader. `retains`: whether events are retained after
    /// they were read.
    pub(crate) fn new(request: &str, caller: &str, retains: bool) -> (Arc<Self>, Reader) {
        let answer = Arc::new(Self {
            request: request.into(),
            caller: caller.into(),
            retains,
            state: Mutex::default(),
            event_written: Notify::new(),
            readers_changed: Notify::new(),
            discarded: CancellationToken::new(),
        });
        let reader = answer.reader(Cursor::default());
        (answer, reader)
    }

    /// Appends an event, after waiting while the slowest reader has too much unread. The last
    /// event, an end or a refusal, is appended without waiting.
    pub(crate) async fn push(&self, kind: EventKind) -> Result<(), Stalled> {
        let deadline = Instant::now() + STALL_TIMEOUT;
        loop {
            let mut changed = std::pin::pin!(self.readers_changed.notified());
            changed.as_mut().enable();
            {
                let mut state = self.lock();
                if is_last(&kind) || state.unread_bytes() < MAX_UNREAD_BYTES {
                    state.append(kind);
                    drop(state);
                    self.event_written.notify_waiters();
                    return Ok(());
                }
            }
            tokio::time::timeout_at(deadline, changed).await.map_err(|_| Stalled)?;
        }
    }

    /// Discards all buffered events. Readers continue with the event that is pushed next.
    pub(crate) fn discard_unread(&self) {
        let mut state = self.lock();
        state.first_index += u64::try_from(state.events.len()).unwrap_or(u64::MAX);
        state.buffered_bytes = 0;
        state.events.clear();
        let end = Cursor { index: state.first_index, bytes: state.written_bytes };
        state.readers.values_mut().for_each(|cursor| *cursor = end);
        drop(state);
        self.discarded.cancel();
    }

    /// Attaches a reader that starts after the first `token` tokens.
    pub(crate) fn attach(self: &Arc<Self>, token: u32) -> Result<Reader, NotBuffered> {
        let cursor = self.lock().cursor_after(token).ok_or(NotBuffered)?;
        Ok(self.reader(cursor))
    }

    /// Attaches a reader that starts with the first event, or returns `None` if that was dropped.
    pub(crate) fn attach_at_start(self: &Arc<Self>) -> Option<Reader> {
        let is_complete = self.lock().first_index == 0;
        is_complete.then(|| self.reader(Cursor::default()))
    }

    /// Waits until no reader is attached.
    pub(crate) async fn detached(&self) {
        self.wait_detached(Duration::ZERO).await;
    }

    /// Waits until the last reader has cancelled, or none was attached for [`GRACE_PERIOD`].
    pub(crate) async fn abandoned(&self) {
        self.wait_detached(GRACE_PERIOD).await;
    }

    /// Returns the size of the buffered events.
    pub(crate) fn buffered_bytes(&self) -> u64 {
        self.lock().buffered_bytes
    }

    async fn wait_detached(&self, grace: Duration) {
        loop {
            let mut changed = std::pin::pin!(self.readers_changed.notified());
            changed.as_mut().enable();
            let lost_at = {
                let state = self.lock();
                match (state.readers.is_empty(), state.lost_at) {
                    (false, _) => None,
                    (true, None) => return,
                    (true, Some(lost_at)) if lost_at.elapsed() >= grace => return,
                    (true, Some(lost_at)) => Some(lost_at),
                }
            };
            match lost_at {
                Some(lost_at) => {
                    let _ = tokio::time::timeout_at(lost_at + grace, changed).await;
                }
                None => changed.await,
            }
        }
    }

    fn reader(self: &Arc<Self>, cursor: Cursor) -> Reader {
        let mut state = self.lock();
        let id = state.next_reader;
        state.next_reader += 1;
        state.readers.insert(id, cursor);
        state.lost_at = None;
        drop(state);
        self.readers_changed.notify_waiters();
        Reader { answer: self.clone(), id }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn append(&mut self, kind: EventKind) {
        let bytes = event_size(&kind);
        self.written_bytes += bytes;
        self.buffered_bytes += bytes;
        self.ended = is_last(&kind);
        self.events.push_back(BufferedEvent { kind, bytes });
    }

    /// Returns the position of the slowest reader.
    fn slowest(&self) -> Cursor {
        self.readers.values().copied().min_by_key(|cursor| cursor.index).unwrap_or(self.last_cursor)
    }

    fn unread_bytes(&self) -> u64 {
        self.written_bytes - self.slowest().bytes
    }

    fn event_at(&self, index: u64) -> Option<&BufferedEvent> {
        self.events.get(usize::try_from(index - self.first_index).ok()?)
    }

    /// Returns the position after the first `token` tokens, if it is buffered and at the boundary
    /// of an event.
    fn cursor_after(&self, token: u32) -> Option<Cursor> {
        let mut cursor =
            Cursor { index: self.first_index, bytes: self.written_bytes - self.buffered_bytes };
        let mut end_token = None;
        for event in &self.events {
            match &event.kind {
                EventKind::Delta(delta) if delta.from_token == token => return Some(cursor),
                EventKind::Delta(delta) => end_token = Some(delta.from_token + delta.tokens),
                EventKind::End(_) | EventKind::Refusal(_) if end_token == Some(token) => {
                    return Some(cursor);
                }
                EventKind::End(_) | EventKind::Refusal(_) => return None,
                EventKind::Offer(_) | EventKind::Head(_) | EventKind::Part(_) => {}
            }
            cursor = Cursor { index: cursor.index + 1, bytes: cursor.bytes + event.bytes };
        }
        let is_complete = self.first_index == 0;
        (end_token == Some(token) || is_complete && end_token.is_none() && token == 0)
            .then_some(cursor)
    }

    /// Drops events that all readers have read; with `retains` only those beyond
    /// [`MAX_RETAINED_BYTES`].
    fn trim(&mut self, retains: bool) {
        let slowest = self.slowest();
        while self.first_index < slowest.index
            && (!retains || self.buffered_bytes > MAX_RETAINED_BYTES)
        {
            self.buffered_bytes -= self.events.pop_front().map_or(0, |event| event.bytes);
            self.first_index += 1;
        }
    }
}

impl Reader {
    /// Returns the next event, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<EventKind> {
        loop {
            let mut written = std::pin::pin!(self.answer.event_written.notified());
            written.as_mut().enable();
            if let Some(next) = self.try_next() {
                return next;
            }
            written.await;
        }
    }

    /// Waits until the events that this reader has not delivered are discarded.
    pub(crate) async fn discarded(&self) {
        self.answer.discarded.cancelled().await;
    }

    /// Returns the next event without waiting, or `None` if it is not written yet.
    fn try_next(&self) -> Option<Option<EventKind>> {
        let mut state = self.answer.lock();
        let cursor = *state.readers.get(&self.id)?;
        let Some(event) = state.event_at(cursor.index) else {
            return state.ended.then_some(None);
        };
        let kind = event.kind.clone();
        let next = Cursor { index: cursor.index + 1, bytes: cursor.bytes + event.bytes };
        state.readers.insert(self.id, next);
        state.trim(self.answer.retains);
        drop(state);
        self.answer.readers_changed.notify_waiters();
        Some(Some(kind))
    }

    /// Detaches the reader because the answer is no longer needed.
    pub(crate) fn cancel(self) {
        self.detach(None);
    }

    fn detach(&self, lost_at: Option<Instant>) {
        let mut state = self.answer.lock();
        if let Some(cursor) = state.readers.remove(&self.id) {
            state.last_cursor = cursor;
            state.lost_at = lost_at;
        }
        drop(state);
        self.answer.readers_changed.notify_waiters();
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.detach(Some(Instant::now()));
    }
}

/// Returns whether the event is the last one of an answer.
pub(crate) fn is_last(kind: &EventKind) -> bool {
    matches!(kind, EventKind::End(_) | EventKind::Refusal(_))
}

/// Returns the approximate size of an event with its frame.
fn event_size(kind: &EventKind) -> u64 {
    const FRAME_BYTES: usize = 32;
    let bytes = match kind {
        EventKind::Delta(delta) => delta.text.len(),
        EventKind::Part(part) => part.bytes.len(),
        EventKind::Head(head) => head.headers.iter().map(|h| h.name.len() + h.value.len()).sum(),
        EventKind::Offer(_) | EventKind::End(_) | EventKind::Refusal(_) => 0,
    };
    u64::try_from(bytes + FRAME_BYTES).unwrap_or(u64::MAX)
}
