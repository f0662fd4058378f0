//! What this process knows of one engine's prompts: tokens to be read there, streams, kept parts.

use crate::codec::{Part, PartId};
use crate::targets::workload::{Booked, Workload};
use policy::Hash;
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The prompts, streams and kept parts of one engine.
#[derive(Debug, Default)]
pub struct Engine(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    key: Hash,
    state: Mutex<State>,
    /// Told when bookings change, so that the other entries hear of it.
    workload: Arc<Workload>,
}

impl Booked for Inner {
    fn booked(&self) -> (u64, u32) {
        let state = self.lock();
        (state.reading, state.streams)
    }
}

#[derive(Debug, Default)]
struct State {
    reading: u64,
    streams: u32,
    kept: HashMap<PartId, Kept>,
    /// The order of uses, oldest first; a use that is no part's last is skipped.
    uses: VecDeque<(PartId, u64)>,
    clock: u64,
    tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: u64,
}

impl Engine {
    /// The engine with this key, without work; its bookings are told to `workload`.
    pub fn new(key: Hash, workload: Arc<Workload>) -> Self {
        Self(Arc::new(Inner { key, state: Mutex::default(), workload }))
    }

    /// Tokens that this process has it read now.
    pub fn prefill_tokens(&self) -> u64 {
        self.lock().reading
    }

    /// Streams of this process that it writes now.
    pub fn streams(&self) -> u32 {
        self.lock().streams
    }

    /// Books a prompt of which `tokens` are to be read; the booking ends with the guard.
    pub fn begin_prefill(&self, tokens: u64) -> PrefillGuard {
        self.0.book(|state| state.reading += tokens);
        PrefillGuard { engine: self.0.clone(), tokens }
    }

    /// Books a stream; the booking ends with the guard.
    pub fn begin_stream(&self) -> StreamGuard {
        self.0.book(|state| state.streams += 1);
        StreamGuard(self.0.clone())
    }

    /// How many tokens at the prompt's start the engine probably keeps.
    pub fn cached_tokens(&self, parts: &[Part]) -> u64 {
        let state = self.lock();
        let kept = parts.iter().take_while(|part| state.kept.contains_key(&part.id));
        kept.map(|part| u64::from(part.tokens)).sum()
    }

    /// Remembers that the engine has read these parts; it keeps `room` tokens at most and forgets
    /// what was used longest ago.
    pub fn record_cached(&self, parts: &[Part], room: u64) {
        let mut state = self.lock();
        for part in parts {
            state.keep(*part);
        }
        state.shrink(room);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock()
    }
}

impl Inner {
    fn book(self: &Arc<Self>, book: impl FnOnce(&mut State)) {
        let mut state = self.lock();
        let idle = state.reading == 0 && state.streams == 0;
        book(&mut state);
        drop(state);
        if idle {
            self.workload.begin(self.key, self.clone());
        }
        self.workload.change();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn keep(&mut self, part: Part) {
        self.clock += 1;
        let used = self.clock;
        if self.kept.insert(part.id, Kept { tokens: part.tokens, used }).is_none() {
            self.tokens += u64::from(part.tokens);
        }
        self.uses.push_back((part.id, used));
    }

    fn shrink(&mut self, room: u64) {
        // Uses that are no longer a part's last pile up when few parts are used often.
        let stale = self.uses.len() > 4 * self.kept.len().max(64);
        while self.tokens > room || (stale && self.uses.len() > self.kept.len()) {
            let Some((id, used)) = self.uses.pop_front() else { return };
            let Some(kept) = self.kept.get(&id).copied() else { continue };
            if kept.used != used {
                continue;
            }
            if self.tokens <= room {
                // Still in use and first in line: nothing before it is stale.
                self.uses.push_front((id, used));
                return;
            }
            self.kept.remove(&id);
            self.tokens = self.tokens.saturating_sub(u64::from(kept.tokens));
        }
    }
}

/// A prompt that is booked at an engine.
#[derive(Debug)]
pub struct PrefillGuard {
    engine: Arc<Inner>,
    tokens: u64,
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.reading = state.reading.saturating_sub(self.tokens);
        drop(state);
        self.engine.workload.change();
    }
}

/// A stream that is booked at an engine.
#[derive(Debug)]
pub struct StreamGuard(Arc<Inner>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.streams = state.streams.saturating_sub(1);
        drop(state);
        self.0.workload.change();
    }
}
