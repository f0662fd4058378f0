//! What customers have used, counted by many entries of which some are lost.

use compact_str::CompactString;
use policy::usage::{Ledger, OwnCounts, Row};

fn row(customer: &str, count: u64) -> Row {
    Row { customer: customer.into(), count }
}

/// Datagrams come late, twice, in another order or not at all. A customer would be billed for more or
/// less than it used.
#[test]
fn tellings_that_are_doubled_late_or_lost_change_nothing() {
    let mut ledger = Ledger::default();
    ledger.merge(1, 100, [row("north", 2)]);
    ledger.merge(1, 100, [row("north", 5), row("south", 1)]);
    ledger.merge(1, 100, [row("north", 5)]);
    ledger.merge(1, 100, [row("north", 3)]);
    let sums: Vec<_> = ledger.totals(100).into_iter().collect();
    assert_eq!(sums, [("north".into(), 5), ("south".into(), 1)]);
}

/// An entry is killed in the middle of a window and starts again: what both lives counted is due.
#[test]
fn two_lives_of_an_entry_count_both() {
    let mut ledger = Ledger::default();
    ledger.merge(1, 100, [row("north", 7)]);
    ledger.merge(2, 100, [row("north", 2)]);
    ledger.merge(2, 101, [row("north", 1)]);
    assert_eq!(ledger.totals(100).get("north"), Some(&9));
    assert_eq!(ledger.totals(101).get("north"), Some(&1));
    assert!(ledger.totals(102).is_empty());
}

/// Four of 22 entries are killed at once in the middle of a window. Each tells its counts four times a
/// second, so that the bill misses a quarter of a second of theirs at most, and stays within 5%.
#[test]
fn four_entries_of_22_that_are_killed_leave_a_bill_that_holds() {
    const ENTRIES: u64 = 22;
    const MS: u64 = 5_000;
    let customer = CompactString::from("north");
    let mut ledger = Ledger::default();
    let mut owns: Vec<OwnCounts> = (0..ENTRIES).map(|_| OwnCounts::default()).collect();
    let mut served = 0;
    for ms in 0..MS {
        for (entry, own) in (0..).zip(&mut owns) {
            let killed = entry < 4 && ms >= 2_499;
            if killed {
                continue;
            }
            if (ms + entry) % 40 == 0 {
                own.count(7, &customer);
                served += 1;
            }
            if (ms + 11 * entry) % 250 == 249 || ms == MS - 1 {
                for (window, rows) in own.take_due() {
                    ledger.merge(entry, window, rows);
                }
            }
        }
    }
    let billed = ledger.totals(7)["north"];
    let missing = served - billed;
    assert!(billed <= served, "{billed} billed of {served}");
    assert!(missing * 20 <= served, "{missing} of {served} are missing");
}

/// A telling may be lost, so each is repeated once, and not for ever.
#[test]
fn a_count_is_told_twice_and_again_to_newcomers() {
    let mut own = OwnCounts::default();
    own.count(7, &"north".into());
    let told = vec![(7, vec![row("north", 1)])];
    assert_eq!(
        (own.take_due(), own.take_due(), own.take_due()),
        (told.clone(), told.clone(), vec![])
    );
    own.mark_all_due();
    assert_eq!(own.take_due(), told);
}

/// A clock that is 40 minutes off names windows of another time. They must not push out those of now.
#[test]
fn windows_of_a_wrong_clock_push_nothing_out() {
    let mut ledger = Ledger::default();
    let mut own = OwnCounts::default();
    ledger.merge(1, 100, [row("north", 2)]);
    ledger.merge(2, 580, [row("north", 2)]);
    ledger.merge(3, 2, [row("north", 2)]);
    ledger.prune(100);
    assert_eq!(ledger.oldest_recent(101), Some(100));
    assert!(ledger.totals(580).is_empty());
    assert_eq!((own.count(580, &"north".into()), own.count(100, &"north".into())), (1, 1));
    assert_eq!(own.count(100, &"north".into()), 2);
    assert_eq!(own.take_due(), vec![(100, vec![row("north", 2)])]);
}
