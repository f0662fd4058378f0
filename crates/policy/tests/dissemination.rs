//! News reach every entry along a tree in which no entry sends much.

use policy::Hash;
use policy::dissemination::{FAN_OUT, Range, Recipient, delegates, fan_out};
use std::collections::{BTreeMap, VecDeque};

fn entries(count: u64) -> Vec<Recipient> {
    let mut entries: Vec<Recipient> = (0..count)
        .map(|n| Recipient { key: policy::mix(n, 0xD15), link_rate: 1.0 + (n % 50) as f64 })
        .collect();
    entries.sort_by_key(|entry| entry.key);
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
    from: Hash,
    fan_out: usize,
    is_alive: impl Fn(Hash) -> bool,
) -> BTreeMap<Hash, Receipt> {
    let mut receipts = BTreeMap::from([(from, Receipt::default())]);
    let mut queue = VecDeque::from([(from, Range::all_but(from), 0)]);
    while let Some((own, range, hops)) = queue.pop_front() {
        let delegates = delegates(entries, own, range, fan_out);
        receipts.entry(own).or_default().sent += delegates.len();
        for delegate in delegates {
            let key = entries[delegate.index].key;
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
        let from = entries[entries.len() / 3].key;
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

/// Of the entries that take part, those that pass news on have large links.
#[test]
fn entries_with_large_links_pass_news_on() {
    let entries = entries(520);
    let receipts = spread(&entries, entries[0].key, FAN_OUT, |_| true);
    let rate = |key: &Hash| entries.iter().find(|entry| entry.key == *key).unwrap().link_rate;
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
    let is_alive = |key: Hash| !policy::mix(key, 3).is_multiple_of(3);
    let from = entries.iter().find(|entry| is_alive(entry.key)).unwrap().key;
    let receipts = spread(&entries, from, FAN_OUT, is_alive);
    let alive = entries.iter().filter(|entry| is_alive(entry.key)).count();
    assert!(receipts.len() * 100 >= alive * 45, "{} of {alive}", receipts.len());
}

/// One entry sees two fewer entries than another. The ranges are of keys, so what one entry leaves
/// to a second one is all that the second one knows there.
#[test]
fn entries_unknown_to_the_sender_receive_news_from_its_delegates() {
    let all = entries(300);
    let known: Vec<Recipient> = all.iter().copied().filter(|entry| entry.key % 10 != 1).collect();
    let from = known[0].key;
    let unknown_reached = delegates(&known, from, Range::all_but(from), FAN_OUT)
        .into_iter()
        .filter_map(|delegate| Some((known[delegate.index].key, delegate.range?)))
        .flat_map(|(key, range)| delegates(&all, key, range, FAN_OUT))
        .filter(|delegate| all[delegate.index].key % 10 == 1)
        .count();
    assert!(unknown_reached > 0);
}

#[test]
fn many_datagrams_are_sent_with_a_small_fan_out() {
    assert_eq!(fan_out(1, 64), FAN_OUT);
    assert_eq!(fan_out(8, 64), 8);
    assert_eq!(fan_out(500, 64), 2);
}
