//! The fold of one target's `calls` stream: its claim, and the calls that may not be repeated.
//!
//! An intent counts only if it is the first for its key in log order and its author held the
//! claim there. Whoever dispatches a call first reads its own intent back and finds it counted;
//! so no key runs twice, however many agents, entries and replies are about.

use crate::authority::Authority;
use crate::record::{Answer, Body, Intent};
use crate::scopes::{Holder, Scopes};
use crate::{Fold, Record, shape};
use bytes::Bytes;
use compact_str::CompactString;
use imbl::{OrdMap, OrdSet};
use plat::Offset;
use std::sync::Arc;

/// Hash of service, caller and idempotency key.
pub type CallKey = Bytes;

/// What is known of one key.
#[derive(Debug, Clone, PartialEq)]
pub struct CallEntry {
    /// Offset of the intent that counts.
    pub intent: Offset,
    /// Hash of the call itself, to refuse the key's reuse for another call.
    pub digest: Bytes,
    /// Offset of the claim under which the intent was written.
    pub claim: Offset,
    /// Who wrote the intent.
    pub author: CompactString,
    /// What became of the call.
    pub status: CallStatus,
}

/// What became of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStatus {
    /// The holder may be running it.
    Pending,
    /// It ran, and this is the answer.
    Answered(Answer),
    /// It never reached the target and this attempt never will: the key is free again.
    NotRun,
    /// Its holder lost the claim before it said what became of it: it may have run.
    Unknown,
}

/// Keys that a target remembers; beyond it the oldest that is not pending is forgotten, and a
/// retry with it would run anew. At one call a second these are 14 hours. More would make the
/// checkpoints of a busy target cost its node more than control may.
pub const KEYS_KEPT: usize = 50_000;

/// Bytes of answers' bodies that a target remembers; beyond it the oldest bodies are left out,
/// and a retry learns status and headers only. Bounded for the checkpoints, as the keys are.
pub const ANSWER_BYTES_KEPT: usize = 8 * 1024 * 1024;

/// The folded `calls` stream of one target.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Calls {
    pub(crate) scopes: Scopes,
    pub(crate) calls: OrdMap<CallKey, Arc<CallEntry>>,
    by_intent: OrdMap<Offset, CallKey>,
    pending: OrdSet<Offset>,
    bodies: OrdSet<Offset>,
    body_bytes: usize,
    pub(crate) end: Offset,
}

/// The one scope of the stream: whatever name a record gives it, it is the claim on the target.
pub(crate) const SCOPE: &str = "";

impl Fold for Calls {
    const STATE_VERSION: u32 = 1;

    fn apply(&mut self, offset: Offset, record: &Record) {
        self.end = offset + 1;
        match &record.body {
            Some(Body::Claim(claim)) => {
                if self.scopes.claim(SCOPE, offset, &record.author, claim) {
                    self.close_pending();
                }
            }
            Some(Body::Renewal(renewal)) => {
                self.scopes.renew(SCOPE, offset, &record.author, renewal);
            }
            Some(Body::Intent(intent)) => self.intend(offset, record, intent),
            Some(Body::Answer(answer)) => self.answer(record, answer),
            Some(
                Body::Change(_)
                | Body::Order(_)
                | Body::OrderOutcome(_)
                | Body::Suspicion(_)
                | Body::Checkpoint(_),
            )
            | None => {}
        }
    }

    fn end(&self) -> Offset {
        self.end
    }

    fn encode(&self) -> Bytes {
        shape::calls::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self, CompactString> {
        shape::calls::decode(bytes)
    }
}

impl Authority for Calls {
    fn holder(&self, _scope: &str) -> Option<&Holder> {
        self.scopes.get(SCOPE)
    }
}

impl Calls {
    /// The holder of the claim on the target.
    pub fn holder(&self) -> Option<&Holder> {
        self.scopes.get(SCOPE)
    }

    /// What is known of a key; none if it was never used.
    pub fn call(&self, key: &[u8]) -> Option<&CallEntry> {
        self.calls.get(key).map(|call| &**call)
    }

    /// Whether the intent at `offset` is the one that counts for `key` and may be dispatched by
    /// its author: it is first, was written under a valid claim, and nothing is known of it yet.
    pub fn may_dispatch(&self, key: &[u8], offset: Offset) -> bool {
        let call = self.call(key);
        call.is_some_and(|call| call.intent == offset && call.status == CallStatus::Pending)
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// All keys that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = (&CallKey, &CallEntry)> {
        self.calls.iter().map(|(key, call)| (key, &**call))
    }

