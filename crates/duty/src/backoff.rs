//! Waits before an order that failed is given again.

use conf::Name;
use plat::Offset;
use state::System;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The wait after the first failure: a weight store that is merely busy answers by then.
const FIRST: Duration = Duration::from_secs(5);

/// The longest wait: an operator who has mended the cause sees it taken up by then.
const LONGEST: Duration = Duration::from_secs(120);

/// Targets that get no order for now.
///
/// Without it a load that fails at once, such as of a missing artifact, is ordered each second:
/// 86,400 records a day for each engine.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failed: HashMap<Name, Failure>,
    doubtful: HashMap<Name, Instant>,
}

#[derive(Debug)]
struct Failure {
    order: Offset,
    wait: Duration,
    until: Instant,
}

/// How long a target gets no order after one whose append could not be settled; it may appear.
const DOUBT: Duration = Duration::from_secs(30);

impl Backoff {
    /// Whether a target may get an order now, by the outcome of its last one.
    pub(crate) fn allows(&mut self, system: &System, target: &Name) -> bool {
        let now = Instant::now();
        if self.doubtful.get(target).is_some_and(|until| now < *until) {
            return false;
        }
        let last = system.orders(target).last();
        let failed = last.filter(|order| order.outcome.as_ref().is_some_and(|o| !o.is_ok()));
        let Some(order) = failed else {
            self.failed.remove(target);
            return true;
        };
        let known = self.failed.get(target);
        if let Some(known) = known.filter(|known| known.order == order.offset) {
            return now >= known.until;
        }
        let wait = known.map_or(FIRST, |known| (known.wait * 2).min(LONGEST));
        let failure = Failure { order: order.offset, wait, until: now + wait };
        self.failed.insert(target.clone(), failure);
        false
    }

    /// Keeps orders from a target whose last one may still appear.
    pub(crate) fn doubt(&mut self, target: &Name) {
        self.doubtful.insert(target.clone(), Instant::now() + DOUBT);
    }
}
