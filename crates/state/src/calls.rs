//! The fold of one target's `calls` stream: its claim, and the calls that may not be repeated.
//!
//! An intent is valid only if it is the first for its key in log order and its author held the
//! claim at that offset. An agent reads its own intent back and dispatches the call only if it is
//! valid. So no key runs twice, however many agents, entries and delayed replies there are.

use crate::authority::Authority;
use crate::record::{Answer, Body, Intent};
use crate::scopes::{Holder, Scopes};
use crate::{Fold, Record, encoding};
use bytes::Bytes;
use compact_str::CompactString;
use imbl::{OrdMap, OrdSet};
use plat::Offset;
use std::sync::Arc;

/// Hash of service, caller and idempotency key.
pub type CallKey = Bytes;

/// The state of one idempotency key.
#[derive(Debug, Clone, PartialEq)]
pub struct CallEntry {
    /// Offset of the valid intent.
    pub intent: Offset,
    /// Hash of the call itself, to refuse the key's reuse for another call.
    pub digest: Bytes,
    /// Offset of the claim under which the intent was written.
    pub claim: Offset,
    /// The process that wrote the intent.
    pub author: CompactString,
    /// The outcome of the call, if it is known.
    pub status: CallStatus,
}

/// The outcome of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq)]
pub enum CallStatus {
    /// The holder of the claim may be running it.
    Pending,
    /// It ran and was answered.
    Answered(Answer),
    /// It has not reached the target, and this attempt never will: the key may be used again.
    NotRun,
    /// Its author lost the claim before it recorded an outcome: it may have run.
    Unknown,
}

/// The most keys kept for one target; beyond it the oldest that is not pending is removed, and a
/// retry with that key would run again. At one call per second they cover 14 hours. With more,
/// the checkpoints of a busy target would exceed the control traffic allowed for its node.
pub const KEYS_KEPT: usize = 50_000;

/// The most bytes of recorded response bodies kept for one target; beyond it the oldest bodies
/// are removed, and a retry gets only status and headers. Limits the size of checkpoints, as
/// [`KEYS_KEPT`] does.
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

/// The only scope of the stream: the claim on the target, whatever scope its records name.
pub(crate) const SCOPE: &str = "";

impl Fold for Calls {
    const STATE_VERSION: u32 = 1;

    fn apply(&mut self, offset: Offset, record: &Record) {
        self.end = offset + 1;
        match &record.body {
            Some(Body::Claim(claim)) => {
                if self.scopes.apply_claim(SCOPE, offset, &record.author, claim) {
                    self.mark_pending_unknown();
                }
            }
            Some(Body::Renewal(renewal)) => {
                self.scopes.apply_renewal(SCOPE, offset, &record.author, renewal);
            }
            Some(Body::Intent(intent)) => self.apply_intent(offset, record, intent),
            Some(Body::Answer(answer)) => self.apply_answer(record, answer),
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
        encoding::calls::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Self, CompactString> {
        encoding::calls::decode(bytes)
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

    /// The state of a key; `None` if the key is unknown.
    pub fn call(&self, key: &[u8]) -> Option<&CallEntry> {
        self.calls.get(key).map(|call| &**call)
    }

    /// Whether the author of the intent at `offset` may dispatch the call with `key`: the intent is
    /// the first for the key, was written under a valid claim, and has no outcome yet.
    pub fn may_dispatch(&self, key: &[u8], offset: Offset) -> bool {
        let call = self.call(key);
        call.is_some_and(|call| call.intent == offset && call.status == CallStatus::Pending)
    }

    /// The number of keys kept.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// All keys that are kept, with their states.
    pub fn iter(&self) -> impl Iterator<Item = (&CallKey, &CallEntry)> {
        self.calls.iter().map(|(key, call)| (key, &**call))
    }

    fn apply_intent(&mut self, offset: Offset, record: &Record, intent: &Intent) {
        if !self.scopes.accept(SCOPE, offset, &record.author, intent.claim) {
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
        self.limit_keys();
    }

    /// Applies an answer; only the intent's author can record that the call ran or never will.
    fn apply_answer(&mut self, record: &Record, answer: &Answer) {
        let Some(key) = self.by_intent.get(&answer.intent).cloned() else { return };
        let Some(call) = self.calls.get(&key) else { return };
        let is_author = answer.claim == call.claim && record.author == call.author.as_str();
        let status = match call.status {
            CallStatus::Answered(_) | CallStatus::NotRun => return,
            CallStatus::Pending | CallStatus::Unknown if answer.status == 0 && !answer.not_run => {
                CallStatus::Unknown
            }
            CallStatus::Pending | CallStatus::Unknown if !is_author => return,
            // Once the outcome is recorded as unknown, a concurrent record of a retry that the call
            // was not run must not release the key.
            CallStatus::Unknown if answer.not_run => return,
            CallStatus::Pending if answer.not_run => CallStatus::NotRun,
            CallStatus::Pending | CallStatus::Unknown => CallStatus::Answered(answer.clone()),
        };
        let call = CallEntry { status, ..CallEntry::clone(call) };
        self.put(key, call);
        self.limit_bodies();
    }

    /// Marks pending calls as unknown: a new holder cannot know which of them the old one
    /// dispatched.
    fn mark_pending_unknown(&mut self) {
        for offset in std::mem::take(&mut self.pending) {
            let Some(key) = self.by_intent.get(&offset) else { continue };
            if let Some(call) = self.calls.get_mut(key) {
                Arc::make_mut(call).status = CallStatus::Unknown;
            }
        }
    }

    /// A state without calls, to which the decoder of snapshots adds them.
    pub(crate) fn without_calls(scopes: Scopes, end: Offset) -> Self {
        Self { scopes, end, ..Self::default() }
    }

    pub(crate) fn put(&mut self, key: CallKey, call: CallEntry) {
        if let Some(old) = self.calls.get(&key).cloned() {
            self.remove_from_indices(&old);
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

    fn remove_from_indices(&mut self, call: &CallEntry) {
        self.by_intent.remove(&call.intent);
        self.pending.remove(&call.intent);
        if self.bodies.remove(&call.intent).is_some()
            && let CallStatus::Answered(answer) = &call.status
        {
            self.body_bytes -= answer.body.len();
        }
    }

    fn limit_keys(&mut self) {
        if self.calls.len() <= KEYS_KEPT {
            return;
        }
        let settled = |offset: &&Offset| !self.pending.contains(*offset);
        let Some(oldest) = self.by_intent.keys().find(settled).copied() else { return };
        let Some(key) = self.by_intent.get(&oldest).cloned() else { return };
        if let Some(call) = self.calls.remove(&key) {
            self.remove_from_indices(&call);
        }
    }

    fn limit_bodies(&mut self) {
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
