//! The answer to one request, between the job that makes it and the entries that read it.
//!
//! A job writes events here and never waits for an entry's connection; each attempt reads at its
//! own pace. So a slow caller pauses its own stream alone, and an answer whose entry was lost can
//! be read on by another.

use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::EventKind;

/// Unread bytes after which the job waits; a second of the fastest stream is far below it.
const MAX_UNREAD_BYTES: u64 = 256 * 1024;

/// Read bytes of one answer that are kept for [`Answer::attach`]: the longest answer of a
/// 32,768-token context at 4 bytes a token fits eight times.
const MAX_KEPT_BYTES: u64 = 1024 * 1024;

/// How long a job waits for a reader that takes nothing, before its slot goes to others.
const MAX_STALL: Duration = Duration::from_secs(60);

/// How long an answer that lost its entry goes on, so that another entry can read on: a caller's
/// client reconnects within seconds.
pub(crate) const GRACE: Duration = Duration::from_secs(10);

/// The answer to one request.
pub(crate) struct Answer {
    /// The request's id.
    pub(crate) request: CompactString,
    /// The caller, the only one who may read it.
    pub(crate) caller: CompactString,
    /// Whether events stay after they were read.
    keeps: bool,
    state: Mutex<State>,
    /// An event was written.
    written: Notify,
    /// An event was read, or a reader came or went.
    read: Notify,
    /// Cancelled when what is unread was thrown away, because its readers took nothing.
    given_up: CancellationToken,
}

#[derive(Default)]
struct State {
    events: VecDeque<Kept>,
    /// Index of the first kept event.
    first: u64,
    /// Bytes of all events ever written.
    written: u64,
    /// Bytes of the kept events.
    kept: u64,
    readers: HashMap<u64, Cursor>,
    next_reader: u64,
    /// Where the slowest of the readers that are gone stood.
    left_at: Cursor,
    /// Since when nobody reads, unless a reader said that it wants no more.
    lost: Option<Instant>,
    ended: bool,
}

struct Kept {
    kind: EventKind,
    bytes: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    index: u64,
    bytes: u64,
}

/// Reads an answer; dropping it counts as a lost connection.
pub(crate) struct Reader {
    answer: Arc<Answer>,
    id: u64,
}

/// The reader took nothing for so long that the job must give up its slot.
#[derive(Debug)]
pub(crate) struct Stalled;

/// The answer can't be read on from the token asked for.
#[derive(Debug)]
pub(crate) struct Missing;

impl Answer {
    /// Makes an empty answer that `keeps` what was read, or not, and its first reader.
    pub(crate) fn new(request: &str, caller: &str, keeps: bool) -> (Arc<Self>, Reader) {
        let answer = Arc::new(Self {
            request: request.into(),
            caller: caller.into(),
            keeps,
            state: Mutex::default(),
            written: Notify::new(),
            read: Notify::new(),
            given_up: CancellationToken::new(),
        });
        let reader = answer.reader(Cursor::default());
        (answer, reader)
    }

    /// Appends an event; waits while the slowest reader has too much unread. The last event, an
    /// end or a refusal, never waits.
    pub(crate) async fn push(&self, kind: EventKind) -> Result<(), Stalled> {
        let until = Instant::now() + MAX_STALL;
        loop {
            let mut read = std::pin::pin!(self.read.notified());
            read.as_mut().enable();
            {
                let mut state = self.lock();
                if is_last(&kind) || state.unread() < MAX_UNREAD_BYTES {
                    state.append(kind);
                    drop(state);
                    self.written.notify_waiters();
                    return Ok(());
                }
            }
            tokio::time::timeout_at(until, read).await.map_err(|_| Stalled)?;
        }
    }

    /// Throws away what is unread; the readers' next event is the one that is pushed next.
    pub(crate) fn give_up(&self) {
        let mut state = self.lock();
        state.first += u64::try_from(state.events.len()).unwrap_or(u64::MAX);
        state.kept = 0;
        state.events.clear();
        let end = Cursor { index: state.first, bytes: state.written };
        state.readers.values_mut().for_each(|cursor| *cursor = end);
        drop(state);
        self.given_up.cancel();
    }

    /// A reader that goes on after the first `token` tokens.
    pub(crate) fn attach(self: &Arc<Self>, token: u32) -> Result<Reader, Missing> {
        let cursor = self.lock().find(token).ok_or(Missing)?;
        Ok(self.reader(cursor))
    }

    /// A reader that begins with the first event, if nothing is forgotten yet.
    pub(crate) fn attach_start(self: &Arc<Self>) -> Option<Reader> {
        let whole = self.lock().first == 0;
        whole.then(|| self.reader(Cursor::default()))
    }

    /// Waits until nobody reads, be it for a moment only.
    pub(crate) async fn unread(&self) {
        self.wait_unread(Duration::ZERO).await;
    }

    /// Waits until nobody wants the answer: its readers said so, or none came back in time.
    pub(crate) async fn abandoned(&self) {
        self.wait_unread(GRACE).await;
    }

    /// Bytes held in memory.
    pub(crate) fn bytes(&self) -> u64 {
        self.lock().kept
    }

