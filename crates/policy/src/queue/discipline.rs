//! The interface of queues in the simulation, and a FIFO queue for comparison.

use super::{Item, ItemId, Pushed, Queue};
use crate::Time;
use crate::estimate::Cost;
use std::collections::VecDeque;

/// A queueing discipline.
pub trait Discipline<T>: Send {
    /// Returns the name of the discipline in tables.
    fn name(&self) -> &'static str;

    /// Adds an item.
    fn push(&mut self, item: Item<T>, now: Time) -> Pushed<T>;

    /// Returns the item that starts now, if a slot is free.
    fn pop(&mut self, now: Time) -> Option<Item<T>>;

    /// Sets how many requests may run concurrently.
    fn set_slots(&mut self, slots: u32);

    /// Frees the slot of an item that was started.
    fn done(&mut self, id: ItemId);

    /// Removes a waiting item.
    fn remove(&mut self, id: ItemId) -> Option<Item<T>>;

    /// Removes and returns all items whose deadline has passed.
    fn expire(&mut self, now: Time) -> Vec<Item<T>>;

    /// Returns the waiting work that would start before a new item of this caller and urgency.
    fn ahead(&self, caller: &str, urgent: bool) -> Cost;

    /// Returns the waiting work.
    fn backlog(&self) -> super::Backlog;

    /// Returns how many items were started and are not done.
    fn running(&self) -> usize;
}

impl<T: Send> Discipline<T> for Queue<T> {
    fn name(&self) -> &'static str {
        "fair queue"
    }

    fn push(&mut self, item: Item<T>, now: Time) -> Pushed<T> {
        Queue::push(self, item, now)
    }

    fn pop(&mut self, now: Time) -> Option<Item<T>> {
        Queue::pop(self, now)
    }

    fn set_slots(&mut self, slots: u32) {
        Queue::set_slots(self, slots);
    }

    fn done(&mut self, id: ItemId) {
        Queue::done(self, id);
    }

    fn remove(&mut self, id: ItemId) -> Option<Item<T>> {
        Queue::remove(self, id)
    }

    fn expire(&mut self, now: Time) -> Vec<Item<T>> {
        Queue::expire(self, now)
    }

    fn ahead(&self, caller: &str, urgent: bool) -> Cost {
        Queue::ahead(self, caller, urgent)
    }

    fn backlog(&self) -> super::Backlog {
        Queue::backlog(self)
    }

    fn running(&self) -> usize {
        Queue::running(self)
    }
}

/// First come, first served, without a bound and without deadlines.
#[derive(Debug)]
pub struct Fifo<T> {
    slots: usize,
    waiting: VecDeque<Item<T>>,
    running: Vec<ItemId>,
}

impl<T> Fifo<T> {
    /// Creates an empty queue in front of `slots` slots.
    pub fn new(slots: u32) -> Self {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX);
        Self { slots, waiting: VecDeque::new(), running: Vec::new() }
    }
}

impl<T: Send> Discipline<T> for Fifo<T> {
    fn name(&self) -> &'static str {
        "first come, first served"
    }

    fn push(&mut self, item: Item<T>, _: Time) -> Pushed<T> {
        self.waiting.push_back(item);
        Pushed::Queued
    }

    fn pop(&mut self, _: Time) -> Option<Item<T>> {
        if self.running.len() >= self.slots {
            return None;
        }
        let item = self.waiting.pop_front()?;
        self.running.push(item.id);
        Some(item)
    }

    fn set_slots(&mut self, slots: u32) {
        self.slots = usize::try_from(slots).unwrap_or(usize::MAX);
    }

    fn done(&mut self, id: ItemId) {
        self.running.retain(|running| *running != id);
    }

    fn remove(&mut self, id: ItemId) -> Option<Item<T>> {
        let index = self.waiting.iter().position(|item| item.id == id)?;
        self.waiting.remove(index)
    }

    fn expire(&mut self, _: Time) -> Vec<Item<T>> {
        Vec::new()
    }

    fn ahead(&self, _: &str, _: bool) -> Cost {
        self.backlog().cost
    }

    fn backlog(&self) -> super::Backlog {
        let sum = |items: &mut dyn Iterator<Item = &Item<T>>| {
            items.fold(Cost::default(), |sum, item| sum + item.cost)
        };
        super::Backlog {
            requests: self.waiting.len(),
            cost: sum(&mut self.waiting.iter()),
            begun: sum(&mut self.waiting.iter().filter(|item| item.begun)),
            urgent: self.waiting.iter().filter(|item| item.urgent).count(),
        }
    }

    fn running(&self) -> usize {
        self.running.len()
    }
}
