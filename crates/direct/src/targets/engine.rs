//! This process's view of one engine: its own prefill work and streams there, and what is probably
//! in the engine's prefix cache.

use crate::codec::{Part, PartId};
use crate::targets::workload::{PendingWork, Workload};
use policy::Hash;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The prefill work, streams and cached prompt parts of one engine.
#[derive(Debug, Default)]
pub struct Engine(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    key: Hash,
    state: Mutex<State>,
    /// Notified when the work changes, so that it is published to the other entries.
    workload: Arc<Workload>,
}

impl PendingWork for Inner {
    fn pending(&self) -> (u64, u32) {
        let state = self.lock();
        (state.prefill_tokens, state.streams)
    }
}

#[derive(Debug, Default)]
struct State {
    prefill_tokens: u64,
    prompts: PromptCounts,
    streams: u32,
    cached: HashMap<PartId, CachedPart>,
    /// Uses of parts, oldest first; a use that is not a part's last is skipped.
    uses: VecDeque<(PartId, u64)>,
    clock: u64,
    cached_tokens: u64,
}

/// Prompts of this process at one engine since it was first observed. Two readings give the number
/// of prompts that were in prefill at any time between them: those begun by the second one, less
/// those ended by the first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PromptCounts {
    /// Prompts whose prefill has begun.
    pub begun: u64,
    /// Prompts whose prefill has ended.
    pub ended: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    last_use: u64,
}

impl Engine {
    /// Creates the state of the engine with this key, without work. Changes are reported to
    /// `workload`.
    pub fn new(key: Hash, workload: Arc<Workload>) -> Self {
        Self(Arc::new(Inner { key, state: Mutex::default(), workload }))
    }

    /// Prompt tokens that this process has in prefill there now.
    pub fn prefill_tokens(&self) -> u64 {
        self.lock().prefill_tokens
    }

    /// Prompts of this process whose prefill there has begun and ended so far.
    pub fn prompt_counts(&self) -> PromptCounts {
        self.lock().prompts
    }

    /// Streams of this process that it decodes now.
    pub fn streams(&self) -> u32 {
        self.lock().streams
    }

    /// Counts a prompt with `tokens` to prefill until the guard is dropped.
    pub fn begin_prefill(&self, tokens: u64) -> PrefillGuard {
        self.0.update(|state| {
            state.prefill_tokens += tokens;
            state.prompts.begun += 1;
        });
        PrefillGuard { engine: self.0.clone(), tokens }
    }

    /// Counts a stream until the guard is dropped.
    pub fn begin_stream(&self) -> StreamGuard {
        self.0.update(|state| state.streams += 1);
        StreamGuard(self.0.clone())
    }

    /// How many tokens at the start of the prompt the engine probably has cached.
    pub fn cached_tokens(&self, parts: &[Part]) -> u64 {
        let state = self.lock();
        let cached = parts.iter().take_while(|part| state.cached.contains_key(&part.id));
        cached.map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that the engine has prefilled these parts. It caches `capacity` tokens at most and
    /// evicts the least recently used.
    pub fn record_cached(&self, parts: &[Part], capacity: u64) {
        let mut state = self.lock();
        for part in parts {
            state.touch(*part);
        }
        state.evict(capacity);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock()
    }
}

impl Inner {
    fn update(self: &Arc<Self>, change: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        let was_idle = state.prefill_tokens == 0 && state.streams == 0;
        change(&mut state);
        drop(state);
        if was_idle {
            self.workload.add(self.key, self.clone());
        }
        self.workload.notify_changed();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn touch(&mut self, part: Part) {
        self.clock += 1;
        let last_use = self.clock;
        if self.cached.insert(part.id, CachedPart { tokens: part.tokens, last_use }).is_none() {
            self.cached_tokens += u64::from(part.tokens);
        }
        self.uses.push_back((part.id, last_use));
    }

    fn evict(&mut self, capacity: u64) {
        // Uses that are no longer a part's last accumulate when few parts are used often.
        let stale = self.uses.len() > 4 * self.cached.len().max(64);
        while self.cached_tokens > capacity || (stale && self.uses.len() > self.cached.len()) {
            let Some((id, last_use)) = self.uses.pop_front() else { return };
            let Some(part) = self.cached.get(&id).copied() else { continue };
            if part.last_use != last_use {
                continue;
            }
            if self.cached_tokens <= capacity {
                // The oldest use is the last of its part, so no stale one precedes it.
                self.uses.push_front((id, last_use));
                return;
            }
            self.cached.remove(&id);
            self.cached_tokens = self.cached_tokens.saturating_sub(u64::from(part.tokens));
        }
    }
}

/// Counts a prompt's prefill tokens at an engine until it is dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    engine: Arc<Inner>,
    tokens: u64,
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.prefill_tokens = state.prefill_tokens.saturating_sub(self.tokens);
        state.prompts.ended += 1;
        drop(state);
        self.engine.workload.notify_changed();
    }
}

/// Counts a stream at an engine until it is dropped.
#[derive(Debug)]
pub struct StreamGuard(Arc<Inner>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.streams = state.streams.saturating_sub(1);
        drop(state);
        self.0.workload.notify_changed();
    }
}
