//! The answers that entries can still read on: those in progress and those just finished.

use crate::answer::Answer;
use bytes::Bytes;
use compact_str::CompactString;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// How long a finished answer is kept: a client that lost its entry reconnects well before.
const KEEP: Duration = Duration::from_secs(60);

/// Bytes of finished answers and KV caches that are kept; an eighth of an agent's 256 MB.
const MAX_BYTES: u64 = 32 * 1024 * 1024;

/// What a kept answer takes beside its text: with short answers most of it. Uncounted, 138,000 of
/// them in 12 s took 276 MB, above all that an agent may use.
const ANSWER_BYTES: u64 = 2_000;

/// The answers of one agent, by request id.
#[derive(Default)]
pub(crate) struct Answers {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    by_request: HashMap<CompactString, Known>,
    finished: VecDeque<Finished>,
    bytes: u64,
}

struct Known {
    answer: Arc<Answer>,
    /// The job's id at the engine.
    job: CompactString,
    /// The job's KV cache, if the agent had to take it from the engine.
    cache: Option<Bytes>,
}

struct Finished {
    at: Instant,
    answer: Arc<Answer>,
    bytes: u64,
}

impl Answers {
    /// Makes an answer known that the engine's job `job` produces.
    pub(crate) fn insert(&self, answer: &Arc<Answer>, job: CompactString) {
        let known = Known { answer: answer.clone(), job, cache: None };
        self.lock().by_request.insert(answer.request.clone(), known);
    }

    /// Keeps a finished answer for a while, with the KV cache that was taken from the engine.
    pub(crate) fn finish(&self, answer: &Arc<Answer>, cache: Option<Bytes>) {
        let cache_bytes = cache.as_ref().map_or(0, Bytes::len);
        let bytes = ANSWER_BYTES + answer.bytes() + u64::try_from(cache_bytes).unwrap_or(u64::MAX);
        let mut inner = self.lock();
        if let Some(known) = inner.known(answer) {
            known.cache = cache;
        }
        inner.bytes += bytes;
        inner.finished.push_back(Finished { at: Instant::now(), answer: answer.clone(), bytes });
        inner.trim();
    }

    /// The answer to `request`, if it is kept and is `caller`'s.
    pub(crate) fn find(&self, request: &str, caller: &str) -> Option<Arc<Answer>> {
        let inner = self.lock();
        let answer = &inner.by_request.get(request)?.answer;
        (answer.caller == caller).then(|| answer.clone())
    }

    /// The engine's job for `request`, and its KV cache if the agent holds it.
    pub(crate) fn job(&self, request: &str) -> Option<(CompactString, Option<Bytes>)> {
        let inner = self.lock();
        let known = inner.by_request.get(request)?;
        Some((known.job.clone(), known.cache.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn known(&mut self, answer: &Arc<Answer>) -> Option<&mut Known> {
        let known = self.by_request.get_mut(&answer.request)?;
        Arc::ptr_eq(&known.answer, answer).then_some(known)
    }

    fn trim(&mut self) {
        let old = |finished: &Finished| finished.at.elapsed() > KEEP;
        while self.bytes > MAX_BYTES || self.finished.front().is_some_and(old) {
            let Some(finished) = self.finished.pop_front() else { return };
            self.bytes -= finished.bytes;
            // The request may have come back and be running again under the same id.
            if self.known(&finished.answer).is_some() {
                self.by_request.remove(&finished.answer.request);
            }
        }
    }
}
