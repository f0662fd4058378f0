//! Usage counts of customers by many entries, of which some are lost.

use compact_str::CompactString;
use policy::usage::{Ledger, OwnCounts, Row};

fn row(customer: &str, count: u64) -> Row {
    Row { customer: customer.into(), count }
}

/// Datagrams arrive late, twice, in another order or not at all. A customer would be billed for
/// more or less than it used.
#[test]
fn duplicated_late_or_lost_reports_change_nothing() {
    let mut ledger = Ledger::default();
    ledger.merge(1, 100, [row("north", 2)]);
    ledger.merge(1, 100, [row("north", 5), row("south", 1)]);
    ledger.merge(1, 100, [row("north", 5)]);
    ledger.merge(1, 100, [row("north", 3)]);
    let sums: Vec<_> = ledger.totals(100).into_iter().collect();
    assert_eq!(sums, [("north".into(), 5), ("south".into(), 1)]);
}

/// An entry is killed in the middle of a window and restarts. The counts of both incarnations are
/// billed.
#[test]
fn counts_of_two_incarnations_add_up() {
    let mut ledger = Ledger::default();
    ledger.merge(1, 100, [row("north", 7)]);
    ledger.merge(2, 100, [row("north", 2)]);
    ledger.merge(2, 101, [row("north", 1)]);
    assert_eq!(ledger.totals(100).get("north"), Some(&9));
    assert_eq!(ledger.totals(101).get("north"), Some(&1));
    assert!(ledger.totals(102).is_empty());
}

/// Four of 22 entries are killed at once in the middle of a window. Each reports its counts four
/// times per second, so the bill misses at most a quarter of a second of theirs and stays within
/// 5%.
#[test]
fn bill_stays_accurate_when_four_of_22_entries_are_killed() {
    const ENTRIES: u64 = 22;
    const MS: u64 = 5_000;
    let customer = CompactString::from("north");
    let mut ledger = Ledger::default();
    let mut entries: Vec<OwnCounts> = (0..ENTRIES).map(|_| OwnCounts::default()).collect();
    let mut served = 0;
    for ms in 0..MS {
        for (entry, own) in (0..).zip(&mut entries) {
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

/// A report may be lost, so each is repeated once, and no more often.
#[test]
fn count_is_sent_twice_and_again_on_request() {
    let mut own = OwnCounts::default();
    own.count(7, &"north".into());
    let reported = vec![(7, vec![row("north", 1)])];
    assert_eq!(
        (own.take_due(), own.take_due(), own.take_due()),
        (reported.clone(), reported.clone(), vec![])
    );
    own.mark_all_due();
    assert_eq!(own.take_due(), reported);
}

/// A clock that is 40 minutes off names windows of another time. They must not replace the current
/// ones.
#[test]
fn windows_of_a_wrong_clock_replace_nothing() {
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
