//! Usage counts per customer, kept so that the loss of entries loses few of them.
//!
//! **Load pattern.** Every entry serves some requests of each customer, and several entries may be
//! killed at once in the middle of a window that is billed as a whole. **Without this**, what they
//! served is missing from the bill, or counted twice after they restart. **Approach.** An entry
//! repeatedly reports its counts so far, always in full, to a few others, and there the highest
//! count of each incarnation of an entry is kept. So lost, duplicated or late reports change
//! nothing that a later report does not correct.

use compact_str::CompactString;
use std::collections::{BTreeMap, HashMap};

/// The index of a time window. Windows follow each other without gaps.
pub type WindowIndex = u64;

/// One run of one entry process.
pub type Incarnation = u64;

/// Requests of one customer in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The customer.
    pub customer: CompactString,
    /// Requests that have started to run.
    pub count: u64,
}

/// Request counts by customer.
pub type Counts = BTreeMap<CompactString, u64>;

/// Windows before and after the current one that are kept: more than a bill may be late. Windows
/// named by a clock that was far off lie outside.
const RETAINED: u64 = 64;

/// Reported counts of all retained windows.
#[derive(Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<WindowIndex, HashMap<Incarnation, HashMap<CompactString, u64>>>,
}

impl Ledger {
    /// Merges the counts of one incarnation of an entry.
    pub fn merge(
        &mut self,
        incarnation: Incarnation,
        window: WindowIndex,
        rows: impl IntoIterator<Item = Row>,
    ) {
        let counts = self.windows.entry(window).or_default().entry(incarnation).or_default();
        for Row { customer, count } in rows {
            let known = counts.entry(customer).or_default();
            *known = count.max(*known);
        }
    }

    /// Drops windows far from the current one.
    pub fn prune(&mut self, current: WindowIndex) {
        self.windows.retain(|window, _| window.abs_diff(current) <= RETAINED);
    }

    /// Returns the total counts of a window.
    pub fn totals(&self, window: WindowIndex) -> Counts {
        let mut totals = Counts::new();
        let incarnations = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (customer, count) in incarnations.flatten() {
            *totals.entry(customer.clone()).or_default() += count;
        }
        totals
    }

    /// Returns the oldest window with counts among the current one and the few before it.
    pub fn oldest_recent(&self, current: WindowIndex) -> Option<WindowIndex> {
        let recent = current.saturating_sub(RECENT)..=current;
        self.windows.range(recent).next().map(|(window, _)| *window)
    }
}

/// How often a row is sent after its last change, since one datagram may be lost.
const TRANSMISSIONS: u8 = 2;

/// Counts of this entry, and which of them are still to be sent to other entries.
#[derive(Debug, Default)]
pub struct OwnCounts {
    windows: BTreeMap<WindowIndex, HashMap<CompactString, Cell>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    count: u64,
    /// How often it is still to be sent.
    due: u8,
}

/// Windows before the current one that may still be reported or billed.
const RECENT: u64 = 4;

impl OwnCounts {
    /// Counts a request and returns the count of its customer in that window.
    pub fn count(&mut self, window: WindowIndex, customer: &CompactString) -> u64 {
        let counts = self.windows.entry(window).or_default();
        let cell = counts.entry(customer.clone()).or_default();
        *cell = Cell { count: cell.count + 1, due: TRANSMISSIONS };
        let count = cell.count;
        self.windows.retain(|other, _| other.abs_diff(window) <= RECENT);
        count
    }

    /// Returns the rows to send now, by window, and counts them as sent once.
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

    /// Marks all rows to be sent again, for an entry that has not received any.
    pub fn mark_all_due(&mut self) {
        let cells = self.windows.values_mut().flat_map(HashMap::values_mut);
        cells.for_each(|cell| cell.due = TRANSMISSIONS);
    }
}
