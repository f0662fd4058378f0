//! Backoff between retries of a failed order.

use conf::Name;
use plat::Offset;
use state::System;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The wait after the first failure, long enough for a weight store that is only busy to answer.
const INITIAL_WAIT: Duration = Duration::from_secs(5);

/// The longest wait. After operators have fixed the cause, the order is retried within this time.
const MAX_WAIT: Duration = Duration::from_secs(120);

/// The targets that get no order for now.
///
/// Without backoff a load that fails immediately, such as of a missing artifact, would be ordered
/// every second: 86,400 records per day for each engine.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failed: HashMap<Name, Failure>,
    unsettled_until: HashMap<Name, Instant>,
}

#[derive(Debug)]
struct Failure {
    order: Offset,
    wait: Duration,
    until: Instant,
}

/// How long a target gets no order after an append that is unsettled, since that order may still
/// appear.
const UNSETTLED_WAIT: Duration = Duration::from_secs(30);

impl Backoff {
    /// Whether a target may get an order now, given the outcome of its last one.
    pub(crate) fn allows(&mut self, system: &System, target: &Name) -> bool {
        let now = Instant::now();
        if self.unsettled_until.get(target).is_some_and(|until| now < *until) {
            return false;
        }
        let last = system.orders(target).last();
        let failed = last.filter(|order| order.outcome.as_ref().is_some_and(|o| !o.is_ok()));
        let Some(order) = failed else {
            self.failed.remove(target);
            return true;
        };
        let previous = self.failed.get(target);
        if let Some(previous) = previous.filter(|previous| previous.order == order.offset) {
            return now >= previous.until;
        }
        let wait = previous.map_or(INITIAL_WAIT, |previous| (previous.wait * 2).min(MAX_WAIT));
        let failure = Failure { order: order.offset, wait, until: now + wait };
        self.failed.insert(target.clone(), failure);
        false
    }

    /// Delays orders for a target whose last one is unsettled and may still appear.
    pub(crate) fn delay_unsettled(&mut self, target: &Name) {
        self.unsettled_until.insert(target.clone(), Instant::now() + UNSETTLED_WAIT);
    }
}