    fn intend(&mut self, offset: Offset, record: &Record, intent: &Intent) {
        if !self.scopes.act(SCOPE, offset, &record.author, intent.claim) {
            return;
        }
        if self.call(&intent.key).is_some_and(|call| call.status != CallStatus::NotRun) {
            return;
        }
        let call = CallEntry {
            intent: offset,
            digest: intent.digest.clone(),
            claim: intent.claim,
            author: record.author.as_str().into(),
            status: CallStatus::Pending,
        };
        self.put(intent.key.clone(), call);
        self.bound_keys();
    }

    /// Applies an answer: only the intent's own author knows that it ran or never will.
    fn answer(&mut self, record: &Record, answer: &Answer) {
        let Some(key) = self.by_intent.get(&answer.intent).cloned() else { return };
        let Some(call) = self.calls.get(&key) else { return };
        let own = answer.claim == call.claim && record.author == call.author.as_str();
        let status = match call.status {
            CallStatus::Answered(_) | CallStatus::NotRun => return,
            CallStatus::Pending | CallStatus::Unknown if answer.status == 0 && !answer.not_run => {
                CallStatus::Unknown
            }
            CallStatus::Pending | CallStatus::Unknown if !own => return,
            // Once its author said that nobody knows, a retry's word that it was not run, which
            // was on its way beside that, must not free the key.
            CallStatus::Unknown if answer.not_run => return,
            CallStatus::Pending if answer.not_run => CallStatus::NotRun,
            CallStatus::Pending | CallStatus::Unknown => CallStatus::Answered(answer.clone()),
        };
        let call = CallEntry { status, ..CallEntry::clone(call) };
        self.put(key, call);
        self.bound_bodies();
    }

    /// A new holder cannot know what the old one dispatched, so it is said of none.
    fn close_pending(&mut self) {
        for offset in std::mem::take(&mut self.pending) {
            let Some(key) = self.by_intent.get(&offset) else { continue };
            if let Some(call) = self.calls.get_mut(key) {
                Arc::make_mut(call).status = CallStatus::Unknown;
            }
        }
    }

    /// A state without calls, which a snapshot's decoder puts in.
    pub(crate) fn at(scopes: Scopes, end: Offset) -> Self {
        Self { scopes, end, ..Self::default() }
    }

    pub(crate) fn put(&mut self, key: CallKey, call: CallEntry) {
        if let Some(old) = self.calls.get(&key).cloned() {
            self.unlink(&old);
        }
        self.by_intent.insert(call.intent, key.clone());
        match &call.status {
            CallStatus::Pending => {
                self.pending.insert(call.intent);
            }
            CallStatus::Answered(answer) if !answer.body.is_empty() => {
                self.bodies.insert(call.intent);
                self.body_bytes += answer.body.len();
            }
            CallStatus::Answered(_) | CallStatus::NotRun | CallStatus::Unknown => {}
        }
        self.calls.insert(key, Arc::new(call));
    }

    fn unlink(&mut self, call: &CallEntry) {
        self.by_intent.remove(&call.intent);
        self.pending.remove(&call.intent);
        if self.bodies.remove(&call.intent).is_some()
            && let CallStatus::Answered(answer) = &call.status
        {
            self.body_bytes -= answer.body.len();
        }
    }

    fn bound_keys(&mut self) {
        if self.calls.len() <= KEYS_KEPT {
            return;
        }
        let settled = |offset: &&Offset| !self.pending.contains(*offset);
        let Some(oldest) = self.by_intent.keys().find(settled).copied() else { return };
        let Some(key) = self.by_intent.get(&oldest).cloned() else { return };
        if let Some(call) = self.calls.remove(&key) {
            self.unlink(&call);
        }
    }

    fn bound_bodies(&mut self) {
        while self.body_bytes > ANSWER_BYTES_KEPT {
            let Some(oldest) = self.bodies.get_min().copied() else { return };
            let Some(key) = self.by_intent.get(&oldest).cloned() else { return };
            let Some(call) = self.calls.get(&key) else { return };
            let mut call = CallEntry::clone(call);
            if let CallStatus::Answered(answer) = &mut call.status {
                answer.body = Bytes::new();
                answer.body_left_out = true;
            }
            self.put(key, call);
        }
    }
}
