//! Targets that lately said in an answer that they leave, or that they want no requests for a while.
//!
//! Only those are listed, so what is told of them grows with what they say, not with their number.

use policy::Hash;
use policy::signals::Change;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// For how long a target that leaves is listed; by then the log's list has dropped it.
const LEAVING: Duration = Duration::from_secs(60);

/// What targets said.
#[derive(Debug, Default)]
pub struct Standings {
    rows: Mutex<HashMap<Hash, Row>>,
}

/// What one target said, by until when it matters.
#[derive(Debug, Clone, Copy, Default)]
struct Row {
    leaves: Option<Instant>,
    pauses: Option<Instant>,
}

/// How many targets are listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that leave.
    pub leaving: i64,
    /// Those that want no requests now.
    pub paused: i64,
}

impl Standings {
    /// Takes in what changed with an answer of a target.
    pub fn note(&self, target: Hash, changes: &[Change], now: Instant) {
        for change in changes {
            match change {
                Change::Leaves => {
                    self.lock().entry(target).or_default().leaves = Some(now + LEAVING)
                }
                Change::Pauses(pause) => {
                    self.lock().entry(target).or_default().pauses = Some(now + *pause);
                }
                Change::Limit(_) | Change::Unreadable(_) => {}
            }
        }
    }

    /// How many targets leave or pause.
    pub fn counts(&self, now: Instant) -> Counts {
        let mut rows = self.lock();
        let lasts = |until: Option<Instant>| until.is_some_and(|until| now < until);
        rows.retain(|_, row| lasts(row.leaves) || lasts(row.pauses));
        let count = |of: fn(&Row) -> Option<Instant>| {
            i64::try_from(rows.values().filter(|row| lasts(of(row))).count()).unwrap_or(i64::MAX)
        };
        Counts { leaving: count(|row| row.leaves), paused: count(|row| row.pauses) }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Hash, Row>> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