    async fn wait_unread(&self, grace: Duration) {
        loop {
            let mut read = std::pin::pin!(self.read.notified());
            read.as_mut().enable();
            let lost = {
                let state = self.lock();
                match (state.readers.is_empty(), state.lost) {
                    (false, _) => None,
                    (true, None) => return,
                    (true, Some(lost)) if lost.elapsed() >= grace => return,
                    (true, Some(lost)) => Some(lost),
                }
            };
            match lost {
                Some(lost) => {
                    let _ = tokio::time::timeout_at(lost + grace, read).await;
                }
                None => read.await,
            }
        }
    }

    fn reader(self: &Arc<Self>, cursor: Cursor) -> Reader {
        let mut state = self.lock();
        let id = state.next_reader;
        state.next_reader += 1;
        state.readers.insert(id, cursor);
        state.lost = None;
        drop(state);
        self.read.notify_waiters();
        Reader { answer: self.clone(), id }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn append(&mut self, kind: EventKind) {
        let bytes = size_of_event(&kind);
        self.written += bytes;
        self.kept += bytes;
        self.ended = is_last(&kind);
        self.events.push_back(Kept { kind, bytes });
    }

    /// Where the slowest reader stands.
    fn slowest(&self) -> Cursor {
        self.readers.values().copied().min_by_key(|cursor| cursor.index).unwrap_or(self.left_at)
    }

    fn unread(&self) -> u64 {
        self.written - self.slowest().bytes
    }

    fn at(&self, index: u64) -> Option<&Kept> {
        self.events.get(usize::try_from(index - self.first).ok()?)
    }

    /// The place after the first `token` tokens, if it is kept and no piece of text spans it.
    fn find(&self, token: u32) -> Option<Cursor> {
        let mut cursor = Cursor { index: self.first, bytes: self.written - self.kept };
        let mut have = None;
        for kept in &self.events {
            match &kept.kind {
                EventKind::Delta(delta) if delta.from_token == token => return Some(cursor),
                EventKind::Delta(delta) => have = Some(delta.from_token + delta.tokens),
                EventKind::End(_) | EventKind::Refusal(_) if have == Some(token) => {
                    return Some(cursor);
                }
                EventKind::End(_) | EventKind::Refusal(_) => return None,
                EventKind::Offer(_) | EventKind::Head(_) | EventKind::Part(_) => {}
            }
            cursor = Cursor { index: cursor.index + 1, bytes: cursor.bytes + kept.bytes };
        }
        let complete = self.first == 0;
        (have == Some(token) || complete && have.is_none() && token == 0).then_some(cursor)
    }

    /// Forgets what no reader needs any more.
    fn trim(&mut self, keeps: bool) {
        let slowest = self.slowest();
        while self.first < slowest.index && (!keeps || self.kept > MAX_KEPT_BYTES) {
            self.kept -= self.events.pop_front().map_or(0, |kept| kept.bytes);
            self.first += 1;
        }
    }
}

impl Reader {
    /// The next event, or `None` after the last one.
    pub(crate) async fn next(&mut self) -> Option<EventKind> {
        loop {
            let mut written = std::pin::pin!(self.answer.written.notified());
            written.as_mut().enable();
            if let Some(next) = self.step() {
                return next;
            }
            written.await;
        }
    }

    /// Waits until what this reader holds or has not read is of no use any more.
    pub(crate) async fn given_up(&self) {
        self.answer.given_up.cancelled().await;
    }

    /// Reads without waiting: `None` if nothing is there yet.
    fn step(&self) -> Option<Option<EventKind>> {
        let mut state = self.answer.lock();
        let cursor = *state.readers.get(&self.id)?;
        let Some(kept) = state.at(cursor.index) else {
            return state.ended.then_some(None);
        };
        let kind = kept.kind.clone();
        let next = Cursor { index: cursor.index + 1, bytes: cursor.bytes + kept.bytes };
        state.readers.insert(self.id, next);
        state.trim(self.answer.keeps);
        drop(state);
        self.answer.read.notify_waiters();
        Some(Some(kind))
    }

    /// Ends the reading because the answer is not wanted any more.
    pub(crate) fn cancel(self) {
        self.leave(None);
    }

    fn leave(&self, lost: Option<Instant>) {
        let mut state = self.answer.lock();
        if let Some(cursor) = state.readers.remove(&self.id) {
            state.left_at = cursor;
            state.lost = lost;
        }
        drop(state);
        self.answer.read.notify_waiters();
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.leave(Some(Instant::now()));
    }
}

/// Whether nothing follows the event.
pub(crate) fn is_last(kind: &EventKind) -> bool {
    matches!(kind, EventKind::End(_) | EventKind::Refusal(_))
}

/// Bytes that an event takes, with a little for its frame.
fn size_of_event(kind: &EventKind) -> u64 {
    const FRAME_BYTES: usize = 32;
    let bytes = match kind {
        EventKind::Delta(delta) => delta.text.len(),
        EventKind::Part(part) => part.bytes.len(),
        EventKind::Head(head) => head.headers.iter().map(|h| h.name.len() + h.value.len()).sum(),
        EventKind::Offer(_) | EventKind::End(_) | EventKind::Refusal(_) => 0,
    };
    u64::try_from(bytes + FRAME_BYTES).unwrap_or(u64::MAX)
}
