//! News reach every entry along a tree in which no entry sends much.

use policy::dissemination::{FAN_OUT, Position, Range, Recipient, delegates, fan_out, position};
use std::collections::{BTreeMap, VecDeque};

fn entries(count: u64) -> Vec<Recipient> {
    let mut entries: Vec<Recipient> = (0..count)
        .map(|n| Recipient {
            position: position(policy::mix(n % 5, 7), policy::mix(n, 0xD15)),
            link_rate: 1.0 + (n % 50) as f64,
        })
        .collect();
    entries.sort_by_key(|entry| entry.position);
    entries
}

/// How often an entry received the news, over how many hops, and how many copies it sent.
#[derive(Debug, Default, Clone, Copy)]
struct Receipt {
    received: u32,
    hops: u32,
    sent: usize,
}

/// Sends news from one entry, where each entry knows those for which `knows` holds.
fn spread(
    entries: &[Recipient],
    from: Position,
    fan_out: usize,
    is_alive: impl Fn(Position) -> bool,
) -> BTreeMap<Position, Receipt> {
    let mut receipts = BTreeMap::from([(from, Receipt::default())]);
    let mut queue = VecDeque::from([(from, Range::all_but(from), 0)]);
    while let Some((own, range, hops)) = queue.pop_front() {
        let delegates = delegates(entries, own, range, fan_out);
        receipts.entry(own).or_default().sent += delegates.len();
        for delegate in delegates {
            let key = entries[delegate.index].position;
            if !is_alive(key) {
                continue;
            }
            let receipt = receipts.entry(key).or_default();
            (receipt.received, receipt.hops) = (receipt.received + 1, hops + 1);
            if let Some(range) = delegate.range {
                queue.push_back((key, range, hops + 1));
            }
        }
    }
    receipts
}

/// The number of hops grows with the logarithm of the number of entries, and what one entry sends
/// doesn't grow. If the reader sent to all, its link would limit the size of the fleet.
#[test]
fn every_entry_receives_news_once_and_none_sends_more_than_the_fan_out() {
    for (count, hops) in [(1, 0), (2, 1), (5, 1), (17, 1), (68, 2), (300, 3), (520, 3), (1_040, 3)]
    {
        let entries = entries(count);
        let from = entries[entries.len() / 3].position;
        let receipts = spread(&entries, from, FAN_OUT, |_| true);
        assert_eq!(receipts.len(), entries.len(), "{count}");
        let others = receipts.iter().filter(|(key, _)| **key != from);
        let again: Vec<_> = others.filter(|(_, receipt)| receipt.received != 1).collect();
        assert!(again.is_empty(), "{count}: {again:?}");
        let most = receipts.values().map(|receipt| receipt.sent).max();
        assert!(most <= Some(FAN_OUT), "{count}: {most:?}");
        let deepest = receipts.values().map(|receipt| receipt.hops).max();
        assert_eq!(deepest, Some(hops), "{count}");
    }
}

/// Bytes between failure domains are paid for. A tree that ignored the domains would cross between
/// five of them with four of five copies.
#[test]
fn few_copies_cross_between_failure_domains() {
    let entries = entries(520);
    let domain = |position: Position| position >> 48;
    let mut crossing = 0;
    let from = entries[7].position;
    let mut queue = VecDeque::from([(from, Range::all_but(from))]);
    while let Some((own, range)) = queue.pop_front() {
        for delegate in delegates(&entries, own, range, FAN_OUT) {
            let to = entries[delegate.index].position;
            crossing += usize::from(domain(own) != domain(to));
            queue.extend(delegate.range.map(|range| (to, range)));
        }
    }
    assert!(crossing <= 60, "{crossing} of 519 copies");
}

/// Of the entries that take part, those that pass news on have large links.
#[test]
fn entries_with_large_links_pass_news_on() {
    let entries = entries(520);
    let receipts = spread(&entries, entries[0].position, FAN_OUT, |_| true);
    let rate =
        |key: &Position| entries.iter().find(|entry| entry.position == *key).unwrap().link_rate;
    let relays: Vec<f64> =
        receipts.iter().filter(|(_, receipt)| receipt.sent > 0).map(|(key, _)| rate(key)).collect();
    let average = relays.iter().sum::<f64>() / relays.len() as f64;
    assert!(average > 32.0, "25 on average of all, {average} of those that pass news on");
}

/// A third of the entries just died, and the others don't know yet. What a dead entry would have
/// passed on has to be pulled; the tree must still reach most of the living.
#[test]
fn news_reach_most_entries_while_a_third_is_dead() {
    let entries = entries(520);
    let is_alive = |key: Position| !policy::mix(key, 3).is_multiple_of(3);
    let from = entries.iter().find(|entry| is_alive(entry.position)).unwrap().position;
    let receipts = spread(&entries, from, FAN_OUT, is_alive);
    let alive = entries.iter().filter(|entry| is_alive(entry.position)).count();
    assert!(receipts.len() * 100 >= alive * 45, "{} of {alive}", receipts.len());
}

/// One entry sees two fewer entries than another. The ranges are of keys, so what one entry leaves
/// to a second one is all that the second one knows there.
#[test]
fn entries_unknown_to_the_sender_receive_news_from_its_delegates() {
    let all = entries(300);
    let known: Vec<Recipient> =
        all.iter().copied().filter(|entry| entry.position % 10 != 1).collect();
    let from = known[0].position;
    let unknown_reached = delegates(&known, from, Range::all_but(from), FAN_OUT)
        .into_iter()
        .filter_map(|delegate| Some((known[delegate.index].position, delegate.range?)))
        .flat_map(|(key, range)| delegates(&all, key, range, FAN_OUT))
        .filter(|delegate| all[delegate.index].position % 10 == 1)
        .count();
    assert!(unknown_reached > 0);
}

#[test]
fn many_datagrams_are_sent_with_a_small_fan_out() {
    assert_eq!(fan_out(1, 64), FAN_OUT);
    assert_eq!(fan_out(8, 64), 8);
    assert_eq!(fan_out(500, 64), 2);
}
