//! The order in which waiting requests are served.

use compact_str::CompactString;
use std::collections::VecDeque;
use tokio::time::Instant;

/// What the queue needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct Item {
    /// The caller.
    pub(crate) caller: CompactString,
    /// The caller's weight.
    pub(crate) weight: u32,
    /// Whether it goes before ordinary ones.
    pub(crate) urgent: bool,
    /// Tokens that it costs, prompt and expected output together.
    pub(crate) tokens: u64,
    /// When its caller stops waiting.
    pub(crate) expires: Instant,
}

/// The waiting requests.
#[derive(Default)]
pub(crate) struct Queue {
    urgent: VecDeque<u64>,
    ordinary: VecDeque<u64>,
}

/// How many requests wait at one target at most.
const MAX_WAITING: usize = 1_024;

impl Queue {
    /// Adds a request, unless the queue is full.
    pub(crate) fn push(&mut self, id: u64, item: Item, _now: Instant) -> bool {
        if self.urgent.len() + self.ordinary.len() >= MAX_WAITING {
            return false;
        }
        if item.urgent {
            self.urgent.push_back(id)
        } else {
            self.ordinary.push_back(id)
        }
        true
    }

    /// Takes the request whose turn it is.
    pub(crate) fn pop(&mut self, _now: Instant) -> Option<u64> {
        self.urgent.pop_front().or_else(|| self.ordinary.pop_front())
    }

    /// Takes a request out that nobody waits for any more.
    pub(crate) fn remove(&mut self, id: u64) {
        self.urgent.retain(|other| *other != id);
        self.ordinary.retain(|other| *other != id);
    }
}
