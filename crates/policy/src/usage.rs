//! What customers have used, counted so that the loss of entries costs little of it.
//!
//! **Load pattern.** Every entry serves some requests of each customer, and several entries may be
//! killed at once in the middle of a window that is billed as a whole. **Without it** what they had
//! served is missing from the bill, or counted twice when they are back. **How.** An entry tells a few
//! others how far it has counted, each time in full, and here the highest count of each life of an
//! entry wins: what is lost, doubled or late changes nothing that a later telling doesn't mend.

use compact_str::CompactString;
use std::collections::{BTreeMap, HashMap};

/// The number of a window of time; they follow each other without gaps.
pub type WindowIndex = u64;

/// One life of one entry.
pub type Incarnation = u64;

/// Requests of one customer in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The customer.
    pub customer: CompactString,
    /// Requests that have begun to run.
    pub count: u64,
}

/// Counts by customer.
pub type Counts = BTreeMap<CompactString, u64>;

/// Windows before and after the present one that are remembered: longer than a bill may be late. What a
/// clock that was far off has named lies outside.
const REMEMBERED: u64 = 64;

/// What was told of all windows that are remembered.
#[derive(Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<WindowIndex, HashMap<Incarnation, HashMap<CompactString, u64>>>,
}

impl Ledger {
    /// Takes in how far one life of an entry has counted.
    pub fn merge(
        &mut self,
        life: Incarnation,
        window: WindowIndex,
        rows: impl IntoIterator<Item = Row>,
    ) {
        let counts = self.windows.entry(window).or_default().entry(life).or_default();
        for Row { customer, count } in rows {
            let known = counts.entry(customer).or_default();
            *known = count.max(*known);
        }
    }

    /// Forgets windows far from the present one.
    pub fn prune(&mut self, present: WindowIndex) {
        self.windows.retain(|window, _| window.abs_diff(present) <= REMEMBERED);
    }

    /// The sums of a window.
    pub fn totals(&self, window: WindowIndex) -> Counts {
        let mut sums = Counts::new();
        let lives = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (customer, count) in lives.flatten() {
            *sums.entry(customer.clone()).or_default() += count;
        }
        sums
    }

    /// The first window, of the present one and a few before it, of which anything was told.
    pub fn oldest_recent(&self, present: WindowIndex) -> Option<WindowIndex> {
        let recent = present.saturating_sub(RECENT)..=present;
        self.windows.range(recent).next().map(|(window, _)| *window)
    }
}

/// How often a row is told after its last change: one datagram may be lost.
const TELLINGS: u8 = 2;

/// What one entry has counted by itself, and what of it the others have to hear.
#[derive(Debug, Default)]
pub struct OwnCounts {
    windows: BTreeMap<WindowIndex, HashMap<CompactString, Cell>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    count: u64,
    /// How often it is still to be told.
    due: u8,
}

/// Windows back from the present one that may still be told or billed.
const RECENT: u64 = 4;

impl OwnCounts {
    /// Counts a request, and says how many there are of its customer in that window.
    pub fn count(&mut self, window: WindowIndex, customer: &CompactString) -> u64 {
        let counts = self.windows.entry(window).or_default();
        let cell = counts.entry(customer.clone()).or_default();
        *cell = Cell { count: cell.count + 1, due: TELLINGS };
        let count = cell.count;
        self.windows.retain(|other, _| other.abs_diff(window) <= RECENT);
        count
    }

    /// The rows that are due, by window.
    pub fn take_due(&mut self) -> Vec<(WindowIndex, Vec<Row>)> {
        let mut all = Vec::new();
        for (window, counts) in &mut self.windows {
            let due = counts.iter_mut().filter(|(_, cell)| cell.due > 0);
            let rows: Vec<Row> = due
                .map(|(customer, cell)| {
                    cell.due -= 1;
                    Row { customer: customer.clone(), count: cell.count }
                })
                .collect();
            if !rows.is_empty() {
                all.push((*window, rows));
            }
        }
        all
    }

    /// Has all rows told again: somebody is to hear them who has not so far.
    pub fn mark_all_due(&mut self) {
        let cells = self.windows.values_mut().flat_map(HashMap::values_mut);
        cells.for_each(|cell| cell.due = TELLINGS);
    }
}
