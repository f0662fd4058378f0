//! The answers that entries can still attach to: those in progress and those recently finished.

use crate::answer::Answer;
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long a finished answer is retained. A caller that lost the connection to its entry
/// reconnects well before.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum bytes of finished answers and KV caches that are retained: an eighth of an agent's 256
/// MB.
const MAX_BYTES: u64 = 32 * 1024 * 1024;

/// Memory that a retained answer needs besides its text, which is most of it for short answers.
/// When it was not counted, 138,000 answers in 12 s took 276 MB, more than an agent may use in
/// total.
const ANSWER_BYTES: u64 = 2_000;

/// The answers of one agent, by request id.
#[derive(Default)]
pub(crate) struct Answers {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_request: HashMap<CompactString, StoredAnswer>,
    finished: VecDeque<Finished>,
    bytes: u64,
}

struct StoredAnswer {
    answer: Arc<Answer>,
    /// The job's id at the engine.
    job: CompactString,
    /// The job's KV cache, if it was exported from the engine.
    cache: Option<Bytes>,
}

struct Finished {
    at: Instant,
    answer: Arc<Answer>,
    bytes: u64,
}

impl Answers {
    /// Adds the answer of the engine's job `job`.
    pub(crate) fn insert(&self, answer: &Arc<Answer>, job: CompactString) {
        let stored = StoredAnswer { answer: answer.clone(), job, cache: None };
        self.lock().by_request.insert(answer.request.clone(), stored);
    }

    /// Retains a finished answer for [`RETENTION`], with the KV cache if it was exported.
    pub(crate) fn finish(&self, answer: &Arc<Answer>, cache: Option<Bytes>) {
        let cache_bytes = cache.as_ref().map_or(0, Bytes::len);
        let bytes =
            ANSWER_BYTES + answer.buffered_bytes() + u64::try_from(cache_bytes).unwrap_or(u64::MAX);
        let mut inner = self.lock();
        if let Some(stored) = inner.stored(answer) {
            stored.cache = cache;
        }
        inner.bytes += bytes;
        inner.finished.push_back(Finished { at: Instant::now(), answer: answer.clone(), bytes });
        inner.evict();
    }

    /// Returns the answer to `request`, if it exists and belongs to `caller`.
    pub(crate) fn find(&self, request: &str, caller: &str) -> Option<Arc<Answer>> {
        let inner = self.lock();
        let answer = &inner.by_request.get(request)?.answer;
        (answer.caller == caller).then(|| answer.clone())
    }

    /// Returns the id of the engine's job for `request`, and its KV cache if the agent has it.
    pub(crate) fn job(&self, request: &str) -> Option<(CompactString, Option<Bytes>)> {
        let inner = self.lock();
        let stored = inner.by_request.get(request)?;
        Some((stored.job.clone(), stored.cache.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn stored(&mut self, answer: &Arc<Answer>) -> Option<&mut StoredAnswer> {
        let stored = self.by_request.get_mut(&answer.request)?;
        Arc::ptr_eq(&stored.answer, answer).then_some(stored)
    }

    fn evict(&mut self) {
        let is_expired = |finished: &Finished| finished.at.elapsed() > RETENTION;
        while self.bytes > MAX_BYTES || self.finished.front().is_some_and(is_expired) {
            let Some(finished) = self.finished.pop_front() else { return };
            self.bytes -= finished.bytes;
            // A retry of the request may be running under the same id.
            if self.stored(&finished.answer).is_some() {
                self.by_request.remove(&finished.answer.request);
            }
        }
    }
}
