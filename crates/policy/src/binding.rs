//! Late binding: decides at which of its candidate targets a request runs, and when that is
//! decided.
//!
//! **Load pattern.** Output lengths are unknown, so two queues that look alike may differ by
//! minutes. **Without this**, a request waits behind a long response in the queue it was sent to
//! while its other candidate is idle. **Approach.** After Sanders, "Asynchronous Scheduling of
//! Redundant Disk Arrays": a request is offered to two targets and bound only when one of them
//! could start it. The first such target claims it at the entry with one message, and the other
//! drops it. If a target with an offer fails, the other still has the offer. **Figures.**
//! `docs/DECISIONS.md` compares the policies on the same arrivals: [`LazyQueue`] has the shortest
//! tail where lengths differ as much as outputs do, [`LazySharing`] the shortest mean.

use crate::number::float;

/// State of a candidate's queue when a request arrives.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QueueState {
    /// Requests bound to this target, waiting or running.
    pub bound: usize,
    /// All requests waiting there, bound to it or only offered.
    pub offered: usize,
    /// Whether the target could start a request now.
    pub idle: bool,
}

/// A request in a target's queue when the target can start one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Whether the request is bound to this target.
    pub bound: bool,
    /// Queue length at its other candidate; 0 if it has none.
    pub other_queue: usize,
    /// Whether it is first in the queue of its other candidate.
    pub first_in_other_queue: bool,
}

/// Where a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// It is bound to the candidate with this index. With [`Stealing`], the other may still take
    /// it.
    Bound(usize),
    /// It waits in the queues of all candidates and is bound to none.
    Offered,
}

/// A binding policy.
pub trait Binding: Send + Sync {
    /// Returns the name of the policy in settings and tables.
    fn name(&self) -> &'static str;

    /// Decides where a new request waits if none of its candidates could start it at once.
    fn place(&self, candidates: &[QueueState]) -> Placement;

    /// Returns the index of the request that a target with a free slot starts; `queue` is ordered
    /// by age, oldest first.
    fn next(&self, queue: &[Offer]) -> Option<usize>;

    /// Returns whether a request is announced to all its candidates, also if it is bound to one of
    /// them. Each announcement costs a message.
    fn notifies_all(&self) -> bool;
}

/// Binds at once to the candidate with the fewest requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortestQueue;

/// Binds like [`ShortestQueue`], but a target without requests of its own takes the oldest request
/// that is bound to another.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stealing;

/// Binds when a target starts the request; each target starts its oldest offer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LazyQueue;

/// Like [`LazyQueue`], but leaves a request to its other candidate if that has a shorter queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct LazySharing;

fn shortest(candidates: &[QueueState]) -> Placement {
    let indexed = candidates.iter().enumerate();
    let least = indexed.min_by_key(|(_, queue)| queue.bound).map(|(index, _)| index);
    Placement::Bound(least.unwrap_or(0))
}

impl Binding for ShortestQueue {
    fn name(&self) -> &'static str {
        "shortest queue"
    }

    fn place(&self, candidates: &[QueueState]) -> Placement {
        shortest(candidates)
    }

    fn next(&self, queue: &[Offer]) -> Option<usize> {
        queue.iter().position(|offer| offer.bound)
    }

    fn notifies_all(&self) -> bool {
        false
    }
}

impl Binding for Stealing {
    fn name(&self) -> &'static str {
        "stealing"
    }

    fn place(&self, candidates: &[QueueState]) -> Placement {
        shortest(candidates)
    }

    fn next(&self, queue: &[Offer]) -> Option<usize> {
        let own = queue.iter().position(|offer| offer.bound);
        own.or(if queue.is_empty() { None } else { Some(0) })
    }

    fn notifies_all(&self) -> bool {
        true
    }
}

impl Binding for LazyQueue {
    fn name(&self) -> &'static str {
        "lazy queue"
    }

    fn place(&self, _: &[QueueState]) -> Placement {
        Placement::Offered
    }

    fn next(&self, queue: &[Offer]) -> Option<usize> {
        if queue.is_empty() { None } else { Some(0) }
    }

    fn notifies_all(&self) -> bool {
        true
    }
}

impl Binding for LazySharing {
    fn name(&self) -> &'static str {
        "lazy sharing"
    }

    fn place(&self, _: &[QueueState]) -> Placement {
        Placement::Offered
    }

    /// Returns the first request that has fewer requests behind it here than wait at its other
    /// candidate. The search stops early at a request that is not first in its other queue, so that
    /// none is passed over for long.
    fn next(&self, queue: &[Offer]) -> Option<usize> {
        let waiting = queue.len();
        let share = |(index, offer): (usize, &Offer)| {
            waiting - (index + 1) < offer.other_queue || !offer.first_in_other_queue
        };
        let found = queue.iter().enumerate().position(share);
        found.or(if queue.is_empty() { None } else { Some(0) })
    }

    fn notifies_all(&self) -> bool {
        true
    }
}

/// Returns the policy in use: it has the shortest tail and needs no knowledge of other queues.
pub fn default_binding() -> Box<dyn Binding> {
    Box::new(LazyQueue)
}

/// Returns all policies, for comparison.
pub fn all() -> Vec<Box<dyn Binding>> {
    vec![Box::new(ShortestQueue), Box::new(Stealing), Box::new(LazyQueue), Box::new(LazySharing)]
}

/// Number of targets a request is offered to. The second brings almost all of the benefit.
pub const CANDIDATES: usize = 2;

/// Returns the number of messages per request, besides its response. With late binding these are an
/// offer to each candidate, one claim and its grant, and a withdrawal at each other candidate.
pub fn messages(late: bool, candidates: usize) -> f64 {
    let candidates = float(u64::try_from(candidates).unwrap_or(u64::MAX));
    if late && candidates > 1.0 { candidates + 2.0 + (candidates - 1.0) } else { 1.0 }
}
