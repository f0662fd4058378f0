//! Updates that are still to be passed on.

use super::Update;
use crate::Hash;
use std::collections::{HashMap, VecDeque};

/// Updates in the order in which they are sent next, the newest first.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue {
    updates: HashMap<Hash, (Update, u32)>,
    order: VecDeque<Hash>,
}

impl UpdateQueue {
    /// Adds an update, which replaces an older one about the same entry.
    pub(super) fn push(&mut self, update: Update) {
        let key = update.node.key;
        if self.updates.insert(key, (update, 0)).is_none() {
            self.order.push_front(key);
        }
    }

    /// Takes up to `max` updates for a datagram that is sent `copies` times. Each is taken again
    /// until it was sent `limit` times.
    pub(super) fn take(&mut self, max: usize, copies: u32, limit: u32) -> Vec<Update> {
        let count = max.min(self.order.len());
        let mut taken = Vec::with_capacity(count);
        for key in self.order.drain(..count).collect::<Vec<_>>() {
            let Some((update, sent)) = self.updates.get_mut(&key) else { continue };
            taken.push(*update);
            *sent += copies;
            if *sent < limit {
                self.order.push_back(key);
            } else {
                self.updates.remove(&key);
            }
        }
        taken
    }
}
