//! Where a request is bound to one of its candidate targets, and when.
//!
//! **Load pattern.** Output lengths are unknown, so two queues that look alike may differ by
//! minutes. **Without it** a request waits behind a long answer at the queue it was sent to, while
//! its other candidate stands idle. **How.** After Sanders, "Asynchronous Scheduling of Redundant
//! Disk Arrays": a request is offered to two targets, and the decision is put off until one of
//! them would start it. The first that would start it claims it at the entry with one message; the
//! other drops it. If a target dies that holds an offer, the other still has it. **Figures.**
//! `docs/DECISIONS.md` compares the ways on the same arrivals: [`LazyQueue`] has the shortest tail
//! where lengths differ as much as outputs do, [`LazySharing`] the shortest mean.

use crate::number::float;

/// What a candidate's queue looks like when a request comes.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct QueueState {
    /// Requests that wait or run there and are bound to it.
    pub bound: usize,
    /// All requests that wait there, bound to it or only offered.
    pub offered: usize,
    /// Whether it could start a request now.
    pub idle: bool,
}

/// A request in a queue, as the policy sees it when the target can start one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Whether it is bound to this target.
    pub bound: bool,
    /// How many requests wait at its other candidate; 0 if it has none.
    pub elsewhere: usize,
    /// Whether it is the first in the queue at its other candidate.
    pub first_elsewhere: bool,
}

/// Where a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// It is bound to the candidate with this index; the other may steal it if the policy does so.
    Bound(usize),
    /// It waits at all candidates and is bound to none.
    Offered,
}

/// A way of binding.
pub trait Binding: Send + Sync {
    /// The way's name in settings and tables.
    fn name(&self) -> &'static str;

    /// Where a new request waits, none of whose candidates could start it at once.
    fn place(&self, candidates: &[QueueState]) -> Placement;

    /// Which of the requests in its queue, oldest first, a target starts when it can.
    fn next(&self, queue: &[Offer]) -> Option<usize>;

    /// Whether candidates hear of requests that are bound elsewhere, which costs a message each.
    fn notifies_all(&self) -> bool;
}

/// Binds at once to the candidate with the fewest requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortestQueue;

/// Binds like [`ShortestQueue`]; a target with nothing of its own takes the other's oldest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Stealing;

/// Binds when a target starts the request; each takes its oldest.
#[derive(Debug, Clone, Copy, Default)]
pub struct LazyQueue;

/// Like [`LazyQueue`], but leaves a request to its other candidate if that has less to do.
#[derive(Debug, Clone, Copy, Default)]
pub struct LazySharing;

fn shortest(candidates: &[QueueState]) -> Placement {
    let indexed = candidates.iter().enumerate();
    let least = indexed.min_by_key(|(_, server)| server.bound).map(|(index, _)| index);
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

    /// The first request for which fewer wait after it here than wait at its other candidate. The
    /// search ends early at one that is not first elsewhere, so that none is passed over for long.
    fn next(&self, queue: &[Offer]) -> Option<usize> {
        let waiting = queue.len();
        let share = |(index, offer): (usize, &Offer)| {
            waiting - (index + 1) < offer.elsewhere || !offer.first_elsewhere
        };
        let found = queue.iter().enumerate().position(share);
        found.or(if queue.is_empty() { None } else { Some(0) })
    }

    fn notifies_all(&self) -> bool {
        true
    }
}

/// The way in force: the shortest tail, and it needs to know nothing of other queues.
pub fn default_binding() -> Box<dyn Binding> {
    Box::new(LazyQueue)
}

/// All ways, for comparison.
pub fn all() -> Vec<Box<dyn Binding>> {
    vec![Box::new(ShortestQueue), Box::new(Stealing), Box::new(LazyQueue), Box::new(LazySharing)]
}

/// Candidates that a request is offered to. The second makes almost all the difference.
pub const CANDIDATES: usize = 2;

/// Messages that one request costs with `candidates`, beside its answer: an offer to each, one
/// claim and its grant, and one withdrawal at each that lost.
pub fn messages(late: bool, candidates: usize) -> f64 {
    let candidates = float(u64::try_from(candidates).unwrap_or(u64::MAX));
    if late && candidates > 1.0 { candidates + 2.0 + (candidates - 1.0) } else { 1.0 }
}
